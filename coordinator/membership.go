package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
)

const (
	// maxVoters bounds the replicas that a commit waits for. Five bear the loss of
	// two; more cost a message and a sync each and help no user of these sites.
	maxVoters = 5
	// voterReplaceDelay is how long a voter must be out of reach before another replica
	// takes its place: longer than a restart or a short freeze, so that these
	// cost no change of the set.
	voterReplaceDelay = 6 * time.Second
	// maxReplyAge is how recently a replica must have replied to be counted on.
	maxReplyAge = 3 * time.Second
	// joinRequestTTL is how long a request to be taken in stands without being made
	// again.
	joinRequestTTL = 3 * time.Second
	// unusedRegistrationTTL is how long a registration may stand unused.
	unusedRegistrationTTL = 30 * time.Second
	// reconcileInterval is how often the leader looks at the set, and reconcileTimeout
	// bounds one change of it.
	reconcileInterval = 250 * time.Millisecond
	reconcileTimeout  = 2 * time.Second
)

// reconciler keeps the set of replicas, as the leader: it takes in those that ask, and
// removes those that cannot come back.
//
// Nobody writes a list of replicas. Without this a group that lost a disk, and
// the instance that holds a second copy some time later, could no longer commit,
// and operators would see every change refused.
type reconciler struct {
	log       *slog.Logger
	now       func() time.Time
	lastReply func(addr string) time.Time // last reply of a replica

	mu           sync.Mutex
	joinRequests map[uint64]joinRequest
	unusedSince  map[uint64]time.Time // registrations that no member holds, since when
	term         uint64               // term in which this replica last led
	ledSince     time.Time
}

// joinRequest is a replica's request to be taken in.
type joinRequest struct {
	address    string
	receivedAt time.Time
}

func newReconciler(log *slog.Logger, now func() time.Time, lastReply func(string) time.Time) *reconciler {
	return &reconciler{log: log, now: now, lastReply: lastReply, joinRequests: make(map[uint64]joinRequest), unusedSince: make(map[uint64]time.Time)}
}

func (r *reconciler) recordJoinRequest(id uint64, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joinRequests[id] = joinRequest{address: address, receivedAt: r.now()}
}

// pendingJoins returns the replicas that asked lately, by id.
func (r *reconciler) pendingJoins() map[uint64]joinRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[uint64]joinRequest)
	for id, request := range r.joinRequests {
		if r.now().Sub(request.receivedAt) > joinRequestTTL {
			delete(r.joinRequests, id)
			continue
		}
		out[id] = request
	}
	return out
}

// step makes at most one change of the set, as the leader.
func (r *reconciler) step(ctx context.Context, m *member) error {
	st := m.host.Status()
	if st.Role != replica.Leader {
		return nil
	}
	r.recordTerm(st.Term)
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	if !m.state.founded() {
		return propose(ctx, m, kindFound, foundCommand{Registrations: m.founders})
	}
	ch, reason, ok := r.nextChange(m, st)
	if !ok {
		return r.retireUnused(ctx, m, st)
	}
	err := m.host.ChangeMembers(ctx, ch)
	if errors.Is(err, replica.ErrNotCaughtUp) || errors.Is(err, replica.ErrChangePending) {
		return nil // asked again at the next step
	}
	event.Log(ctx, r.log, slog.LevelInfo, event.ReplicaSetChanged,
		slog.Uint64("replica", ch.ID), slog.String("change", changeName(ch.Kind)), slog.String("reason", reason),
		slog.Uint64("term", st.Term), slog.Any("error", err))
	return err
}

func changeName(k replica.ChangeKind) string {
	switch k {
	case replica.AddLearner:
		return "add"
	case replica.Promote:
		return "promote"
	default:
		return "remove"
	}
}

func (r *reconciler) recordTerm(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		r.term, r.ledSince = term, r.now()
	}
}

// nextChange returns the change that is due.
func (r *reconciler) nextChange(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	joining := r.pendingJoins()
	if id, found := r.lostDiskMember(m, st, joining); found {
		return replica.Change{Kind: replica.Remove, ID: id}, "its disk is lost", true
	}
	for _, id := range slices.Sorted(maps.Keys(joining)) {
		if _, registered, _ := m.state.lookupRegistration(id); registered && !isMember(st, id) {
			return replica.Change{Kind: replica.AddLearner, ID: id}, "it asked", true
		}
	}
	return r.balance(m, st)
}

