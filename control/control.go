package control

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/membership"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/roster"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/request"
)

// Control is one control replica. Create it with New and call Run once.
type Control struct {
	cfg     Config
	log     *slog.Logger
	now     func() time.Time
	metrics *metrics.Set

	machine *Machine
	host    *host.Host
	traffic *link.Traffic
	pool    *link.Pool
	service *service
	leases  *limitLeases
	tokens  *serverTokens
	storage *storage.Log
	members *membership.Node
	cloud   *native.CloudClient // nil: the fleet is not managed
	fleet   *fleet.Manager
}

// Deps contains the dependencies of a Control.
type Deps struct {
	Log *slog.Logger
	Now func() time.Time // must include a monotonic clock reading
}

// New opens the data directory and builds the replica. Run must be called; it releases
// the resources when it returns.
func New(cfg Config, deps Deps) (*Control, error) {
	daemon.LimitMemory(int64(cfg.MemoryMB) << 20)
	peers, err := parseReplicas(cfg.Replicas)
	if err != nil {
		return nil, trace.Wrap(err, "step=read replicas")
	}
	c := &Control{cfg: cfg, log: deps.Log, now: deps.Now, metrics: metrics.NewSet()}
	addresses := roster.NewAddressBook(peers)
	c.machine = NewMachine(c.catalogueChanged, addresses.SetMembers)
	c.traffic = link.NewTraffic(c.metrics)
	c.pool = link.NewPool(link.PoolConfig{Self: c.peerInfo(), ClusterKey: []byte(cfg.ClusterKey)},
		link.PoolDeps{Log: deps.Log, Traffic: c.traffic})
	if c.storage, err = storage.Open(storage.Config{Dir: cfg.DataDir, Replica: uint64(cfg.ID)}, storage.OS{}); err != nil {
		c.pool.Close()
		return nil, trace.Wrap(err, "step=open data folder")
	}
	c.host, err = host.New(c.hostConfig(peers), host.Deps{
		Storage: c.storage, Transport: &roster.Transport{Pool: c.pool, Method: api.MethodReplica, Peers: addresses}, Machine: c.machine,
		Logger: deps.Log, Now: deps.Now, Rand: rand.Int64N,
	})
	if err != nil {
		c.pool.Close()
		_ = c.storage.Close() // the error of host.New is returned
		return nil, trace.Wrap(err, "step=start replica")
	}
	if err := errors.Join(c.initMembership(), c.initFleetManager()); err != nil {
		c.pool.Close()
		_ = c.storage.Close() // the earlier error is returned
		return nil, trace.Wrap(err, "step=join")
	}
	c.tokens = newServerTokens(c.host, deps.Now)
	c.leases = &limitLeases{leader: c.host, machine: c.machine, maxEntries: cfg.MaxEntries, now: deps.Now}
	c.service = &service{log: c.host, machine: c.machine, pool: c.pool, peers: addresses, now: deps.Now, documents: document.NewStore(deps.Now)}
	return c, nil
}

func (c *Control) hostConfig(peers map[uint64]string) host.Config {
	cfg := host.Config{ID: uint64(c.cfg.ID), TickInterval: c.cfg.TickInterval, SnapshotEvery: uint64(c.cfg.SnapshotEvery)}
	cfg.Voters = slices.Sorted(maps.Keys(peers))
	return cfg
}

func (c *Control) peerInfo() link.PeerInfo {
	return link.PeerInfo{
		ID: "control-" + strconv.Itoa(c.cfg.ID), Incarnation: uint64(c.now().UnixMilli()),
		Address: c.cfg.LinkListen, Role: "control",
	}
}

func (c *Control) catalogueChanged(r api.CatalogueReply) {
	event.Log(context.Background(), c.log, slog.LevelInfo, event.CatalogueChanged,
		slog.Uint64("version", r.Version), slog.Uint64("index", r.Index))
}

// Run serves until ctx ends, a signal arrives or a component fails, and then releases
// the replica's resources.
func (c *Control) Run(ctx context.Context) error {
	defer c.storage.Close()
	defer c.pool.Close()
	var g run.Group
	if err := c.addActors(ctx, &g); err != nil {
		return err
	}
	event.Log(ctx, c.log, slog.LevelInfo, event.ProcessStarted,
		slog.String("role", "control"), slog.Int("id", c.cfg.ID), slog.String("zone", c.cfg.Zone))
	err := g.Run()
	event.Log(context.Background(), c.log, slog.LevelInfo, event.ProcessStopped, slog.Any("error", err))
	return err
}

