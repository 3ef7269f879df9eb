// Package entry is the daemon that callers connect to. It returns the list of entries,
// admits their requests, queues them by workspace, routes them to backend servers and
// streams the answers. When its instance is reclaimed it hands its requests over to other
// entries.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/membership"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/pick"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/reach"
	"savoryreel.example/savoryreel/serverlimit"
)

// Intervals and timeouts of the periodic work.
const (
	catalogueInterval   = 500 * time.Millisecond // of polls for the catalogue; a change must be in force within 6 s
	laneInterval        = 20 * time.Millisecond  // of checks for expired requests and free slots
	plannedStopInterval = 250 * time.Millisecond // of checks for planned stops that begin or end
	syncInterval        = 100 * time.Millisecond // of updates of the lanes with the load that servers report
	housekeepInterval   = time.Second
	orphanTimeout       = 30 * time.Second // after it a request taken over is cancelled if its caller has not connected
	closeTimeout        = 5 * time.Second
)

// Deps are the dependencies of an Entry.
type Deps struct {
	Log *slog.Logger
	Now func() time.Time // its times must have a monotonic reading
}

// Entry is one entry process. New builds it and Run serves until it ends.
type Entry struct {
	cfg         Config
	deps        Deps
	incarnation uint64
	announceKey contract.KeyHash
	metrics     *Metrics

	ctx    context.Context // cancelled after the drain
	cancel context.CancelFunc

	clients        *intake.Intake
	callerGate     *intake.Gate
	callers        *daemon.HTTPServer
	traffic        *link.Traffic
	pool           *link.Pool
	members        *membership.Node
	control        *api.Client
	ledger         ledgerClient
	follower       *follower
	lanes          *lanes
	prefixes       *prefixes
	registry       *registry
	onceCalls      *onceCalls
	runner         *runner
	reach          *reach.Dialer
	engines        *native.EngineClient
	plains         *native.PlainClient
	plainClient    plainClient
	admitter       *admission
	retries        *retries
	picker         *pick.Picker
	guard          *guard
	slotExchange   *slotExchange
	evacuations    *evacuations
	reclaimNotices *reclaimNotices
	trafficShares  *trafficShares
	lifecycle      *lifecycle

	selfNotices  chan time.Duration // reclaim notices for this instance
	plainRunning atomic.Int64

	runningRequests sync.WaitGroup // chat requests
	ledgerUpdates   sync.WaitGroup // updates that the ledger has not committed yet
	listingFetches  sync.WaitGroup // fetches of prefix cache listings
}

// callersFraction is the fraction of the connections and requests in progress that the callers' listener has.
const callersFraction = 0.95