// lostDiskMember finds a member whose instance asks to be taken in under a newer id:
// it has lost its disk, and the old id will never answer again.
func (r *reconciler) lostDiskMember(m *member, st host.Status, joining map[uint64]joinRequest) (uint64, bool) {
	for _, joiner := range slices.Sorted(maps.Keys(joining)) {
		for _, id := range slices.Concat(st.Learners, st.Voters) {
			addr, _ := m.addresses.Address(id)
			if id >= joiner || addr != joining[joiner].address || id == st.ID {
				continue
			}
			if !slices.Contains(st.Voters, id) || r.majorityWithout(m, st, id) {
				return id, true
			}
		}
	}
	return 0, false
}

// majorityWithout reports whether enough of the voters left are alive. The new
// set is in force as soon as it is in the leader's log: without a majority of it,
// it would never be committed, and nothing after it either.
func (r *reconciler) majorityWithout(m *member, st host.Status, id uint64) bool {
	alive, remaining := 0, 0
	for _, voter := range st.Voters {
		if voter == id {
			continue
		}
		remaining++
		if voter == st.ID || r.sinceLastReply(m, voter) <= maxReplyAge {
			alive++
		}
	}
	return remaining > 0 && alive >= remaining/2+1
}

// sinceLastReply is how long ago a replica last replied to this one.
func (r *reconciler) sinceLastReply(m *member, id uint64) time.Duration {
	addr, _ := m.addresses.Address(id)
	return r.now().Sub(r.lastReply(addr))
}

// balance promotes learners up to an odd number of voters, and lets a learner
// take the place of a voter that is out of reach for long.
func (r *reconciler) balance(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	ready := r.aliveLearners(m, st)
	if len(ready) == 0 {
		return ch, "", false
	}
	if len(st.Voters)%2 == 0 || len(st.Voters) < maxVoters && len(ready) >= 2 {
		return replica.Change{Kind: replica.Promote, ID: ready[0]}, "more voters are wanted", true
	}
	if voter, found := r.unreachableVoter(m, st); found {
		return replica.Change{Kind: replica.Remove, ID: voter}, "out of reach, a learner takes its place", true
	}
	return ch, "", false
}

func (r *reconciler) aliveLearners(m *member, st host.Status) []uint64 {
	var ready []uint64
	for _, id := range st.Learners {
		if r.sinceLastReply(m, id) <= maxReplyAge {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	return ready
}

// unreachableVoter returns the voter that has been out of reach longest, if that is
// long. A leader that has just been elected has heard of nobody yet.
func (r *reconciler) unreachableVoter(m *member, st host.Status) (uint64, bool) {
	r.mu.Lock()
	ledFor := r.now().Sub(r.ledSince)
	r.mu.Unlock()
	var unreachable uint64
	longest := voterReplaceDelay
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		if age := min(r.sinceLastReply(m, id), ledFor); age > longest && r.majorityWithout(m, st, id) {
			unreachable, longest = id, age
		}
	}
	return unreachable, unreachable != 0
}

// retireUnused gives up registrations that nobody will use any more: one that an
// instance asked for before it asked for a newer one, and one that no member has
// held for long. The registration of a replica that is about to be taken in stays.
func (r *reconciler) retireUnused(ctx context.Context, m *member, st host.Status) error {
	registrations := m.state.members()
	newest := make(map[string]uint64)
	for _, s := range registrations {
		newest[s.Address] = max(newest[s.Address], s.ID)
	}
	for _, s := range registrations {
		if isMember(st, s.ID) {
			r.markUsed(s.ID)
			continue
		}
		if s.ID < newest[s.Address] || r.unusedDuration(s.ID) > unusedRegistrationTTL {
			return propose(ctx, m, kindRetire, retireCommand{ID: s.ID})
		}
	}
	return nil
}

func (r *reconciler) markUsed(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unusedSince, id)
}

func (r *reconciler) unusedDuration(id uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if request, pending := r.joinRequests[id]; pending && now.Sub(request.receivedAt) <= joinRequestTTL {
		delete(r.unusedSince, id)
		return 0
	}
	since, tracked := r.unusedSince[id]
	if !tracked {
		r.unusedSince[id] = now
		return 0
	}
	return now.Sub(since)
}

func propose[C any](ctx context.Context, m *member, kind uint8, c C) error {
	_, err := proposeResult[any](ctx, m, kind, c)
	return err
}

// proposeResult commits a command and returns what applying it gave.
func proposeResult[R, C any](ctx context.Context, m *member, kind uint8, c C) (R, error) {
	var zero R
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return zero, trace.Wrap(err, "step=encode command")
	}
	result, err := m.host.Propose(ctx, kind, data)
	if err != nil {
		return zero, err
	}
	if r, ok := result.(R); ok {
		return r, nil
	}
	return zero, trace.BadParameter("command of kind %d gave %T", kind, result)
}
