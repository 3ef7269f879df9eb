package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
)

// Links between entries that keep catalogues current where control cannot be
// reached directly.
const (
	methodConfirmed = "entry.confirmed"
	methodCatalogue = "entry.catalogue"
)

// catalogue is one version of the catalogue, indexed for requests. It does not
// change.
type catalogue struct {
	reply      api.CatalogueReply
	workspaces map[contract.KeyHash]*contract.Workspace
	byName     map[string]*contract.Workspace
	services   map[string]*contract.Service
}

func newCatalogue(r api.CatalogueReply) *catalogue {
	c := &catalogue{
		reply:      r,
		workspaces: map[contract.KeyHash]*contract.Workspace{},
		byName:     map[string]*contract.Workspace{},
		services:   map[string]*contract.Service{},
	}
	for i := range r.Catalogue.Workspaces {
		w := &r.Catalogue.Workspaces[i]
		c.byName[w.Name] = w
		for _, k := range w.Keys {
			c.workspaces[k] = w
		}
	}
	for i := range r.Catalogue.Services {
		s := &r.Catalogue.Services[i]
		c.services[s.Name] = s
	}
	return c
}

// empty reports whether nobody can call: no catalogue was accepted yet. A good key
// must not read as unknown then, which callers take for final.
func (c *catalogue) empty() bool { return len(c.workspaces) == 0 }

// workspaceOf finds the workspace of a bearer key. The key is looked up by its
// hash, so the time taken tells nothing about other keys.
func (c *catalogue) workspaceOf(key string) (*contract.Workspace, bool) {
	w, ok := c.workspaces[contract.HashKey(key)]
	return w, ok
}

// stopped reports whether a planned stop covers the service.
func (c *catalogue) stopped(service string, now time.Time) bool {
	for i := range c.reply.Stops {
		s := &c.reply.Stops[i]
		if s.Scope == contract.StopService && s.Name == service && s.InForce(now) {
			return true
		}
	}
	return false
}

// covered reports whether a planned stop in force covers an instance.
func (c *catalogue) covered(id, zone string, now time.Time) bool {
	for i := range c.reply.Stops {
		s := &c.reply.Stops[i]
		if s.Covers(id, zone) && s.InForce(now) {
			return true
		}
	}
	return false
}

// controlClient is how an entry reaches the control replicas.
type controlClient interface {
	Confirm(ctx context.Context) (api.Confirmation, error)
	Catalogue(ctx context.Context, have uint64) (api.CatalogueReply, error)
}

// follower keeps this entry's catalogue current and knows until when it surely
// is.
//
// An entry that a silent partition has cut off goes on serving an old catalogue
// unless something stops it: a workspace that an operator has just cut off
// would still be served there. So an entry lets new requests in only while a
// majority of control replicas has confirmed, within freshFor, that nothing
// newer than its catalogue has been accepted. No leader is needed for that, and
// another entry's confirmation counts with its age.
type follower struct {
	control  controlClient
	pool     *link.Pool
	peers    func() []string // link addresses of other entries
	log      *slog.Logger
	now      func() time.Time
	freshFor time.Duration
	every    time.Duration
	lax      bool
	onChange func(*catalogue)

	current atomic.Pointer[catalogue]

	mu        sync.Mutex
	confirmed time.Time // when the question was asked whose answer confirmed the catalogue
	fresh     bool      // as last logged
}

func (f *follower) register(s *link.Server) {
	link.Handle(s, methodConfirmed, func(context.Context, link.PeerInfo, struct{}) (confirmedReply, error) {
		return f.describe(), nil
	})
	link.Handle(s, methodCatalogue, func(_ context.Context, _ link.PeerInfo, r api.CatalogueRequest) (api.CatalogueReply, error) {
		c := f.current.Load()
		if c == nil || c.reply.Index <= r.KnownIndex {
			return api.CatalogueReply{Unchanged: true}, nil
		}
		return c.reply, nil
	})
}

