// Package coordinator implements a control replica. It holds the catalogue of routes in
// a replicated log, receives the heartbeats of backend servers and entries, sends
// changes to entries and other replicas, and gives callers the addresses of entries. The
// replica that leads also orders backend servers and reports usage to the cloud.
package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica/roster"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
	"savoryreel.example/savoryreel/wallclock"
)

// Config holds the settings of a Coordinator.
type Config struct {
	Node       site.Node
	ClusterKey string
}

// Deps holds the dependencies of a Coordinator.
type Deps struct {
	Log *slog.Logger
	Now func() time.Time // must return a monotonic reading
	FS  storage.FS
	// Seeds returns the link addresses of the replicas that are configured at present.
	Seeds func() []string
	Cloud Cloud // nil: no cloud is called
	// Decode decodes a catalogue that was validated when it was accepted.
	Decode func(document []byte) (*routes.Catalogue, error)
	// Clients bounds what the process holds for its clients; nil: by what the machine has.
	Clients *intake.Intake
}

// Coordinator is one control replica. Its methods are safe for concurrent use.
type Coordinator struct {
	cfg         Config
	deps        Deps
	self        string // own link address
	incarnation uint64 // start time in Unix nanoseconds
	startedAt   time.Time
	judgeAfter  time.Duration // time after the start in which no server is judged unreachable
	log         *slog.Logger
	now         func() time.Time
	metrics     *metrics.Set

	directory *directory.Store
	live      *liveEntries
	cache     *serverCache
	// leftCache holds the servers that have left.
	leftCache  *serverCache
	versions   *versionBoard
	origins    *originTable
	catalogue  *latestCatalogue
	documents  *document.Store // the last catalogues, for entries
	usage      *usageTable
	loads      *loadTable
	shares     *shareBoard
	pacers     *watchPacers
	work       *workTable
	suspects   *suspectRegistry
	tokens     *serverTokens
	rollouts   *rolloutBoard
	evidence   *rolloutEvidence
	acks       *acknowledgements
	leaves     *leaves
	clock      *wallclock.Clock
	pool       *link.Pool
	traffic    *link.Traffic
	follower   *follow.Follower
	group      *group
	reconciler *reconciler
	tasks      *leaderTasks

	routeTable atomic.Pointer[routes.Table] // of the newest catalogue received
	stopping   chan struct{}                // closed when shutdown starts
	stopOnce   sync.Once

	mu          sync.Mutex
	memberAddrs []string             // link addresses of the replicas registered in the log
	lastCalls   map[string]time.Time // link addresses of replicas that called, with the time of the last call
}

// A backend server is overdue once no heartbeat was received for overdueHeartbeats
// intervals plus overdueMargin.
const (
	overdueHeartbeats = 3
	overdueMargin     = time.Second
)

