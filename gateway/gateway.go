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
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/patience"
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
	shares    *shares
	peers     *peers
	books     *bookkeeper
	datagrams *datagrams
	limits    *limits
	uses      *limitUses
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

	callersMu sync.Mutex
	callers   *patience.Estimator
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
		clock:     wallclock.System(), shares: newShares(deps.Now()), services: make(map[string]*service), entries: 1,
		live: make(map[string]liveCount), callers: patience.NewEstimator(),
		pool: backend.NewPool(backend.DefaultConfig(), deps.Now),
	}
	g.peers = &peers{directory: g.directory}
	g.uses = newLimitUses(g.log, g.metrics, g.now)
	g.books = g.newBooks()
	g.limits = newLimits(g.books, g.shares, b, g.log, g.now)
	g.usage = newUsage(g.clock, b.UsageWindow, b.UsageWindows())
	g.outcomes = outcomes{set: g.metrics}
	g.ordinary = event.NewSampler(g.log, g.now, event.DefaultOrdinary)
	var err error
	if g.retries, err = retry.New(retryConfig(b)); err != nil {
		return nil, trace.Wrap(err, "step=set up retries")
	}
	g.traffic = link.NewTraffic(g.metrics)
	g.links = link.NewPool(api.PoolConfig(g.peerInfo(), cfg.ClusterKey), link.PoolDeps{Log: deps.Log, Traffic: g.traffic})
	g.follower = follow.New(follow.Config{SingleSource: true}, follow.Deps{
		Pool: g.links, Log: g.log, Now: g.now, Request: g.watchRequest, Reply: g.take, OnUnreachable: g.replicaLost, Seeds: deps.Seeds,
	})
	return g, nil
}

const (
	// assumedEntries is how many entries share what may be repeated besides the ratio
	// until their number is known.
	assumedEntries = 8
	// leastRetryRatio and leastRetryBudget keep the policy's settings valid where a
	// site allows no repeats to speak of.
	leastRetryRatio  = 0.01
	leastRetryBudget = 0.5
	// firstRepeat is what each entry may repeat of a workspace's or a service's requests
	// before it has seen many of them.
	firstRepeat = 1
	// retryBackoff is the longest wait before a repeat: callers' objectives are a
	// few hundred milliseconds.
	retryBackoff = 50 * time.Millisecond
	// watchMin and watchMax bound how often an entry tells what it has running, and
	// learns what others have; watchEach is added for each entry, so that a replica
	// is called some fifty times a second at most while the bound allows.
	watchMin  = 400 * time.Millisecond
	watchMax  = time.Second
	watchEach = 20 * time.Millisecond
	// startWatchMin and startWatchEach are the same for an entry that has just started and
	// waits to hear of the others before it may use its share of the limits.
	startWatchMin  = 30 * time.Millisecond
	startWatchEach = time.Millisecond
)

// retryConfig returns the retry policy for a site's budget. Callers' objectives are
// too short for the usual waits.
func retryConfig(b site.Bounds) retry.Config {
	cfg := retry.DefaultConfig()
	cfg.Ratio = max(b.RetryRatio*retryPart, leastRetryRatio)
	cfg.Window = b.RetryWindow
	cfg.MinBudget = max(retryBudget(b, assumedEntries), firstRepeat) // a site may allow nothing besides the ratio
	cfg.Start = firstRepeat
	cfg.Backoff = retryBackoff
	cfg.WaveSpread = retryBackoff
	return cfg
}

// retryBudget is what one of so many entries may save up in repeats. All of them
// together may spend it in the same seconds, when servers are lost.
func retryBudget(b site.Bounds, entries int) float64 {
	return max(b.RetrySlack*retryPart/float64(max(entries, 1)), leastRetryBudget)
}

func (g *Gateway) peerInfo() link.PeerInfo {
	return link.PeerInfo{ID: g.cfg.Node.Name, Incarnation: g.life, Role: api.RoleEntry}
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
		s = newService(name, g.entries, func(l serverLoad) { g.books.tell(l) })
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

// late reports whether a request's objective has passed since its caller first tried.
func (g *Gateway) late(r *routes.Route, left time.Duration) bool {
	g.callersMu.Lock()
	defer g.callersMu.Unlock()
	return g.callers.ObjectivePassed(r.Name, left, r.Objective)
}

// sweepEvery is how often idle connections and old records are looked through.
const sweepEvery = time.Second

// Run serves until ctx ends, a signal comes or a component fails. public adds the
// actors that serve the outside, and returns how they stop taking connections.
func (g *Gateway) Run(ctx context.Context, public func(g *run.Group) (stopAccepting func(), err error)) error {
	defer g.links.Close()
	defer g.pool.Close()
	var group run.Group
	ops, err := daemon.Listen(ctx, g.log, "operations", g.cfg.Node.EntryOps())
	if err != nil {
		return err
	}
	if err := g.datagrams.open(ctx, g.cfg.Node.EntryBooks(g.cfg.Node.IP)); err != nil {
		return err
	}
	daemon.Actor(&group, g.follower.Run)
	daemon.Actor(&group, g.datagrams.run)
	daemon.Actor(&group, func(ctx context.Context) error { return daemon.Every(ctx, renewEvery, g.renewBooks) })
	daemon.Actor(&group, func(ctx context.Context) error {
		return daemon.Every(ctx, sweepEvery, func() {
			g.pool.Sweep()
			g.directory.Sweep(g.now(), false)
			g.applyDirectory()
		})
	})
	daemon.Actor(&group, func(ctx context.Context) error {
		return daemon.Every(ctx, askEvery, func() {
			g.limits.takePart()
			g.limits.askSharesBack()
			g.limits.askShares()
		})
	})
	daemon.Actor(&group, func(ctx context.Context) error { return daemon.Every(ctx, useLineEvery, g.uses.write) })
	daemon.EndWith(ctx, &group)
	daemon.Serve(&group, ops, daemon.Operations(g.metrics, g.Ready), daemon.CloseGrace, g.log)
	stopAccepting, err := public(&group)
	if err != nil {
		return err
	}
	daemon.Signals(&group, func(ctx context.Context) { g.Leave(ctx, stopAccepting) }, g.log)
	event.Log(ctx, g.log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "gateway"), slog.String("name", g.cfg.Node.Name), slog.String("zone", g.cfg.Node.Zone), slog.Any("seeds", g.cfg.Node.Seeds))
	err = group.Run()
	event.Log(context.Background(), g.log, slog.LevelInfo, event.ProcessStopped, slog.Any("error", err))
	return err
}
