package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/origin"
)

// originSaveInterval is how often new origins are written to disk. Those of the last moments before a loss
// of power are lost, and their streams can't be taken up.
const originSaveInterval = 100 * time.Millisecond

// originTable holds the origins of streams that entries have recorded here. It is safe for concurrent use.
type originTable struct {
	now   func() time.Time
	disk  *originLog // used by one goroutine at a time
	log   *slog.Logger
	fails atomic.Bool // the last write has failed

	mu      sync.Mutex
	table   *origin.Table
	unsaved []origin.Record
}

func newOriginTable(disk *originLog, log *slog.Logger, now func() time.Time) *originTable {
	return &originTable{now: now, disk: disk, log: log, table: origin.NewTable()}
}

// add adds records of an entry.
func (t *originTable) add(records []origin.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for i := range records {
		t.table.Add(&records[i], now)
	}
	if len(t.unsaved) < origin.MaxRecords { // a disk may hang
		t.unsaved = append(t.unsaved, records...)
	}
}

func (t *originTable) get(key origin.Key) (origin.Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Get(key, t.now())
}

// takeUnsaved returns the records that are not on disk yet.
func (t *originTable) takeUnsaved() []origin.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.unsaved
	t.unsaved = nil
	return list
}

// run writes new records to disk until ctx ends. A write that hangs holds up no more than the next ones.
func (t *originTable) run(ctx context.Context) error {
	var writes sync.Mutex
	return daemon.Every(ctx, originSaveInterval, func() {
		if !writes.TryLock() {
			return
		}
		list := t.takeUnsaved()
		if len(list) == 0 {
			writes.Unlock()
			return
		}
		go func() {
			defer writes.Unlock()
			t.logOutcome(ctx, t.disk.write(list, t.now()))
		}()
	})
}

// logOutcome logs when writes begin to fail, and when they succeed again.
func (t *originTable) logOutcome(ctx context.Context, err error) {
	if t.fails.Swap(err != nil) == (err != nil) {
		return
	}
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	event.Log(ctx, t.log, level, event.ServersNotKept, slog.String("step", "save origins"), slog.Bool("failing", err != nil), slog.Any("error", err))
}

// restore takes over the records that are on disk.
func (t *originTable) restore(ctx context.Context) {
	records, err := t.disk.load(t.now())
	if err != nil {
		event.Log(ctx, t.log, slog.LevelWarn, event.ServersNotKept, slog.String("step", "load origins"), slog.String("error", err.Error()))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for i := range records {
		t.table.Add(&records[i], now)
	}
}

// recordOrigins holds origins that an entry records.
func (c *Coordinator) recordOrigins(_ context.Context, _ link.PeerInfo, req api.RecordOriginsRequest) (api.RecordOriginsReply, error) {
	c.origins.add(req.Records)
	return api.RecordOriginsReply{}, nil
}

// findOrigin replies what this replica knows of the stream that an attempt began.
func (c *Coordinator) findOrigin(_ context.Context, _ link.PeerInfo, req api.FindOriginRequest) (origin.Reply, error) {
	var r origin.Reply
	if r.Origin, r.Found = c.origins.get(req.Key); r.Found {
		rec, known := c.directory.Lookup(r.Origin.Server, c.now())
		r.Doubtful = known && r.Origin.Contradicted(rec.Incarnation, rec.Version)
		return r, nil
	}
	m := c.group.current.Load()
	if m == nil {
		return r, nil
	}
	logged, all := m.appliedVersions()
	r.Versions, r.Applied = c.versions.of(req.Service, logged), all
	r.View = m.view() // after the versions
	return r, nil
}

// errNotHeard reports a server of which no heartbeat has been received since this replica started. What it
// read from its data folder may lack the last start of the server.
var errNotHeard = errors.New("no heartbeat of the server has been received yet")

// serverStart replies which start of a server is the last that this replica knows.
func (c *Coordinator) serverStart(_ context.Context, _ link.PeerInfo, req api.ServerStartRequest) (api.ServerStartReply, error) {
	now := c.now()
	rec, known := c.directory.Lookup(req.Server, now)
	if !known || rec.HeartbeatAge > now.Sub(c.startedAt) {
		return api.ServerStartReply{}, errNotHeard
	}
	reply := api.ServerStartReply{Incarnation: rec.Incarnation}
	if m := c.group.current.Load(); m != nil {
		reply.View = m.view()
	}
	return reply, nil
}
