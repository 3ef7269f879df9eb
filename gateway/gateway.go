package gateway

import (
	"context"
	"log/slog"
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
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/patience"
	"savoryreel.example/savoryreel/reach"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/serverlimit"
	"savoryreel.example/savoryreel/site"
	"savoryreel.example/savoryreel/wallclock"
)

// Config holds the settings of a Gateway.
type Config struct {
	Node       site.Node
	ClusterKey string
}

// Deps holds the dependencies of a Gateway.
type Deps struct {
	Log *slog.Logger
	Now func() time.Time // must carry a monotonic reading
	// Seeds returns the link addresses of the control replicas in the current settings.
	Seeds   func() []string
	Decode  func(document []byte) (*routes.Catalogue, error)
	Dialect Dialect
	// Clients bounds what the process holds for its clients; nil: by what the machine has.
	Clients *intake.Intake
}

// Gateway is one entry. Its methods are safe for concurrent use.
type Gateway struct {
	cfg         Config
	deps        Deps
	incarnation uint64
	log         *slog.Logger
	now         func() time.Time
	metrics     *metrics.Set

	adoptMu   sync.Mutex // serializes adopt
	table     atomic.Pointer[routes.Table]
	directory *directory.Store
	clock     *wallclock.Clock
	links     *link.Pool
	traffic   *link.Traffic
	follower  *follow.Follower
	reach     *reach.Dialer
	pool      *backend.Pool
	shares    *shares
	peers     *peers
	exchange  *peerExchange
	breaks    *breaks
	rollouts  *rollouts
	origins   *origins
	freshness *freshness
	// serverLimits holds what servers take from all entries together.
	serverLimits *serverlimit.Limits
	datagrams    *datagrams
	limits       *limits
	limitUsage   *limitUsage
	repeatUse    *repeatUse
	usage        *usage
	outcomes     outcomes
	sampler      *event.Sampler
	// serverSampler is for the lines about servers.
	serverSampler *event.Sampler

	breakReporter   delayedCall // reports breaks to the control replicas at once
	rolloutReporter delayedCall // reports bad answers of a rollout's candidate at once

	forgotAt time.Time // last sweep of the directory; used by upkeep only

	inFlight       atomic.Int64
	leaving        atomic.Bool
	recordSequence atomic.Uint64 // sequence number of this entry's directory record

	mu            sync.Mutex
	services      map[string]*service
	serverZones   map[string]string    // by address
	appliedChange uint64               // last change of the directory that was applied to services
	entryCount    int                  // live entries, 1 until a replica has reported
	liveCounts    map[string]liveCount // by control replica

	repeats *repeats

	callerWaitsMu sync.Mutex
	callerWaits   *patience.Estimator
}

// New returns an entry that is not running yet.
func New(cfg Config, deps Deps) (*Gateway, error) {
	if err := cfg.Node.Validate(); err != nil {
		return nil, trace.Wrap(err, "step=check settings")
	}
	if deps.Clients == nil {
		deps.Clients = intake.OfMachine(deps.Now)
	}
	b := cfg.Node.Bounds
	incarnation := uint64(time.Now().UnixMilli())
	g := &Gateway{
		cfg: cfg, deps: deps, log: deps.Log, now: deps.Now, incarnation: incarnation, metrics: metrics.NewSet(),
		directory: directory.NewStore(directory.Config{ForgetAfter: directory.DefaultForgetAfter}),
		clock:     wallclock.System(), shares: newShares(incarnation, deps.Now()), services: make(map[string]*service), entryCount: 1,
		liveCounts: make(map[string]liveCount), callerWaits: patience.NewEstimator(), serverZones: make(map[string]string),
	}
	deps.Clients.Register(g.metrics)
	g.peers = &peers{directory: g.directory}
	g.limitUsage = newLimitUsage(g.log, g.metrics, g.now)
	g.repeatUse = newRepeatUse(g.log, g.metrics)
	g.exchange = g.newExchange()
	g.breaks = newBreaks(g.now)
	g.serverLimits = serverlimit.New(cfg.Node.Name, g.askForTokens, g.now)
	g.freshness = newFreshness(b.ConfigApply, b.Drain, g.now)
	g.rollouts = g.newRollouts()
	g.origins = g.newOrigins()
	g.limits = newLimits(g.exchange, g.shares, b, g.log, g.now)
	g.usage = newUsage(g.clock, b.UsageWindow, b.UsageWindows())
	g.outcomes = outcomes{set: g.metrics}
	g.sampler = event.NewSampler(g.log, g.now, event.DefaultSampledPerSecond)
	g.serverSampler = event.NewSampler(g.log, g.now, maxServerLines)
	var err error
	if g.repeats, err = newRepeats(b, g.repeatUse, g.now); err != nil {
		return nil, trace.Wrap(err, "step=set up retries")
	}
	g.limits.onShare = g.repeats.setShare
	g.traffic = link.NewTraffic(g.metrics)
	g.reach = g.newReach()
	g.pool = backend.NewPool(backend.DefaultConfig(), g.reach, deps.Now)
	g.links = link.NewPool(api.PoolConfig(g.peerInfo(), cfg.ClusterKey), link.PoolDeps{Log: deps.Log, Traffic: g.traffic})
	g.follower = follow.New(follow.Config{SingleSource: true, Zone: cfg.Node.Zone}, follow.Deps{
		Pool: g.links, Log: g.log, Now: g.now, Request: g.watchRequest, Reply: g.applyReply, Catalogue: g.applyCatalogue, OnUnreachable: g.onReplicaUnreachable, Seeds: deps.Seeds,
		Missing: func(addr string) []directory.Key { return g.directory.Missing(addr, g.now()) }, BrokenOff: g.breaks.since,
	})
	return g, nil
}