// operatorFraction is the fraction of the connections and requests in progress that the operators' listener has.
const operatorFraction = 0.95

func (c *Control) addActors(ctx context.Context, g *run.Group) error {
	links, err := daemon.Listen(ctx, c.log, "link", c.cfg.LinkListen)
	if err != nil {
		return err
	}
	clients := c.cfg.clients(c.now)
	clients.Register(c.metrics)
	operatorGate := clients.Gate("operator", operatorFraction)
	operators, err := daemon.ListenClients(ctx, c.log, operatorGate, c.cfg.OperatorAddr)
	if err != nil {
		return err
	}
	ops, err := daemon.Listen(ctx, c.log, "operations", c.cfg.OpsAddr)
	if err != nil {
		return err
	}
	srv := link.NewServer(link.ServerConfig{Self: c.peerInfo(), ClusterKey: []byte(c.cfg.ClusterKey)}, link.ServerDeps{Log: c.log, Traffic: c.traffic})
	c.service.register(srv)
	link.Handle(srv, api.MethodLeases, c.leases.report)
	link.Handle(srv, api.MethodServerTokens, c.tokens.grant)
	c.members.Register(srv)
	operatorsAPI := &operatorAPI{service: c.service, log: c.log, keyHash: c.cfg.operatorKeyHash()}
	// Actors are ended in this order: requests in progress need the components below.
	operatorServer := daemon.NewHTTPServer(operatorsAPI.handler(), operatorGate, c.log)
	operatorServer.OnBusy(request.WriteBusy)
	operatorServer.AddTo(g, operators, daemon.DefaultHTTPLimits(), daemon.CloseGrace)
	daemon.ServeOperations(g, ops, daemon.Operations(c.metrics, c.ready), clients, c.log)
	daemon.Actor(g, func(actorCtx context.Context) error { return srv.Serve(actorCtx, links) })
	daemon.Actor(g, c.runReplica)
	daemon.Actor(g, c.watchLeader)
	daemon.Actor(g, c.members.Run)
	if c.fleet != nil {
		daemon.Actor(g, c.runFleet)
	}
	daemon.EndWith(ctx, g)
	daemon.Signals(g, c.handOverLeadership, c.log)
	return nil
}

// runReplica runs the replicated log. It returns an error if the disk has failed.
// The process must then end, because the contents of the disk are unknown.
func (c *Control) runReplica(ctx context.Context) error {
	err := c.host.Run(ctx)
	if err != nil && ctx.Err() == nil {
		event.Log(ctx, c.log, slog.LevelError, event.ReplicaFailed, slog.String("error", err.Error()))
	}
	return err
}

// watchLeader logs each change of leader.
func (c *Control) watchLeader(ctx context.Context) error {
	var last uint64
	return daemon.Every(ctx, leaderPollInterval, func() {
		st := c.host.Status()
		if st.Leader == last {
			return
		}
		last = st.Leader
		event.Log(ctx, c.log, slog.LevelInfo, event.LeaderChanged,
			slog.Uint64("leader", st.Leader), slog.Uint64("term", st.Term), slog.String("role", st.Role.String()))
	})
}

// leaderPollInterval is how often watchLeader reads the current leader.
const leaderPollInterval = 200 * time.Millisecond

// handOverLeadership announces that this replica leaves and transfers the leadership,
// if it holds it, to another voter. A planned stop then needs no election timeout.
func (c *Control) handOverLeadership(ctx context.Context) {
	c.members.SetSelf(func(m *instance.Member) { m.State = instance.StateLeaving })
	st := c.host.Status()
	if st.Role != replica.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		if c.host.TransferLeadership(ctx, id) == nil {
			return
		}
	}
}

// handOverTimeout bounds the attempts to transfer the leadership at a planned stop.
const handOverTimeout = 2 * time.Second

// ready returns an error if this replica knows no leader.
func (c *Control) ready() error {
	if c.host.Status().Leader == 0 {
		return trace.ConnectionProblem(nil, "no leader is known")
	}
	return nil
}
