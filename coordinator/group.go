package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/roster"
	"savoryreel.example/savoryreel/replica/storage"
)

// Timing of the replicated log: the election timeout is electionTicks * tickInterval (800 ms),
// above the scheduling pauses of a throttled instance.
const (
	tickInterval   = 25 * time.Millisecond
	electionTicks  = 32
	heartbeatTicks = 6
	// snapshotEvery is the number of log entries between snapshots. It bounds the size of
	// the log, whose entries may hold whole catalogues.
	snapshotEvery = 400
)

const (
	// reopenDelay is the pause before a failed replica is reopened.
	reopenDelay = 500 * time.Millisecond
	// joinInterval is the interval of the requests of a replica that is not a member.
	joinInterval = 300 * time.Millisecond
	// leaderlessTimeout is how long a member has no leader before it checks whether it was
	// removed. It is longer than an election.
	leaderlessTimeout = 3 * time.Second
	// joinTimeout bounds one register or join call.
	joinTimeout = time.Second
)

// errRetired reports that the id of this replica was retired by the group.
var errRetired = errors.New("replica was removed from its group")

// member is one run of the local replica: from opening its data folder until the disk
// fails, the replica is removed or the process stops.
type member struct {
	id        uint64
	founders  []registration
	host      *host.Host
	state     *state
	addresses *roster.AddressBook
}

// group runs the local replica of the log and restarts it after a failure.
type group struct {
	self     string // own link address
	store    identityStore
	pool     *link.Pool
	log      *slog.Logger
	now      func() time.Time
	founders func() []string // link addresses of the founders, nil unless this is the first start
	peers    func() []string // link addresses of other known replicas

	onRevision func(revision uint64, document []byte)
	onMembers  func([]roster.Member)
	onTrials   func(fingerprints []uint64)
	onRollouts func([]api.Rollout)

	current atomic.Pointer[member]
}

// run runs the replica and restarts it after a failure, until ctx ends.
func (g *group) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := g.runOnce(ctx)
		g.current.Store(nil)
		if ctx.Err() != nil {
			break
		}
		event.Log(ctx, g.log, slog.LevelError, event.ReplicaFailed, slog.Any("error", err))
		var corrupt *storage.CorruptError
		if errors.Is(err, errRetired) || errors.As(err, &corrupt) {
			// The id was retired, or synced data is lost or corrupt: the replica must
			// rejoin under a new id.
			if err := g.store.discard(); err != nil {
				event.Log(ctx, g.log, slog.LevelError, event.ReplicaFailed, slog.String("error", err.Error()))
			}
		}
		daemon.Pause(ctx, reopenDelay)
	}
	return ctx.Err()
}

// runOnce opens the data folder and runs the replica until it fails.
func (g *group) runOnce(ctx context.Context) error {
	id, origin, err := g.identify(ctx)
	if err != nil {
		return err
	}
	logStorage, err := storage.Open(storage.Config{Dir: g.store.path(logFolder), Replica: id.ID}, g.store.fs)
	if err != nil {
		return trace.Wrap(err, "step=open log")
	}
	defer logStorage.Close()
	m, err := g.newMember(id, logStorage)
	if err != nil {
		return err
	}
	event.Log(ctx, g.log, slog.LevelInfo, event.ReplicaStarted, slog.Uint64("id", id.ID), slog.String("how", origin))
	g.current.Store(m)
	return g.runMember(ctx, m)
}

// newMember starts a replica with the given identity and log.
func (g *group) newMember(id identity, logStorage host.Storage) (*member, error) {
	founders := make(map[uint64]string, len(id.Founders))
	cfg := host.Config{
		ID: id.ID, TickInterval: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		SnapshotEvery: snapshotEvery, MaxEntryBytes: api.MaxEntryBytes,
	}
	for _, s := range id.Founders {
		founders[s.ID] = s.Address
		cfg.Voters = append(cfg.Voters, s.ID)
	}
	m := &member{id: id.ID, founders: id.Founders, addresses: roster.NewAddressBook(founders)}
	m.state = newState(g.onRevision, func(list []roster.Member) {
		m.addresses.SetMembers(list)
		g.onMembers(list)
	}, g.onTrials, g.onRollouts)
	var err error
	m.host, err = host.New(cfg, host.Deps{
		Storage:   logStorage,
		Transport: &roster.Transport{Pool: g.pool, Method: api.MethodReplica, Peers: m.addresses},
		Machine:   m.state, Logger: g.log, Now: g.now, Rand: rand.Int64N,
	})
	return m, trace.Wrap(err, "step=start replica")
}

