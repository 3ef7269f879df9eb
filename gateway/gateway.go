package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
	"savoryreel.example/savoryreel/wallclock"
)

// Config is the settings of a Gateway.
type Config struct {
	Node       site.Node
	ClusterKey string
}

// Deps is what a Gateway works with.
type Deps struct {
	Log *slog.Logger
	Now func() time.Time // must carry a monotonic reading
	// Seeds returns the link addresses of the control replicas that the settings
	// name now.
	Seeds   func() []string
	Decode  func(document []byte) (*routes.Catalogue, error)
	Dialect Dialect
}

// Gateway is one entry. Its methods are safe for concurrent use.
type Gateway struct {
	cfg     Config
	deps    Deps
	life    uint64
	log     *slog.Logger
	now     func() time.Time
	metrics *metrics.Set

	adopting  sync.Mutex // held while a catalogue is put in force
	table     atomic.Pointer[routes.Table]
	directory *directory.Store
	clock     *wallclock.Clock
	links     *link.Pool
	traffic   *link.Traffic
	follower  *follow.Follower
	pool      *backend.Pool
	limiter   *limiter
	usage     *usage
	outcomes  outcomes
	ordinary  *event.Sampler

	inFlight atomic.Int64
	leaving  atomic.Bool
	sequence atomic.Uint64 // of this entry's record

	mu       sync.Mutex
	services map[string]*service
	applied  uint64 // change of the directory up to which services know it
	entries  int
	live     map[string]liveCount // entries as each replica counted them last

	retryMu sync.Mutex
	retries *retry.Policy
}

// retryPart is the part of the site's retry budget that the entries spend. What
// is left covers requests that several entries count in different windows.
const retryPart = 0.7

// New builds an entry.
func New(cfg Config, deps Deps) (*Gateway, error) {
	if err := cfg.Node.Validate(); err != nil {
		return nil, trace.Wrap(err, "step=check settings")
	}
	b := cfg.Node.Bounds
	g := &Gateway{
		cfg: cfg, deps: deps, log: deps.Log, now: deps.Now, life: uint64(time.Now().UnixMilli()), metrics: metrics.NewSet(),
		directory: directory.NewStore(directory.Config{ForgetAfter: directory.DefaultForgetAfter}),
		clock:     wallclock.System(), limiter: newLimiter(b), services: make(map[string]*service), entries: 1,
		live: make(map[string]liveCount),
		pool: backend.NewPool(backend.DefaultConfig(), deps.Now),
	}
	g.usage = newUsage(g.clock, b.UsageWindow)
	g.outcomes = outcomes{set: g.metrics}
	g.ordinary = event.NewSampler(g.log, g.now, event.DefaultOrdinary)
	retryCfg := retry.DefaultConfig()
	retryCfg.Ratio = max(b.RetryRatio*retryPart, 0.01)
	retryCfg.Window = b.RetryWindow
	retryCfg.MinBudget = max(b.RetrySlack*retryPart/assumedEntries, 1)
	retryCfg.Backoff = retryBackoff
	retryCfg.WaveSpread = retryBackoff
	var err error
	if g.retries, err = retry.New(retryCfg); err != nil {
		return nil, trace.Wrap(err, "step=set up retries")
	}
	g.traffic = link.NewTraffic(g.metrics)
	g.links = link.NewPool(link.PoolConfig{Self: g.peerInfo(), ClusterKey: []byte(cfg.ClusterKey), MaxFrame: maxFrame, BackoffMax: linkBackoff},
		link.PoolDeps{Log: deps.Log, Traffic: g.traffic})
	g.follower = follow.New(follow.Config{}, follow.Deps{
		Pool: g.links, Log: g.log, Now: g.now, Request: g.watchRequest, Reply: g.take, Seeds: deps.Seeds,
	})
	return g, nil
}

const (
	// assumedEntries splits what may be repeated besides the ratio among the
	// entries.
	assumedEntries = 8
	// retryBackoff is the longest wait before a repeat: callers' objectives are a
	// few hundred milliseconds.
	retryBackoff = 50 * time.Millisecond
	// watchMin and watchMax bound how often an entry tells what it has running, and
	// learns what others have; watchEach is added for each entry, so that a replica
	// is called some fifty times a second at most while the bound allows.
	watchMin  = 400 * time.Millisecond
	watchMax  = time.Second
	watchEach = 20 * time.Millisecond
	// maxFrame holds the largest catalogue with its envelope.
	maxFrame = 8 << 20
	// linkBackoff is the longest pause between attempts to reach a replica.
	linkBackoff = 500 * time.Millisecond
)