// New returns a replica that is not running. Run opens its data folder.
func New(cfg Config, deps Deps) (*Coordinator, error) {
	if cfg.Node.DataDir == "" {
		return nil, trace.BadParameter("control replica requires a data folder")
	}
	if err := cfg.Node.Validate(); err != nil {
		return nil, trace.Wrap(err, "step=check settings")
	}
	if deps.Clients == nil {
		deps.Clients = intake.OfMachine(deps.Now)
	}
	c := &Coordinator{
		cfg: cfg, deps: deps, log: deps.Log, now: deps.Now, metrics: metrics.NewSet(),
		self:        cfg.Node.ControlLink(cfg.Node.IP),
		incarnation: uint64(deps.Now().UnixNano()),
		startedAt:   deps.Now(), judgeAfter: 2 * overdueAfter(cfg.Node.AnnounceInterval),
		directory: directory.NewStore(directory.Config{
			OverdueAfter: overdueAfter(cfg.Node.AnnounceInterval), EntryExpiry: entryExpiry, ForgetAfter: directory.DefaultForgetAfter,
			AddressHold: time.Duration(addressHoldFraction * float64(cfg.Node.Bounds.AddressReuse)),
		}),
		catalogue: newLatestCatalogue(), documents: document.NewStore(deps.Now), usage: newUsageTable(cfg.Node.Bounds.UsageWindows()), loads: newLoadTable(), work: newWorkTable(), pacers: newWatchPacers(), clock: wallclock.System(),
		stopping: make(chan struct{}), lastCalls: make(map[string]time.Time), suspects: newSuspectRegistry(deps.Now),
		tokens: newServerTokens(), shares: newShareBoard(), rollouts: newRolloutBoard(), evidence: newRolloutEvidence(), acks: newAcknowledgements(),
	}
	deps.Clients.Register(c.metrics)
	c.live = &liveEntries{entries: c.directory.LiveEntries, lastChange: c.directory.LastEntryChange}
	c.traffic = link.NewTraffic(c.metrics)
	c.pool = link.NewPool(api.PoolConfig(c.peerInfo(), cfg.ClusterKey), link.PoolDeps{Log: deps.Log, Traffic: c.traffic})
	c.follower = follow.New(follow.Config{Self: c.self}, follow.Deps{
		Pool: c.pool, Log: c.log, Now: c.now, Request: c.watchRequest, Reply: c.mergeReply, Seeds: c.replicasToFollow,
	})
	c.reconciler = newReconciler(c.log, c.now, c.follower)
	c.group = &group{
		self: c.self, store: identityStore{fs: deps.FS, dir: cfg.Node.DataDir}, pool: c.pool, log: c.log, now: c.now,
		founders: c.founders, peers: c.follower.Replicas, onRevision: c.acceptCatalogue, onMembers: c.setMembers, onTrials: c.suspects.setTrials,
		onRollouts: c.acceptRollouts,
	}
	c.cache = &serverCache{fs: deps.FS, dir: cfg.Node.DataDir, base: servingFiles}
	c.leftCache = &serverCache{fs: deps.FS, dir: cfg.Node.DataDir, base: leftFiles}
	c.leaves = newLeaves(leavesDeps{
		pool: c.pool, directory: c.directory, voters: c.voters, now: c.now,
		saver: &sharedWrite{write: c.saveLeft},
	})
	c.versions = newVersionBoard(c.commitVersions, c.now)
	c.origins = newOriginTable(&originLog{fs: deps.FS, dir: cfg.Node.DataDir}, c.log, c.now)
	c.tasks = &leaderTasks{log: c.log, name: cfg.Node.Name, cloud: deps.Cloud, now: c.now, leaseTime: cfg.Node.Bounds.LeaseTime}
	if bounds := cfg.Node.Bounds; cfg.Node.Cloud.Usage {
		c.tasks.usage = &usageReports{
			log: c.log, clock: c.clock, now: c.now, usage: c.usage, liveEntries: func() []directory.Entry { return c.directory.LiveEntries(c.now()) },
			startedAt: c.now(), window: bounds.UsageWindow, dueAfter: bounds.UsageLate, retention: bounds.UsageRetention(), report: c.tasks.reportUsage,
			collect: c.collectUsage,
		}
	}
	if cfg.Node.Cloud.Scaling {
		c.tasks.fleet = &fleet{
			log: c.log, now: c.now, eachServer: c.directory.EachServer, announceInterval: cfg.Node.AnnounceInterval, routeTable: c.routeTable.Load,
			sendOrder: c.tasks.orderServers, running: c.loads.running, work: c.work, rollout: c.rollouts.of,
			discoveries: make(map[string]*discovery), demands: make(map[string]*demand),
		}
	}
	return c, nil
}

// unreachedAge is the age of its last reply from which a replica counts as unreached, so that
// others relay the heartbeats that it receives. Replicas reply at least once a second, and a
// server is overdue only later.
const unreachedAge = 1500 * time.Millisecond

// addressHoldFraction is the fraction of Bounds.AddressReuse during which an address
// still counts as that of the last server that used it.
const addressHoldFraction = 0.9

// entryExpiry is the age of the last call at which an entry is no longer named to
// callers. Entries call at least once a second.
const entryExpiry = 2500 * time.Millisecond

// overdueAfter returns the heartbeat age at which a backend server is overdue.
func overdueAfter(heartbeatInterval time.Duration) time.Duration {
	return overdueHeartbeats*heartbeatInterval + overdueMargin
}

func (c *Coordinator) peerInfo() link.PeerInfo {
	return link.PeerInfo{ID: c.cfg.Node.Name, Incarnation: c.incarnation, Address: c.self, Role: api.RoleControl}
}