// New returns an entry that Run starts. It opens no listener.
func New(cfg Config, deps Deps) (*Entry, error) {
	daemon.LimitMemory(int64(cfg.MemoryMB) << 20)
	set := metrics.NewSet()
	e := &Entry{
		cfg: cfg, deps: deps, incarnation: uint64(deps.Now().UnixMilli()),
		announceKey: contract.HashKey(cfg.AnnounceKey),
		metrics:     NewMetrics(set), registry: newRegistry(), onceCalls: newOnceCalls(), reclaimNotices: &reclaimNotices{ends: map[string]time.Time{}},
		trafficShares: newTrafficShares(), lifecycle: newLifecycle(deps.Now), selfNotices: make(chan time.Duration, 1),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.traffic = link.NewTraffic(set)
	e.pool = link.NewPool(link.PoolConfig{Self: e.peerInfo(), ClusterKey: []byte(cfg.ClusterKey)},
		link.PoolDeps{Log: deps.Log, Traffic: e.traffic})
	e.control = api.NewClient(e.pool, cfg.Control, cfg.ID)
	e.ledger = e.control
	limits := serverlimit.New(cfg.ID, e.control.ServerTokens, deps.Now)
	e.lanes = newLanes(entryLocation{zone: cfg.Zone, region: cfg.Region}, limits, deps.Log, deps.Now)
	var err error
	if e.admitter, err = newAdmission(fmt.Sprintf("%s/%d", cfg.ID, e.incarnation), deps.Now); err != nil {
		return nil, err
	}
	if e.retries, err = newRetries(deps.Now); err != nil {
		return nil, err
	}
	if e.picker, err = pick.New(cfg.pickConfig()); err != nil {
		return nil, err
	}
	e.slotExchange = newSlotExchange(e)
	if e.evacuations, err = newEvacuations(e); err != nil {
		return nil, err
	}
	if e.guard, err = newGuard(e); err != nil {
		return nil, err
	}
	e.reach = e.newReach()
	e.engines = native.NewEngine(native.EngineConfig{Dial: e.reach.Dial})
	e.plains = native.NewPlain(native.PlainConfig{Dial: e.reach.Dial})
	e.plainClient = e.plains
	e.runner = &runner{
		engines: e.engines, log: deps.Log, now: deps.Now, metrics: e.metrics, guard: e.guard, lanes: e.lanes,
	}
	e.prefixes = &prefixes{
		entry: e, lanes: e.lanes, engines: e.engines, log: deps.Log, fetchGroup: &e.listingFetches, ctx: e.ctx, fetches: map[string]bool{},
	}
	e.follower = &follower{
		control: e.control, pool: e.pool, peers: e.peerLinks, log: deps.Log, now: deps.Now,
		freshFor: cfg.FreshFor, interval: catalogueInterval, serveUnconfirmed: cfg.ServeUnconfirmed, onChange: e.catalogueChanged,
		records: &recordFollower{log: e.control, merge: e.guard.merge},
	}
	e.clients = cfg.clients(deps.Now)
	e.clients.Register(set)
	e.callerGate = e.clients.Gate("callers", callersFraction)
	e.callers = daemon.NewHTTPServer(e.Handler(), e.callerGate, deps.Log)
	e.callers.OnBusy(e.refuseBusy)
	return e, e.join()
}

func (e *Entry) peerInfo() link.PeerInfo {
	return link.PeerInfo{ID: e.cfg.ID, Incarnation: e.incarnation, Address: e.cfg.LinkListen, Role: "entry"}
}

// Run serves until ctx ends, a signal arrives or a component fails.
func (e *Entry) Run(ctx context.Context) error {
	defer e.pool.Close()
	defer e.cancel()
	var g run.Group
	if err := e.addActors(ctx, &g); err != nil {
		return err
	}
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "entry"), slog.String("id", e.cfg.ID), slog.String("zone", e.cfg.Zone),
		slog.Uint64("incarnation", e.incarnation))
	err := g.Run()
	e.cancel()
	e.runningRequests.Wait()
	e.ledgerUpdates.Wait()
	e.listingFetches.Wait()
	event.Log(context.Background(), e.deps.Log, slog.LevelInfo, event.ProcessStopped, slog.Any("error", err))
	return err
}

// addActors opens the listeners and adds all components to g.
func (e *Entry) addActors(ctx context.Context, g *run.Group) error {
	callers, err := daemon.ListenClients(ctx, e.deps.Log, e.callerGate, e.cfg.CallerListen)
	if err != nil {
		return err
	}
	links, err := daemon.Listen(ctx, e.deps.Log, "link", e.cfg.LinkListen)
	if err != nil {
		return err
	}
	ops, err := daemon.Listen(ctx, e.deps.Log, "operations", e.cfg.OpsAddr)
	if err != nil {
		return err
	}
	srv := link.NewServer(link.ServerConfig{Self: e.peerInfo(), ClusterKey: []byte(e.cfg.ClusterKey)}, link.ServerDeps{Log: e.deps.Log, Traffic: e.traffic})
	e.register(srv)
	// Actors are ended in this order: requests in progress need the components below.
	g.Add(func() error { return e.callers.Serve(callers, daemon.DefaultHTTPLimits()) }, func(error) { e.closeCallers() })
	daemon.ServeOperations(g, ops, e.operationsHandler(), e.clients, e.deps.Log)
	daemon.Actor(g, func(actorCtx context.Context) error { return srv.Serve(actorCtx, links) })
	daemon.Actor(g, e.reach.Run)
	daemon.Actor(g, e.members.Run)
	daemon.Actor(g, e.follower.run)
	daemon.Actor(g, e.guard.publisher.run)
	addPeriodic(g, laneInterval, e.lanes.tick)
	daemon.Actor(g, func(c context.Context) error { return e.admitter.leaseLoop(c, e.control) })
	addPeriodic(g, plannedStopInterval, e.refreshPlannedStops)
	addPeriodic(g, syncInterval, e.syncServers)
	addPeriodic(g, quarantineExpireInterval, e.guard.expire)
	addPeriodic(g, retry.ObserveInterval, e.retries.observe)
	addPeriodic(g, slotExchangeInterval, e.slotExchange.exchange)
	addPeriodic(g, housekeepInterval, e.housekeep)
	daemon.Actor(g, e.awaitNotice)
	daemon.EndWith(ctx, g)
	daemon.Signals(g, func(c context.Context) { e.leave(c, e.cfg.DrainTimeout) }, e.deps.Log)
	return nil
}