func (g *Gateway) peerInfo() link.PeerInfo {
	return link.PeerInfo{ID: g.cfg.Node.Name, Incarnation: g.life, Role: api.RoleEntry}
}

// self is this entry's record of itself.
func (g *Gateway) self() directory.Entry {
	e := directory.Entry{
		Name: g.cfg.Node.Name, Incarnation: g.life, Sequence: g.sequence.Load(), State: instance.StateServing,
		Address: g.cfg.Node.Listen.Callers, Zone: g.cfg.Node.Zone, Region: g.cfg.Node.Region,
	}
	if g.leaving.Load() {
		e.State = instance.StateLeaving
	}
	return e
}

func (g *Gateway) watchRequest() api.WatchRequest {
	req := api.WatchRequest{Role: api.RoleEntry, Wait: g.watchWait(), Usage: g.usage.report()}
	if t := g.table.Load(); t != nil {
		req.Revision = t.Catalogue().Revision
		// Callers are sent here only once they can be answered.
		self := g.self()
		req.Entry = &self
		req.Loads = g.loads()
		req.Uses = g.limiter.used()
	}
	return req
}

// watchWait is how long a replica is to keep a call waiting.
func (g *Gateway) watchWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(time.Duration(g.entries)*watchEach, watchMin), watchMax)
}

// take merges what a control replica told.
func (g *Gateway) take(addr string, r api.WatchReply) {
	g.clock.Observe(addr, r.Clock)
	hadNone := g.table.Load() == nil
	g.adopt(r.Revision, r.Document, addr)
	if hadNone && g.table.Load() != nil {
		g.follower.Kick()
	}
	g.directory.Merge(r.Servers, r.Entries, g.now())
	g.countEntries(addr, r.Live)
	g.applyDirectory()
	g.noteOthers(r.Loads)
	if r.Uses != nil {
		g.limiter.noteOthers(addr, r.Life, r.Uses, g.now())
	}
}

// loads returns what this entry has running at all servers.
func (g *Gateway) loads() []api.ServerLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []api.ServerLoad
	for _, s := range g.services {
		list = s.loads(list)
	}
	return list
}

// noteOthers passes on what other entries have running.
func (g *Gateway) noteOthers(loads []api.ServerLoad) {
	others := make(map[string]api.ServerLoad, len(loads))
	for _, l := range loads {
		others[l.Server] = l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, s := range g.services {
		s.noteOthers(others, now)
	}
}

// liveCount is how many entries a control replica knows to take callers.
type liveCount struct {
	n  int
	at time.Time
}

// liveFor is how long a replica's count stands.
const liveFor = 5 * time.Second

// countEntries takes a replica's count of live entries. The highest one counts:
// a replica that has just started knows few, and an entry that believed it would
// allow itself more than its part of every limit.
func (g *Gateway) countEntries(addr string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.live[addr] = liveCount{n: n, at: now}
	most := 1
	for from, c := range g.live {
		if now.Sub(c.at) > liveFor {
			delete(g.live, from)
			continue
		}
		most = max(most, c.n)
	}
	if most == g.entries {
		return
	}
	g.entries = most
	g.limiter.setEntries(most)
	for _, s := range g.services {
		s.setEntries(most)
	}
}

// applyDirectory passes on what is new in the directory to the services.
func (g *Gateway) applyDirectory() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	changes := g.directory.Since(g.applied, false, now)
	g.applied = changes.Seq
	for i := range changes.Servers {
		g.applyServer(&changes.Servers[i], now)
	}
}

// applyServer tells the services of a server. g.mu is held.
func (g *Gateway) applyServer(rec *directory.Server, now time.Time) {
	g.logServer(rec)
	for name, s := range g.services {
		if len(rec.Services) == 0 || rec.Services[0] != name {
			s.drop(rec.ID)
		}
	}
	if len(rec.Services) > 0 {
		g.serviceLocked(rec.Services[0]).update(*rec, now)
	}
	if rec.State == instance.StateGone {
		g.pool.Forget(rec.Address)
	}
}

