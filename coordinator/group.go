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

// Timing of the replicated log. The instances have a quarter of a core or less
// and may run several times slower for a while: a leader is missed after 800 ms,
// well above the pauses that this causes, and a successor is there within two
// seconds, half of what an operator's change may wait for its acknowledgement.
const (
	tickInterval   = 25 * time.Millisecond
	electionTicks  = 32
	heartbeatTicks = 6
	// snapshotEvery bounds the log on a disk of some hundred megabytes: whole
	// catalogues of up to a few hundred kilobytes go into it.
	snapshotEvery = 400
)

const (
	// reopenDelay is the time before a replica whose disk failed tries again.
	reopenDelay = 500 * time.Millisecond
	// joinInterval is how often a replica that is no member asks to be taken in.
	joinInterval = 300 * time.Millisecond
	// leaderlessTimeout is how long a member hears of no leader before it asks whether it
	// is still one: longer than an election takes.
	leaderlessTimeout = 3 * time.Second
	// joinTimeout bounds one request for an id.
	joinTimeout = time.Second
)

// errRetired says that this replica's id was given up for good.
var errRetired = errors.New("replica was removed from its group")

// member is one life of this replica: from the opening of the data folder until
// its disk fails or it is removed.
type member struct {
	id        uint64
	founders  []registration
	host      *host.Host
	state     *state
	addresses *roster.AddressBook
}

// group runs this process's replica of the log, whatever happens to its disk.
type group struct {
	self     string // own link address
	store    identityStore
	pool     *link.Pool
	log      *slog.Logger
	now      func() time.Time
	founders func() []string // link addresses of the founders, if this is a first start
	peers    func() []string // link addresses of other replicas that are known

	onRevision func(revision uint64, document []byte)
	onMembers  func([]roster.Member)

	current atomic.Pointer[member]
}

// run keeps a replica running until ctx ends.
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
			// Removed for good, or the disk has lost what was synced: either way this
			// replica comes back as a stranger.
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
	})
	var err error
	m.host, err = host.New(cfg, host.Deps{
		Storage:   logStorage,
		Transport: &roster.Transport{Pool: g.pool, Method: api.MethodReplica, Peers: m.addresses},
		Machine:   m.state, Logger: g.log, Now: g.now, Rand: rand.Int64N,
	})
	return m, trace.Wrap(err, "step=start replica")
}

// runMember runs the log, and beside it asks to be taken in while the replica is no
// member.
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

// identify returns who this replica is: as its data folder says, as a founder,
// or under a new id that the group has given it.
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
		return id, "", trace.Wrap(err, "step=make log folder")
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

// numberFounders numbers the founders by address. All of them are told the same list,
// so all arrive at the same numbers.
func numberFounders(addresses []string) []registration {
	sorted := slices.Compact(slices.Sorted(slices.Values(addresses)))
	registrations := make([]registration, 0, len(sorted))
	for i, addr := range sorted {
		registrations = append(registrations, registration{ID: uint64(i + 1), Address: addr})
	}
	return registrations
}

// requestID asks the others for an id until one answers.
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
				g.log.DebugContext(ctx, "no replica id given", "peer", addr, "error", err)
			}
		}
		daemon.Pause(ctx, joinInterval)
	}
	return 0, ctx.Err()
}

// maintainMembership asks to be taken in whenever this replica is not among the members
// that it knows, or hears of no leader. It returns errRetired if its id was given
// up: the group has gone on without it while it was away.
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

// requestJoin asks each replica once and reports whether one knows that the id was
// given up.
func (g *group) requestJoin(ctx context.Context, id uint64) (retired bool) {
	req := api.JoinRequest{ID: id, Address: g.self}
	for _, addr := range g.peers() {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := link.Call[api.JoinReply](callCtx, g.pool, addr, api.MethodJoin, req)
		cancel()
		if err != nil {
			g.log.DebugContext(ctx, "not taken in", "peer", addr, "error", err)
			continue
		}
		return reply.Retired
	}
	return false
}

func isMember(st host.Status, id uint64) bool {
	return slices.Contains(st.Voters, id) || slices.Contains(st.Learners, id)
}

// leading reports whether this replica leads as far as it knows.
func (m *member) leading() bool { return m.host.Status().Role == replica.Leader }

// stepReplica hands a message of the replicated log to this process's replica.
func (c *Coordinator) stepReplica(_ context.Context, from link.PeerInfo, msg replica.Message) {
	m := c.group.current.Load()
	if m == nil || msg.To != m.id {
		return
	}
	m.addresses.Observe(msg.From, from.Address)
	m.host.Step(msg)
}
