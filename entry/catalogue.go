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

// Calls between entries, for an entry that cannot reach control itself.
const (
	methodConfirmed = "entry.confirmed"
	methodCatalogue = "entry.catalogue"
)

// catalogue is one version of the catalogue with indexes for lookups. It is immutable.
type catalogue struct {
	reply            api.CatalogueReply
	workspacesByKey  map[contract.KeyHash]*contract.Workspace
	workspacesByName map[string]*contract.Workspace
	services         map[string]*contract.Service
}

func newCatalogue(r api.CatalogueReply) *catalogue {
	c := &catalogue{
		reply:            r,
		workspacesByKey:  map[contract.KeyHash]*contract.Workspace{},
		workspacesByName: map[string]*contract.Workspace{},
		services:         map[string]*contract.Service{},
	}
	for i := range r.Catalogue.Workspaces {
		w := &r.Catalogue.Workspaces[i]
		c.workspacesByName[w.Name] = w
		for _, k := range w.Keys {
			c.workspacesByKey[k] = w
		}
	}
	for i := range r.Catalogue.Services {
		s := &r.Catalogue.Services[i]
		c.services[s.Name] = s
	}
	return c
}

// empty reports whether the catalogue has no workspace keys, as before the first catalogue
// is accepted. Callers would take "unknown key" as final, so they are told to retry
// instead.
func (c *catalogue) empty() bool { return len(c.workspacesByKey) == 0 }

// workspaceOf returns the workspace of a bearer key. The lookup is by hash, so its duration
// reveals nothing about other keys.
func (c *catalogue) workspaceOf(key string) (*contract.Workspace, bool) {
	w, ok := c.workspacesByKey[contract.HashKey(key)]
	return w, ok
}

// serviceStopped reports whether a planned stop in force covers the service.
func (c *catalogue) serviceStopped(service string, now time.Time) bool {
	for i := range c.reply.Stops {
		s := &c.reply.Stops[i]
		if s.Scope == contract.StopService && s.Name == service && s.InForce(now) {
			return true
		}
	}
	return false
}

// instanceStopped reports whether a planned stop in force covers the instance or its zone.
func (c *catalogue) instanceStopped(id, zone string, now time.Time) bool {
	for i := range c.reply.Stops {
		s := &c.reply.Stops[i]
		if s.Covers(id, zone) && s.InForce(now) {
			return true
		}
	}
	return false
}

// controlClient calls the control replicas.
type controlClient interface {
	Confirm(ctx context.Context) (api.Confirmation, error)
	Catalogue(ctx context.Context, have uint64) (api.CatalogueReply, error)
}

// follower fetches the catalogue and tracks since when it has been confirmed.
//
// An entry that a partition has cut off from control would go on serving by an old
// catalogue, also for a workspace that an operator has disabled since. So an entry admits
// new requests only if a majority of the control replicas has confirmed, within freshFor,
// that no newer catalogue has been accepted, and knows the quarantine records that a majority
// holds. A confirmation needs no leader. One that another entry has obtained counts as well,
// with its age.
type follower struct {
	control          controlClient
	pool             *link.Pool
	peers            func() []string // link addresses of other entries
	log              *slog.Logger
	now              func() time.Time
	freshFor         time.Duration
	interval         time.Duration
	serveUnconfirmed bool
	onChange         func(*catalogue)
	records          *recordFollower

	current atomic.Pointer[catalogue]

	mu          sync.Mutex
	confirmedAt time.Time // when the request was sent whose response confirmed the catalogue
	loggedFresh bool      // whether the catalogue was fresh when last logged
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

// confirmedReply reports an entry's catalogue to another entry. Age counts from the request
// for the confirmation. The receiver subtracts it from the time of its own request, so the
// result is never too recent.
type confirmedReply struct {
	Index uint64        `msgpack:"idx"`
	Age   time.Duration `msgpack:"age"`
	Known bool          `msgpack:"known"`
}

// describe returns the index and the age of the confirmed catalogue, for other entries.
func (f *follower) describe() confirmedReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.current.Load() // under the lock, so that a poll in between cannot combine its confirmation with the old index
	if c == nil || f.confirmedAt.IsZero() {
		return confirmedReply{}
	}
	return confirmedReply{Index: c.reply.Index, Age: f.now().Sub(f.confirmedAt), Known: true}
}

