package coordinator

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/replica/storage"
)

const (
	// saveInterval is how often the servers that are well are written down. What was heard
	// since is lost with the process: of the four seconds and more for which a server
	// without a heartbeat counts as well, three are left after a restart of a second.
	saveInterval = time.Second
	// cacheFileCount is how many files take turns. One that is being written when power is
	// lost is of no use; the one before it is whole.
	cacheFileCount = 2
)

// cacheFileNames are the files in the data folder.
var cacheFileNames = [cacheFileCount]string{"servers.0", "servers.1"}

// serverCache keeps the servers that are well in the data folder.
//
// Servers report each second or so, at one replica each. When all replicas start
// again at once, entries would know a few of them in the first moments and send them
// all requests. With what was written down they know nearly all. A server is
// remembered for as long as it would have counted as well had the process only stood
// still, so none is believed longer for it.
type serverCache struct {
	fs  storage.FS
	dir string

	writes int // slots that were written, those that were found among them
}

// cachedState is the content of a slot.
type cachedState struct {
	At      time.Time          `msgpack:"at"`
	Servers []directory.Server `msgpack:"servers"`
	Entries []directory.Entry  `msgpack:"entries"`
	// AllowedEntries are the entries that may use a share of the limits.
	AllowedEntries []string `msgpack:"sharers"`
}

// cacheFile is a file. A torn write leaves a body that does not match its sum.
type cacheFile struct {
	Sum  uint64 `msgpack:"sum"`
	Body []byte `msgpack:"body"`
}

// save writes the servers into the next slot and returns once they will outlast a
// loss of power.
func (m *serverCache) save(s cachedState) error {
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return trace.Wrap(err, "step=encode servers")
	}
	enc, err := msgpack.Marshal(&cacheFile{Sum: xxhash.Sum64(body), Body: body})
	if err != nil {
		return trace.Wrap(err, "step=encode slot")
	}
	if err := m.fs.MkdirAll(m.dir); err != nil {
		return trace.Wrap(err, "step=make data folder")
	}
	f, err := m.fs.Create(filepath.Join(m.dir, cacheFileNames[m.writes%cacheFileCount]))
	if err != nil {
		return trace.Wrap(err, "step=create slot")
	}
	_, err = f.Write(enc)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return trace.Wrap(err, "step=write slot")
	}
	m.writes++
	if m.writes <= cacheFileCount { // later ones have their names already
		return trace.Wrap(m.fs.SyncDir(m.dir), "step=sync data folder")
	}
	return nil
}

// load returns what was saved last. ok is false where nothing can be read.
func (m *serverCache) load() (newest cachedState, ok bool, err error) {
	var errs []error
	for i, name := range cacheFileNames {
		s, err := m.read(name)
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			errs = append(errs, err)
		case !ok || s.At.After(newest.At):
			newest, ok = s, true
			m.writes = i + 1 // the other slot is the next one to be written
		}
	}
	return newest, ok, errors.Join(errs...)
}

func (m *serverCache) read(name string) (cachedState, error) {
	var s cachedState
	enc, err := m.fs.ReadFile(filepath.Join(m.dir, name))
	if err != nil {
		return s, err
	}
	var file cacheFile
	if err := msgpack.Unmarshal(enc, &file); err != nil {
		return s, trace.Wrap(err, "step=decode %s", name)
	}
	if xxhash.Sum64(file.Body) != file.Sum {
		return s, trace.BadParameter("%s is not whole", name)
	}
	return s, trace.Wrap(msgpack.Unmarshal(file.Body, &s), "step=decode %s", name)
}

// restoreCache tells the directory of the servers that were written down, as heard when
// they were.
func (c *Coordinator) restoreCache(ctx context.Context) {
	s, ok, err := c.cache.load()
	if err != nil {
		event.Log(ctx, c.log, slog.LevelWarn, event.ServersNotKept, slog.String("step", "load"), slog.String("error", err.Error()))
	}
	if !ok {
		return
	}
	now := c.now()
	age := max(now.Sub(s.At), 0) // the clock may have been set back
	for i := range s.Servers {
		s.Servers[i].HeartbeatAge = age
	}
	for i := range s.Entries {
		// Entries ask each other by their addresses; callers are sent to one once it has called.
		s.Entries[i].HeartbeatAge = max(s.Entries[i].HeartbeatAge+age, entryExpiry+time.Millisecond)
	}
	c.directory.Merge(directory.Origin{}, s.Servers, s.Entries, now)
	c.shares.restore(s.AllowedEntries, now)
	event.Log(ctx, c.log, slog.LevelInfo, event.ServersRecalled, slog.Int("servers", len(s.Servers)), slog.Duration("age", age))
}

// saveCache writes the servers down until ctx ends. A disk that hangs holds up no more
// than the next write: the process must be able to stop.
func (c *Coordinator) saveCache(ctx context.Context) error {
	var busy, failed atomic.Bool
	return daemon.Every(ctx, saveInterval, func() {
		if !busy.CompareAndSwap(false, true) {
			return
		}
		now := c.now()
		s := cachedState{At: now, Servers: servingServers(c.directory.Servers(now)), Entries: c.directory.Entries(now), AllowedEntries: c.shares.allowedEntries(now)}
		go func() {
			defer busy.Store(false)
			err := c.cache.save(s)
			if failed.Swap(err != nil) == (err != nil) {
				return // as the last time
			}
			level := slog.LevelInfo
			if err != nil {
				level = slog.LevelWarn
			}
			event.Log(ctx, c.log, level, event.ServersNotKept, slog.String("step", "save"), slog.Bool("failing", err != nil), slog.Any("error", err))
		}()
	})
}

// servingServers returns the servers that take requests.
func servingServers(servers []directory.Server) []directory.Server {
	return slices.DeleteFunc(servers, func(s directory.Server) bool {
		return s.State != instance.StateServing || s.Overdue || s.Unreachable
	})
}