// founders returns the link addresses of the replicas that bootstrap the group, or nil
// unless this is the first start of the whole system.
func (c *Coordinator) founders() []string {
	if !c.cfg.Node.FirstStart {
		return nil
	}
	return c.cfg.Node.SeedLinks()
}

// replicasToFollow returns the link addresses of the configured and known replicas.
func (c *Coordinator) replicasToFollow() []string {
	out := c.deps.Seeds()
	return append(out, c.replicas()...)
}

// callerTTL is how long a replica that called is included in replicas.
const callerTTL = 15 * time.Second

// replicas returns the link addresses of all known replicas: this one, those in the log,
// and those that called within callerTTL, which may be waiting to join.
func (c *Coordinator) replicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]bool{c.self: true}
	for _, addr := range c.memberAddrs {
		all[addr] = true
	}
	for addr, at := range c.lastCalls {
		if c.now().Sub(at) > callerTTL {
			delete(c.lastCalls, addr)
			continue
		}
		all[addr] = true
	}
	out := make([]string, 0, len(all))
	for addr := range all {
		out = append(out, addr)
	}
	return out
}

// recordCaller records a call by the replica with the link address addr.
func (c *Coordinator) recordCaller(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCalls[addr] = c.now()
}

// setMembers replaces the addresses of the replicas registered in the log.
func (c *Coordinator) setMembers(list []roster.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memberAddrs = c.memberAddrs[:0]
	for _, m := range list {
		c.memberAddrs = append(c.memberAddrs, m.Address)
	}
}

// acceptCatalogue puts a committed catalogue, from this replica's log or from another
// replica, in force if it is newer than the present one.
func (c *Coordinator) acceptCatalogue(revision uint64, content []byte) {
	if content != nil {
		c.documents.Put(revision, content)
	}
	if c.catalogue.update(revision, content) {
		c.decodeCatalogue(revision, content)
		event.Log(context.Background(), c.log, slog.LevelInfo, event.RevisionTaken,
			slog.Uint64("revision", revision), slog.Int("bytes", len(content)))
	}
}

// documentPart returns a part of the catalogue.
func (c *Coordinator) documentPart(_ context.Context, _ link.PeerInfo, r document.Request) (document.Part, error) {
	return c.documents.Part(&r), nil
}

// decodeCatalogue decodes the catalogue into routeTable, which the leader's tasks read.
func (c *Coordinator) decodeCatalogue(revision uint64, content []byte) {
	catalogue, err := c.deps.Decode(content)
	if err != nil {
		event.Log(context.Background(), c.log, slog.LevelError, event.RevisionRefused,
			slog.Uint64("revision", revision), slog.String("error", err.Error()))
		return
	}
	c.routeTable.Store(routes.NewTable(catalogue))
}

// watchRequest returns the request that the follower sends to other replicas.
func (c *Coordinator) watchRequest() api.WatchRequest {
	revision, content, _ := c.catalogue.get()
	return api.WatchRequest{
		Role: api.RoleControl, HasCatalogue: content != nil, Revision: revision, Unreached: c.follower.Unreached(unreachedAge),
	}
}

// mergeReply merges the reply of another replica.
func (c *Coordinator) mergeReply(addr string, r api.WatchReply) {
	c.clock.Observe(addr, r.Clock)
	c.acceptRollouts(r.Rollouts) // before the servers of their candidates
	from, now := directory.Origin{Replica: addr, Incarnation: r.Incarnation}, c.now()
	c.directory.Merge(from, r.Servers, r.Entries, now)
	c.directory.MergeHeartbeats(from, r.ServerBeats, r.EntryBeats, now)
	c.acceptCatalogue(r.Revision, r.Document)
}

// Run serves until ctx ends, the process receives a signal or a component fails. public
// adds the actors that serve the public API.
func (c *Coordinator) Run(ctx context.Context, public func(g *run.Group) error) error {
	defer c.pool.Close()
	var g run.Group
	if err := c.actors(ctx, &g, public); err != nil {
		return err
	}
	event.Log(ctx, c.log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "coordinator"), slog.String("name", c.cfg.Node.Name), slog.String("zone", c.cfg.Node.Zone),
		slog.Bool("firstStart", c.cfg.Node.FirstStart), slog.Any("seeds", c.cfg.Node.Seeds))
	c.restoreCache(ctx)
	err := g.Run()
	event.Log(context.Background(), c.log, slog.LevelInfo, event.ProcessStopped, slog.Any("error", err))
	return err
}