// run polls until ctx ends.
func (f *follower) run(ctx context.Context) error {
	tick := time.NewTicker(f.interval)
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

// poll asks control or, if that fails, other entries whether the catalogue is current, and
// fetches a newer one.
func (f *follower) poll(ctx context.Context) {
	askedAt := f.now()
	if err := f.pollControl(ctx, askedAt); err != nil {
		f.pollPeers(ctx, askedAt)
	}
	f.logFreshness(ctx)
}

func (f *follower) pollControl(ctx context.Context, askedAt time.Time) error {
	c, err := f.control.Confirm(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if f.current.Load() == nil || f.index() < c.Newest {
		reply, err := f.control.Catalogue(ctx, f.index())
		if err == nil {
			f.applyReply(ctx, reply)
		}
	}
	if err := f.records.follow(ctx, c.NeededQuarantine); err != nil {
		return err
	}
	f.recordConfirmation(c.Needed, askedAt)
	return nil
}

// pollPeers asks other entries, which may reach control when this one cannot, until the
// catalogue is fresh.
func (f *follower) pollPeers(ctx context.Context, askedAt time.Time) {
	for _, addr := range f.peers() {
		reply, err := link.Call[confirmedReply](ctx, f.pool, addr, methodConfirmed, struct{}{})
		if err != nil || !reply.Known {
			continue
		}
		if f.index() < reply.Index {
			catalogueReply, err := link.Call[api.CatalogueReply](ctx, f.pool, addr, methodCatalogue, api.CatalogueRequest{KnownIndex: f.index()})
			if err != nil {
				continue
			}
			f.applyReply(ctx, catalogueReply)
		}
		f.recordConfirmation(reply.Index, askedAt.Add(-reply.Age))
		if f.isFresh() {
			return
		}
	}
}

// index returns the index of the catalogue, or 0 without one.
func (f *follower) index() uint64 {
	if c := f.current.Load(); c != nil {
		return c.reply.Index
	}
	return 0
}

// applyReply replaces the catalogue by a newer one. It ignores an older one, as a lagging
// replica may send it, so that the catalogue never reverts.
func (f *follower) applyReply(ctx context.Context, r api.CatalogueReply) {
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

// recordConfirmation records that no change after index needed had been accepted at
// askedAt. It has no effect if this entry's catalogue is older than needed.
func (f *follower) recordConfirmation(needed uint64, askedAt time.Time) {
	if f.index() < needed || f.current.Load() == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if askedAt.After(f.confirmedAt) {
		f.confirmedAt = askedAt
	}
}

// isFresh reports whether the catalogue was confirmed within freshFor.
func (f *follower) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.IsZero() && f.now().Sub(f.confirmedAt) <= f.freshFor
}

// inForce returns the catalogue that applies to new requests, or nil if it is not fresh.
func (f *follower) inForce() *catalogue {
	if !(f.serveUnconfirmed || f.isFresh()) {
		return nil
	}
	return f.current.Load() // after isFresh, since a poll in between may confirm a newer catalogue than was loaded before
}

// logFreshness logs when the catalogue becomes fresh or ceases to be.
func (f *follower) logFreshness(ctx context.Context) {
	fresh := f.isFresh()
	f.mu.Lock()
	changed := fresh != f.loggedFresh
	f.loggedFresh = fresh
	f.mu.Unlock()
	switch {
	case changed && fresh:
		event.Log(ctx, f.log, slog.LevelInfo, event.FreshnessBack, slog.Uint64("index", f.index()))
	case changed:
		event.Log(ctx, f.log, slog.LevelWarn, event.FreshnessLost, slog.Uint64("index", f.index()))
	}
}