// runMember runs the replica and, concurrently, maintainMembership. It returns
// errRetired if the replica was removed.
func (g *group) runMember(ctx context.Context, m *member) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	joinDone := make(chan struct{})
	go func() {
		defer close(joinDone)
		if err := g.maintainMembership(ctx, m); err != nil {
			cancel(err)
		}
	}()
	err := m.host.Run(ctx)
	if cause := context.Cause(ctx); err == nil && errors.Is(cause, errRetired) {
		err = cause
	}
	cancel(nil)
	<-joinDone
	return err
}

// identify returns the identity of this replica: the one in its data folder, that of a
// founder, or a new id from the group. origin is the value that is logged.
func (g *group) identify(ctx context.Context) (id identity, origin string, err error) {
	id, ok, err := g.store.load()
	if err != nil {
		if discardErr := g.store.discard(); discardErr != nil {
			return id, "", errors.Join(err, discardErr)
		}
		return id, "", err
	}
	if ok {
		return id, "kept", nil
	}
	if err := g.store.fs.MkdirAll(g.store.path(logFolder)); err != nil {
		return id, "", trace.Wrap(err, "step=create log folder")
	}
	if err := g.store.discardLog(); err != nil {
		return id, "", err
	}
	if registrations := numberFounders(g.founders()); len(registrations) > 0 {
		for _, s := range registrations {
			if s.Address == g.self {
				id = identity{ID: s.ID, Founders: registrations}
				return id, "founded", g.store.save(id)
			}
		}
	}
	id.ID, err = g.requestID(ctx)
	if err != nil {
		return id, "", err
	}
	return id, "joined", g.store.save(id)
}

// numberFounders assigns ids to the founders in order of their addresses, so that all
// founders compute the same ids from the same list.
func numberFounders(addresses []string) []registration {
	sorted := slices.Compact(slices.Sorted(slices.Values(addresses)))
	registrations := make([]registration, 0, len(sorted))
	for i, addr := range sorted {
		registrations = append(registrations, registration{ID: uint64(i + 1), Address: addr})
	}
	return registrations
}

// requestID requests an id from the other replicas until one replies or ctx ends.
func (g *group) requestID(ctx context.Context) (uint64, error) {
	req := api.RegisterRequest{Address: g.self, Nonce: uuid.NewString()}
	for ctx.Err() == nil {
		for _, addr := range g.peers() {
			callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
			reply, err := link.Call[api.RegisterReply](callCtx, g.pool, addr, api.MethodRegister, req)
			cancel()
			if err == nil && reply.ID > 0 {
				return reply.ID, nil
			}
			if err != nil {
				g.log.DebugContext(ctx, "replica id not assigned", "peer", addr, "error", err)
			}
		}
		daemon.Pause(ctx, joinInterval)
	}
	return 0, ctx.Err()
}

// maintainMembership requests to join while this replica is not a member, or while it
// has had no leader for leaderlessTimeout. It returns errRetired if its id was retired
// while it was away, and nil when ctx ends.
func (g *group) maintainMembership(ctx context.Context, m *member) error {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	leaderSeen := g.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		st := m.host.Status()
		if st.Leader != 0 {
			leaderSeen = g.now()
		}
		if isMember(st, m.id) && g.now().Sub(leaderSeen) < leaderlessTimeout {
			continue
		}
		if g.requestJoin(ctx, m.id) {
			return errRetired
		}
	}
}

// requestJoin sends a join request to the other replicas in turn until one replies, and
// reports whether that one says that the id was retired.
func (g *group) requestJoin(ctx context.Context, id uint64) (retired bool) {
	req := api.JoinRequest{ID: id, Address: g.self}
	for _, addr := range g.peers() {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := link.Call[api.JoinReply](callCtx, g.pool, addr, api.MethodJoin, req)
		cancel()
		if err != nil {
			g.log.DebugContext(ctx, "join request failed", "peer", addr, "error", err)
			continue
		}
		return reply.Retired
	}
	return false
}

// isMember reports whether a replica is a voter or a learner.
func isMember(st host.Status, id uint64) bool {
	return slices.Contains(st.Voters, id) || slices.Contains(st.Learners, id)
}

// leading reports whether this replica leads according to its own state. Another one may
// have been elected since.
func (m *member) leading() bool { return m.host.Status().Role == replica.Leader }

// stepReplica passes a message of the replicated log to the local replica. It drops
// messages that are addressed to another id.
func (c *Coordinator) stepReplica(_ context.Context, from link.PeerInfo, msg replica.Message) {
	m := c.group.current.Load()
	if m == nil || msg.To != m.id {
		return
	}
	m.addresses.Observe(msg.From, from.Address)
	m.host.Step(msg)
}
