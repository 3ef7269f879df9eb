package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/replica/storage"
)

const (
	// saveInterval is the interval at which serving servers are written to disk. Heartbeats
	// received since the last write are lost when the process stops.
	saveInterval = time.Second
	// cacheFileCount is the number of files written in turn. If power is lost during a
	// write, the previous file is still intact.
	cacheFileCount = 2
)

// Names of the files in the data folder without the number of the file: of the servers that serve, and
// of those that have left.
const (
	servingFiles = "servers"
	leftFiles    = "left"
)

// serverCache stores servers in the data folder. Those that serve are stored so that they are known
// right after a restart of all replicas.
//
// Each server sends its heartbeat to one replica. Without the cache, entries would know
// only few servers in the first second and send all requests to them. A cached server
// has the heartbeat age that it would have had without the restart, so it is not used
// for longer.
type serverCache struct {
	fs   storage.FS
	dir  string
	base string // of the files' names

	writes int // files written, including those that load found
}

// cachedState is the content of a cache file.
type cachedState struct {
	At      time.Time         `msgpack:"at"`
	Servers cachedServers     `msgpack:"servers"`
	Entries []directory.Entry `msgpack:"entries"`
	// Grants are the entries' shares of the limits, and GrantsIndex is their limit.Table.Index.
	Grants      []limit.Grant `msgpack:"grants,omitempty"`
	GrantsIndex uint64        `msgpack:"grantsIndex,omitempty"`
	// Rollouts holds the rollouts that the servers belong to. The log may contain them only once a
	// leader is elected, and entries would send everything to the servers of a candidate until then.
	Rollouts []api.Rollout `msgpack:"rollouts,omitempty"`
}

// cachedServers are the records of servers in a cache file. One that cannot be read, as of another version, names no
// server; the others are valid.
type cachedServers []directory.Server

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *cachedServers) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	*l = nil
	for range n {
		raw, err := dec.DecodeRaw()
		if err != nil {
			return err
		}
		var rec directory.Server
		if msgpack.Unmarshal(raw, &rec) == nil && rec.ID != "" && isKnownState(rec.State) {
			*l = append(*l, rec)
		}
	}
	return nil
}

func isKnownState(s instance.State) bool {
	return s == instance.StateServing || s == instance.StateLeaving || s == instance.StateGone
}

// cacheFile is a file with a checksum, which detects an incomplete write.
type cacheFile struct {
	Sum  uint64 `msgpack:"sum"`
	Body []byte `msgpack:"body"`
}

// file returns the name of file i.
func (m *serverCache) file(i int) string {
	return filepath.Join(m.dir, fmt.Sprintf("%s.%d", m.base, i%cacheFileCount))
}

// save writes the state into the next file and returns once it is synced.
func (m *serverCache) save(s cachedState) error {
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return trace.Wrap(err, "step=encode servers")
	}
	enc, err := msgpack.Marshal(&cacheFile{Sum: xxhash.Sum64(body), Body: body})
	if err != nil {
		return trace.Wrap(err, "step=encode cache file")
	}
	if err := m.fs.MkdirAll(m.dir); err != nil {
		return trace.Wrap(err, "step=create data folder")
	}
	f, err := m.fs.Create(m.file(m.writes))
	if err != nil {
		return trace.Wrap(err, "step=create cache file")
	}
	_, err = f.Write(enc)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return trace.Wrap(err, "step=write cache file")
	}
	m.writes++
	if m.writes <= cacheFileCount { // later writes reuse the names
		return trace.Wrap(m.fs.SyncDir(m.dir), "step=sync data folder")
	}
	return nil
}

// load returns the newest state that was saved; ok is false if there is none. err joins
// the errors of all files that could not be read, also if ok is true.
func (m *serverCache) load() (newest cachedState, ok bool, err error) {
	var errs []error
	for i := range cacheFileCount {
		s, err := m.read(m.file(i))
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			errs = append(errs, err)
		case !ok || s.At.After(newest.At):
			newest, ok = s, true
			m.writes = i + 1 // the next write goes to the other file
		}
	}
	return newest, ok, errors.Join(errs...)
}