// actors opens the listeners and adds all components to g.
func (c *Coordinator) actors(ctx context.Context, g *run.Group, public func(g *run.Group) error) error {
	links, err := daemon.Listen(ctx, c.log, "link", c.self)
	if err != nil {
		return err
	}
	ops, err := daemon.Listen(ctx, c.log, "operations", c.cfg.Node.ControlOps())
	if err != nil {
		return err
	}
	srv := link.NewServer(api.ServerConfig(c.peerInfo(), c.cfg.ClusterKey), link.ServerDeps{Log: c.log, Traffic: c.traffic})
	c.registerHandlers(srv)
	// Actors are ended in this order: requests in progress need the components below.
	if err := public(g); err != nil {
		return err
	}
	daemon.ServeOperations(g, ops, daemon.Operations(c.metrics, c.ready), c.deps.Clients, c.log)
	daemon.Actor(g, func(actorCtx context.Context) error { return srv.Serve(actorCtx, links) })
	daemon.Actor(g, c.group.run)
	daemon.Actor(g, c.follower.Run)
	daemon.Actor(g, c.sweep)
	daemon.Actor(g, c.saveCache)
	daemon.Actor(g, c.origins.run)
	daemon.Actor(g, c.runLeaderLoop)
	daemon.Actor(g, c.divideLimits)
	daemon.Actor(g, c.keepVersions)
	daemon.Actor(g, c.recordSuspects)
	if c.HasRollouts() {
		daemon.Actor(g, c.judgeRollouts)
		daemon.Actor(g, c.relayReports)
	}
	daemon.EndWith(ctx, g)
	daemon.Signals(g, c.stop, c.log)
	return nil
}

// registerHandlers registers the methods that this replica serves on links.
func (c *Coordinator) registerHandlers(srv *link.Server) {
	link.HandleNotice(srv, api.MethodReplica, c.stepReplica)
	link.Handle(srv, api.MethodWatch, c.watch)
	link.Handle(srv, api.MethodRevise, serveLeader(c, c.reviseAsLeader))
	link.Handle(srv, api.MethodRead, serveLeader(c, c.readAsLeader))
	link.Handle(srv, api.MethodRegister, serveLeader(c, c.registerAsLeader))
	link.Handle(srv, api.MethodJoin, serveLeader(c, c.joinAsLeader))
	link.Handle(srv, api.MethodTrial, c.trial)
	link.Handle(srv, api.MethodDocument, c.documentPart)
	link.Handle(srv, api.MethodEndedUsage, c.endedUsage)
	link.Handle(srv, api.MethodHoldLeaves, c.leaves.holdForPeer)
	link.Handle(srv, api.MethodCommitVersions, serveLeader(c, c.commitVersionsAsLeader))
	link.Handle(srv, api.MethodRecordOrigins, c.recordOrigins)
	link.Handle(srv, api.MethodFindOrigin, c.findOrigin)
	link.Handle(srv, api.MethodRevokeShares, c.revokeShares)
	link.Handle(srv, api.MethodServerStart, c.serverStart)
	link.Handle(srv, api.MethodServerTokens, c.serverTokensAnywhere)
	link.Handle(srv, api.MethodLeaderServerTokens, serveLeader(c, c.serverTokensAsLeader))
	link.Handle(srv, api.MethodLeaderTrial, serveLeader(c, c.trialAsLeader))
	link.Handle(srv, api.MethodStartRollout, serveLeader(c, c.startRolloutAsLeader))
	link.Handle(srv, api.MethodRolloutReports, c.rolloutReports)
	link.Handle(srv, api.MethodReadRollouts, serveLeader(c, c.readRolloutsAsLeader))
}

// ready returns an error while no leader is known.
func (c *Coordinator) ready() error {
	if m := c.group.current.Load(); m == nil || m.host.Status().Leader == 0 {
		return trace.ConnectionProblem(nil, "no leader is known")
	}
	return nil
}