func (g *Gateway) logServer(rec *directory.Server) {
	kind := event.ServerAnnounced
	switch {
	case rec.State == instance.StateLeaving:
		kind = event.ServerLeaving
	case rec.State == instance.StateGone || rec.Silent:
		kind = event.ServerGone
	}
	event.Log(context.Background(), g.log, slog.LevelInfo, kind, slog.String("server", rec.ID), slog.String("address", rec.Address),
		slog.Uint64("incarnation", rec.Incarnation), slog.Uint64("sequence", rec.Sequence), slog.Any("services", rec.Services),
		slog.String("zone", rec.Zone), slog.Bool("silent", rec.Silent), slog.Duration("heardAgo", rec.HeardAgo))
}

// service returns the service of a name, also one of which no server is known.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceLocked(name)
}

func (g *Gateway) serviceLocked(name string) *service {
	s := g.services[name]
	if s == nil {
		s = newService(name, g.entries)
		g.services[name] = s
	}
	return s
}

func (g *Gateway) noteFirst(c retry.Call) {
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	g.retries.First(g.now(), c)
}

func (g *Gateway) failed(f retry.Failure) retry.Verdict {
	g.retryMu.Lock()
	defer g.retryMu.Unlock()
	return g.retries.Failed(g.now(), f, rand.Float64())
}

// Leaving reports whether this entry has begun to stop.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready returns why callers should not come here, or nil.
func (g *Gateway) Ready() error {
	switch {
	case g.leaving.Load():
		return trace.ConnectionProblem(nil, "leaving")
	case g.table.Load() == nil:
		return trace.ConnectionProblem(nil, "no catalogue is known yet")
	default:
		return nil
	}
}

const (
	// acceptPart is the part of the grace for a stop in which an entry that leaves
	// still takes callers. Their lists name it for a while, and what comes later
	// would not be done by the end of the grace.
	acceptPart = 0.35
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 400 * time.Millisecond
	// idleCheck is how often a leaving entry looks whether it has nothing left to do.
	idleCheck = 50 * time.Millisecond
)

// Leave ends this entry's service without cutting off a request: it is no longer
// named to callers, closes its doors a little later, and ends when the last
// request is done or the grace is over. closeDoors stops taking connections.
func (g *Gateway) Leave(ctx context.Context, closeDoors func()) {
	start := g.now()
	g.leaving.Store(true)
	g.sequence.Add(1)
	g.follower.Kick()
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainBegun, slog.Int64("inFlight", g.inFlight.Load()))
	grace := g.cfg.Node.Bounds.StopGrace
	pause(ctx, time.Duration(float64(grace)*acceptPart))
	closeDoors()
	for g.inFlight.Load() > 0 && g.now().Sub(start) < grace-stopMargin && ctx.Err() == nil {
		pause(ctx, idleCheck)
	}
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainDone, slog.Int64("unfinished", g.inFlight.Load()))
}

// sweepEvery is how often idle connections and old records are looked through.
const sweepEvery = time.Second

// Run serves until ctx ends, a signal comes or a component fails. public adds the
// actors that serve the outside, and returns how they stop taking connections.
func (g *Gateway) Run(ctx context.Context, public func(g *run.Group) (closeDoors func(), err error)) error {
	defer g.links.Close()
	defer g.pool.Close()
	var group run.Group
	ops, err := daemon.Listen(ctx, g.log, "operations", g.cfg.Node.EntryOps())
	if err != nil {
		return err
	}
	daemon.Actor(&group, g.follower.Run)
	daemon.Actor(&group, func(ctx context.Context) error {
		return daemon.Every(ctx, sweepEvery, func() {
			g.pool.Sweep()
			g.directory.Sweep(g.now(), false)
			g.applyDirectory()
		})
	})
	daemon.Actor(&group, func(actorCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-actorCtx.Done():
		}
		return nil
	})
	daemon.Serve(&group, ops, daemon.Operations(g.metrics, g.Ready), daemon.CloseGrace, g.log)
	closeDoors, err := public(&group)
	if err != nil {
		return err
	}
	daemon.Signals(&group, func(ctx context.Context) { g.Leave(ctx, closeDoors) }, g.log)
	event.Log(ctx, g.log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "gateway"), slog.String("name", g.cfg.Node.Name), slog.String("zone", g.cfg.Node.Zone), slog.Any("seeds", g.cfg.Node.Seeds))
	err = group.Run()
	text := ""
	if err != nil {
		text = err.Error()
	}
	event.Log(context.Background(), g.log, slog.LevelInfo, event.ProcessStopped, slog.String("error", text))
	return err
}