// confirmedReply is what one entry tells another of its catalogue. Age counts
// from when the confirmation was asked for; the receiver takes it as having
// been that old when it sent its own question, which is never too young.
type confirmedReply struct {
	Index uint64        `msgpack:"idx"`
	Age   time.Duration `msgpack:"age"`
	Known bool          `msgpack:"known"`
}

func (f *follower) describe() confirmedReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.current.Load() // not before the lock: a poll in between would put its confirmation beside the old index
	if c == nil || f.confirmed.IsZero() {
		return confirmedReply{}
	}
	return confirmedReply{Index: c.reply.Index, Age: f.now().Sub(f.confirmed), Known: true}
}

// run polls until ctx ends.
func (f *follower) run(ctx context.Context) error {
	tick := time.NewTicker(f.every)
	defer tick.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (f *follower) poll(ctx context.Context) {
	asked := f.now()
	if err := f.pollControl(ctx, asked); err != nil {
		f.pollPeers(ctx, asked)
	}
	f.report(ctx)
}

func (f *follower) pollControl(ctx context.Context, asked time.Time) error {
	c, err := f.control.Confirm(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if f.current.Load() == nil || f.index() < c.Newest {
		reply, err := f.control.Catalogue(ctx, f.index())
		if err == nil {
			f.take(ctx, reply)
		}
	}
	f.confirm(c.Needed, asked)
	return nil
}

// pollPeers asks other entries, which may reach control where this one cannot.
func (f *follower) pollPeers(ctx context.Context, asked time.Time) {
	for _, addr := range f.peers() {
		reply, err := link.Call[confirmedReply](ctx, f.pool, addr, methodConfirmed, struct{}{})
		if err != nil || !reply.Known {
			continue
		}
		if f.index() < reply.Index {
			cat, err := link.Call[api.CatalogueReply](ctx, f.pool, addr, methodCatalogue, api.CatalogueRequest{KnownIndex: f.index()})
			if err != nil {
				continue
			}
			f.take(ctx, cat)
		}
		f.confirm(reply.Index, asked.Add(-reply.Age))
		if f.isFresh() {
			return
		}
	}
}

func (f *follower) index() uint64 {
	if c := f.current.Load(); c != nil {
		return c.reply.Index
	}
	return 0
}

// take puts a newer catalogue in force here. An older one, answered late by a
// replica that lags, is passed over: a catalogue never reverts.
func (f *follower) take(ctx context.Context, r api.CatalogueReply) {
	old := f.current.Load()
	if r.Unchanged || (old != nil && r.Index <= old.reply.Index) {
		return
	}
	c := newCatalogue(r)
	f.current.Store(c)
	event.Log(ctx, f.log, slog.LevelInfo, event.CatalogueTaken,
		slog.Uint64("version", r.Version), slog.Uint64("index", r.Index))
	f.onChange(c)
}

// confirm notes that at the time asked nothing beyond index needed had been
// accepted, if this entry's catalogue reaches it.
func (f *follower) confirm(needed uint64, asked time.Time) {
	if f.index() < needed || f.current.Load() == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if asked.After(f.confirmed) {
		f.confirmed = asked
	}
}

func (f *follower) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmed.IsZero() && f.now().Sub(f.confirmed) <= f.freshFor
}

// inForce returns the catalogue by which new requests may be judged, or nil.
func (f *follower) inForce() *catalogue {
	if !(f.lax || f.isFresh()) {
		return nil
	}
	return f.current.Load() // not before isFresh: a poll in between would confirm a newer one than was loaded
}

func (f *follower) report(ctx context.Context) {
	fresh := f.isFresh()
	f.mu.Lock()
	changed := fresh != f.fresh
	f.fresh = fresh
	f.mu.Unlock()
	switch {
	case changed && fresh:
		event.Log(ctx, f.log, slog.LevelInfo, event.FreshnessBack, slog.Uint64("index", f.index()))
	case changed:
		event.Log(ctx, f.log, slog.LevelWarn, event.FreshnessLost, slog.Uint64("index", f.index()))
	}
}