// closeCallers closes the callers' connections. Requests end before them: one that waits for a
// server would be sent although its caller gets no answer.
func (e *Entry) closeCallers() {
	e.callers.DrainOnce(closeTimeout)
	e.cancel()
	e.callers.Close()
}

// addPeriodic adds an actor that calls fn once per period.
func addPeriodic(g *run.Group, period time.Duration, fn func()) {
	daemon.Actor(g, func(ctx context.Context) error { return daemon.Every(ctx, period, fn) })
}

// register registers the handlers of other processes' calls.
func (e *Entry) register(srv *link.Server) {
	e.members.Register(srv)
	e.follower.register(srv)
	e.guard.register(srv)
	e.slotExchange.register(srv)
	e.prefixes.register(srv)
	link.Handle(srv, methodOwner, e.handleOwner)
	link.Handle(srv, methodTakeOver, e.handleTakeOver)
	e.reach.Carrier.Register(srv)
}

// Handler returns the handler of requests from callers and backend servers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", e.handleEntries)
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("/v1/answers/{id}", e.handleAnswer)
	mux.HandleFunc("/svc/{service}/{path...}", e.handlePlain)
	mux.HandleFunc("POST /v1/backend-servers", e.handleAnnounce)
	mux.HandleFunc("POST /v1/backend-servers/{id}/cache-events", e.handleCacheEvents)
	mux.HandleFunc("GET /healthz", daemon.Health)
	return mux
}

// operationsHandler returns the handler of the operations listener.
func (e *Entry) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", daemon.Operations(e.metrics.set, e.ready))
	mux.HandleFunc("POST /v1/leave", e.handleLeave)
	mux.HandleFunc("GET /v1/status", e.handleStatus)
	return mux
}

// ready returns why this entry accepts no new requests, or nil.
func (e *Entry) ready() error {
	if !e.acceptsRequests() {
		return trace.ConnectionProblem(nil, "leaving")
	}
	if e.follower.inForce() == nil {
		return trace.ConnectionProblem(nil, "catalogue is not confirmed")
	}
	return nil
}

// catalogueChanged applies a new catalogue version.
func (e *Entry) catalogueChanged(c *catalogue) {
	e.admitter.setLimits(c)
	e.applyPlannedStops(c)
	e.publishVersion(c.reply.Version)
}

// refreshPlannedStops applies the planned stops again, since some may have started or ended.
func (e *Entry) refreshPlannedStops() {
	if c := e.follower.current.Load(); c != nil {
		e.applyPlannedStops(c)
	}
}

// applyPlannedStops applies the planned stops and reclaim notices in force to the backend
// servers, and the planned stops also to this entry.
func (e *Entry) applyPlannedStops(c *catalogue) {
	now := e.deps.Now()
	e.lanes.applyPlannedStops(func(id, zone string) bool {
		return c.instanceStopped(id, zone, now) || e.reclaimNotices.covers(id, now)
	})
	e.applyOwnStop(c.instanceStopped(e.cfg.ID, e.cfg.Zone, now))
}

// housekeep runs the tasks of each housekeepInterval.
func (e *Entry) housekeep() {
	e.removeAnswers()
	e.publishLoad()
	for _, l := range e.lanes.all() {
		l.logSlow()
	}
}

// removeAnswers removes finished answers after answerTTL and cancels requests taken over
// whose caller has not connected within orphanTimeout.
func (e *Entry) removeAnswers() {
	now := e.deps.Now()
	for _, w := range e.registry.all() {
		switch {
		case w.expired(now, answerTTL):
			e.registry.remove(w.request.ID)
		case w.orphaned(now, orphanTimeout):
			w.cancel()
		}
	}
}

// syncServers updates the lanes with the backend servers' loads. The membership sends no
// events for changes of load alone.
func (e *Entry) syncServers() {
	e.lanes.sync(e.members.View().AllServers())
	e.guard.updateAvoided()
}