// read reads one file and verifies its checksum.
func (m *serverCache) read(name string) (cachedState, error) {
	var s cachedState
	enc, err := m.fs.ReadFile(name)
	if err != nil {
		return s, err
	}
	var file cacheFile
	if err := msgpack.Unmarshal(enc, &file); err != nil {
		return s, trace.Wrap(err, "step=decode %s", name)
	}
	if xxhash.Sum64(file.Body) != file.Sum {
		return s, trace.BadParameter("checksum mismatch in %s", name)
	}
	return s, trace.Wrap(msgpack.Unmarshal(file.Body, &s), "step=decode %s", name)
}

// restoreCache merges the saved servers and entries into the directory, with heartbeats
// at least as old as the cache, and recalls the shares of the limits.
func (c *Coordinator) restoreCache(ctx context.Context) {
	c.origins.restore(ctx)
	c.restoreServing(ctx)
	left, ok, err := c.leftCache.load()
	if err != nil {
		event.Log(ctx, c.log, slog.LevelWarn, event.ServersNotKept, slog.String("step", "load those that have left"), slog.String("error", err.Error()))
	}
	if !ok {
		return
	}
	now := c.now()
	for i := range left.Servers {
		left.Servers[i].HeartbeatAge += max(now.Sub(left.At), 0)
	}
	c.directory.Merge(directory.Origin{}, left.Servers, nil, now)
}

// restoreServing merges the servers and entries that serve.
func (c *Coordinator) restoreServing(ctx context.Context) {
	s, ok, err := c.cache.load()
	if err != nil {
		event.Log(ctx, c.log, slog.LevelWarn, event.ServersNotKept, slog.String("step", "load"), slog.String("error", err.Error()))
	}
	if !ok {
		return
	}
	c.acceptRollouts(s.Rollouts)
	now := c.now()
	age := max(now.Sub(s.At), 0) // the clock may have been set back
	for i := range s.Servers {
		s.Servers[i].HeartbeatAge = age
	}
	for i := range s.Entries {
		// Entries call each other by these addresses, but callers are only sent to an entry
		// after its next heartbeat.
		s.Entries[i].HeartbeatAge = max(s.Entries[i].HeartbeatAge+age, entryExpiry+time.Millisecond)
	}
	c.directory.Merge(directory.Origin{}, s.Servers, s.Entries, now)
	c.shares.recall(limit.NewTable(s.GrantsIndex, s.Grants))
	event.Log(ctx, c.log, slog.LevelInfo, event.ServersRecalled, slog.Int("servers", len(s.Servers)), slog.Duration("age", age))
}

// saveCache writes the cache every saveInterval until ctx ends. Writes run in a
// goroutine of their own, at most one at a time, so that a hanging disk does not prevent
// the process from stopping.
func (c *Coordinator) saveCache(ctx context.Context) error {
	var busy, failed atomic.Bool
	return daemon.Every(ctx, saveInterval, func() {
		if !busy.CompareAndSwap(false, true) {
			return
		}
		now := c.now()
		s := cachedState{At: now, Servers: servingServers(c.directory.Servers(now)), Entries: c.directory.Entries(now)}
		s.Rollouts, _, _ = c.rollouts.current() // after the servers
		if m := c.group.current.Load(); m != nil {
			t := c.shares.latest(m.state.shares())
			s.Grants, s.GrantsIndex = t.All(), t.Index
		}
		go func() {
			defer busy.Store(false)
			err := c.cache.save(s)
			if failed.Swap(err != nil) == (err != nil) {
				return // log only changes
			}
			level := slog.LevelInfo
			if err != nil {
				level = slog.LevelWarn
			}
			event.Log(ctx, c.log, level, event.ServersNotKept, slog.String("step", "save"), slog.Bool("failing", err != nil), slog.Any("error", err))
		}()
	})
}

// servingServers returns the servers that take requests. It modifies its argument.
func servingServers(servers []directory.Server) []directory.Server {
	return slices.DeleteFunc(servers, func(s directory.Server) bool {
		return s.State != instance.StateServing || s.Overdue || s.Unreachable
	})
}

// saveLeft writes the servers that have left to disk, so that their leaves outlast a restart of all
// processes.
func (c *Coordinator) saveLeft() error {
	now := c.now()
	return c.leftCache.save(cachedState{At: now, Servers: c.directory.Left(now)})
}