const (
	// minWatchWait and maxWatchWait bound the time between two calls to a control replica,
	// which exchange what entries have running. watchWaitPerEntry limits a replica to about
	// fifty calls a second until maxWatchWait is reached. The follower waits less for the
	// replica that sends complete records.
	minWatchWait      = 400 * time.Millisecond
	maxWatchWait      = 2 * time.Second
	watchWaitPerEntry = 20 * time.Millisecond
	// minStartWatchWait and startWatchWaitPerEntry apply to an entry that has just started
	// and has no usable share of the limits yet.
	minStartWatchWait      = 30 * time.Millisecond
	startWatchWaitPerEntry = time.Millisecond
)

func (g *Gateway) peerInfo() link.PeerInfo {
	return link.PeerInfo{ID: g.cfg.Node.Name, Incarnation: g.incarnation, Role: api.RoleEntry}
}

// service returns the named service and creates it if needed, also if no server of it is
// known.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceLocked(name)
}

func (g *Gateway) serviceLocked(name string) *service {
	s := g.services[name]
	if s == nil {
		s = newService(name, g.entryCount, func(l serverLoad) { g.exchange.reportLoads(l) })
		g.services[name] = s
	}
	return s
}

// objectivePassed reports whether the request's objective has passed since its caller's
// first attempt. remaining is the time that the caller waits.
func (g *Gateway) objectivePassed(r *routes.Route, remaining time.Duration) bool {
	g.callerWaitsMu.Lock()
	defer g.callerWaitsMu.Unlock()
	return g.callerWaits.ObjectivePassed(r.Name, remaining, r.Objective)
}

// maxServerLines bounds the log lines per second on changes of servers.
const maxServerLines = 20

// upkeepInterval is how often upkeep runs.
const upkeepInterval = time.Second

// forgetInterval is how often records that have expired are looked for among thousands. It is far
// below directory.DefaultForgetAfter.
const forgetInterval = 10 * time.Second

// upkeep repeats this entry's reports of load, removes idle connections and expired records, and
// logs the use of limits and retry budgets. It is one task, so that an idle entry wakes once for it.
func (g *Gateway) upkeep() {
	g.freshness.tick()
	g.reportAllLoads()
	g.pool.Sweep()
	if now := g.now(); now.Sub(g.forgotAt) >= forgetInterval {
		g.forgotAt = now
		g.directory.Sweep(now, false)
		g.repeats.forget()
		g.breaks.expire()
		g.origins.expire(g.directory.ServiceVersions())
	}
	g.applyDirectory()
	g.limitUsage.logUsage()
	g.repeatUse.logUse()
	g.logShortages()
}

// Run serves until ctx ends, a signal arrives or a component fails. public adds the actors
// that serve callers and returns the callers' server.
func (g *Gateway) Run(ctx context.Context, public func(g *run.Group) (callers *daemon.HTTPServer, err error)) error {
	defer g.links.Close()
	defer g.pool.CloseAllIdle()
	var group run.Group
	ops, err := daemon.Listen(ctx, g.log, "operations", g.cfg.Node.EntryOps())
	if err != nil {
		return err
	}
	links, err := daemon.Listen(ctx, g.log, "link", g.cfg.Node.EntryLink(g.cfg.Node.IP))
	if err != nil {
		return err
	}
	accepting := link.NewServer(link.ServerConfig{Self: g.peerInfo(), ClusterKey: []byte(g.cfg.ClusterKey)}, link.ServerDeps{Log: g.log, Traffic: g.traffic})
	g.reach.Carrier.Register(accepting)
	if err := g.datagrams.open(ctx, g.cfg.Node.EntryExchange(g.cfg.Node.IP)); err != nil {
		return err
	}
	g.freshness.tick() // a pause before the first upkeep is noticed as well
	// Actors are ended in this order: requests in progress need the components below.
	callers, err := public(&group)
	if err != nil {
		return err
	}
	daemon.ServeOperations(&group, ops, daemon.Operations(g.metrics, g.Ready), g.deps.Clients, g.log)
	daemon.Actor(&group, func(ctx context.Context) error { return accepting.Serve(ctx, links) })
	daemon.Actor(&group, g.reach.Run)
	daemon.Actor(&group, g.follower.Run)
	daemon.Actor(&group, g.datagrams.run)
	daemon.Actor(&group, func(ctx context.Context) error { return daemon.Every(ctx, upkeepInterval, g.upkeep) })
	daemon.Actor(&group, g.limits.run)
	daemon.EndWith(ctx, &group)
	daemon.Signals(&group, func(ctx context.Context) { g.Leave(ctx, callers) }, g.log)
	event.Log(ctx, g.log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "gateway"), slog.String("name", g.cfg.Node.Name), slog.String("zone", g.cfg.Node.Zone), slog.Any("seeds", g.cfg.Node.Seeds))
	err = group.Run()
	event.Log(context.Background(), g.log, slog.LevelInfo, event.ProcessStopped, slog.Any("error", err))
	return err
}
