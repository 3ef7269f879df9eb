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
	"savoryreel.example/savoryreel/replica/roster"
)

const (
	// maxVoters bounds the number of voters. Five tolerate the loss of two.
	maxVoters = 5
	// voterReplaceDelay is how long a voter must be unreachable before a learner replaces
	// it. It is longer than a restart.
	voterReplaceDelay = 6 * time.Second
	// successorReplaceDelay takes the place of voterReplaceDelay if a learner has come since
	// the voter's last reply: its instance was replaced. The group is to be whole again
	// before an instance may be lost that is replaced after it.
	successorReplaceDelay = 3 * time.Second
	// minLead is how long a replica leads before it replaces voters: by then it has replies
	// of all that it reaches.
	minLead = time.Second
	// maxReplyAge is the age of its last reply up to which a replica counts as reachable.
	maxReplyAge = 3 * time.Second
	// joinRequestTTL is how long a join request is pending unless it is repeated.
	joinRequestTTL = 3 * time.Second
	// unusedRegistrationTTL is how long a registration may exist without a member that uses
	// it.
	unusedRegistrationTTL = 30 * time.Second
	// minUnused is how long a registration is kept that this leader sees no use of: a replica that
	// has just been given its id repeats its request to join meanwhile.
	minUnused = 3 * joinRequestTTL
	// reconcileInterval is the interval at which the leader checks the replica set, and
	// reconcileTimeout bounds one change of it.
	reconcileInterval = 250 * time.Millisecond
	reconcileTimeout  = 2 * time.Second
)

// reconciler changes the replica set while this replica leads: it adds replicas that
// requested to join and removes those that cannot return.
//
// The replica set is not configured. Without the reconciler, a group in which one
// replica lost its disk and another one failed later would have no majority and refuse
// every change.
type reconciler struct {
	log       *slog.Logger
	now       func() time.Time
	replies   replyTimes
	startedAt time.Time

	mu           sync.Mutex
	joinRequests map[uint64]joinRequest // by replica id
	unusedSince  map[uint64]time.Time   // registrations without a member
	term         uint64                 // last term in which this replica led
	ledSince     time.Time              // start of that lead
}

// replyTimes knows when other replicas have replied to this process. Every replica calls
// every other one, whichever leads.
type replyTimes interface {
	LastReply(addr string) time.Time  // zero: it has not replied
	FirstReply(addr string) time.Time // zero: it has not replied
}

// joinRequest is a replica's request to join.
type joinRequest struct {
	address    string
	receivedAt time.Time
}

func newReconciler(log *slog.Logger, now func() time.Time, replies replyTimes) *reconciler {
	return &reconciler{log: log, now: now, replies: replies, startedAt: now(), joinRequests: make(map[uint64]joinRequest), unusedSince: make(map[uint64]time.Time)}
}

// recordJoinRequest records that a replica requested to join.
func (r *reconciler) recordJoinRequest(id uint64, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joinRequests[id] = joinRequest{address: address, receivedAt: r.now()}
}

// pendingJoins returns the join requests that have not expired, by id, and drops the
// others.
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

// step makes at most one change of the replica set. It does nothing unless this replica
// leads.
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
		return nil // retried at the next step
	}
	event.Log(ctx, r.log, slog.LevelInfo, event.ReplicaSetChanged,
		slog.Uint64("replica", ch.ID), slog.String("change", changeName(ch.Kind)), slog.String("reason", reason),
		slog.Uint64("term", st.Term), slog.Any("error", err))
	return err
}

// changeName returns the name of a change for the log.
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

// recordTerm records the start of a new lead.
func (r *reconciler) recordTerm(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		r.term, r.ledSince = term, r.now()
	}
}

// nextChange returns the next change of the replica set and the reason that is logged
// with it; ok is false if there is none.
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

// lostDiskMember returns a member whose instance requests to join under a newer id. The
// instance has lost its disk, so the old id will never reply again. It skips this
// replica, and a voter without which there is no reachable majority.
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

// majorityWithout reports whether a majority of the voters without id is reachable. A
// new set is in force as soon as it is in the leader's log; without a majority of it,
// neither the change nor any later entry could be committed.
func (r *reconciler) majorityWithout(m *member, st host.Status, id uint64) bool {
	reachable, remaining := 0, 0
	for _, voter := range st.Voters {
		if voter == id {
			continue
		}
		remaining++
		if voter == st.ID || r.sinceLastReply(m, voter) <= maxReplyAge {
			reachable++
		}
	}
	return remaining > 0 && reachable >= remaining/2+1
}

// sinceLastReply returns the age of the last reply of a replica.
func (r *reconciler) sinceLastReply(m *member, id uint64) time.Duration {
	addr, _ := m.addresses.Address(id)
	return r.now().Sub(r.replies.LastReply(addr))
}

// unreachableFor returns how long the instance at an address has not replied to this process, however
// long this replica has led.
func (r *reconciler) unreachableFor(addr string) time.Duration {
	since := r.replies.LastReply(addr)
	if since.Before(r.startedAt) {
		since = r.startedAt
	}
	return r.now().Sub(since)
}

// balance promotes learners to an odd number of voters, at most maxVoters, and removes
// an unreachable voter if a learner can replace it.
func (r *reconciler) balance(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	ready := r.reachableLearners(m, st)
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

// reachableLearners returns the ids of the reachable learners, sorted.
func (r *reconciler) reachableLearners(m *member, st host.Status) []uint64 {
	var ready []uint64
	for _, id := range st.Learners {
		if r.sinceLastReply(m, id) <= maxReplyAge {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	return ready
}

// unreachableVoter returns the voter that has been unreachable longest, if that is longer
// than its replacement is delayed and the others have a majority.
func (r *reconciler) unreachableVoter(m *member, st host.Status) (uint64, bool) {
	if r.ledFor() < minLead {
		return 0, false
	}
	var unreachable uint64
	var longest time.Duration
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		addr, _ := m.addresses.Address(id)
		age := r.unreachableFor(addr)
		if age > max(longest, r.replaceDelay(m, st, addr)) && r.majorityWithout(m, st, id) {
			unreachable, longest = id, age
		}
	}
	return unreachable, unreachable != 0
}

// ledFor returns how long this replica has led.
func (r *reconciler) ledFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.ledSince)
}

// replaceDelay returns how long the voter at an address must be unreachable before it is replaced.
func (r *reconciler) replaceDelay(m *member, st host.Status, addr string) time.Duration {
	lastReply := r.replies.LastReply(addr)
	if lastReply.IsZero() {
		return voterReplaceDelay
	}
	for _, id := range r.reachableLearners(m, st) {
		learner, _ := m.addresses.Address(id)
		if r.replies.FirstReply(learner).After(lastReply) {
			return successorReplaceDelay
		}
	}
	return voterReplaceDelay
}

// retireUnused retires one registration that is no longer needed: one whose instance has
// a newer id, or one that no member has used for unusedRegistrationTTL, without a
// pending join request. It has not been used for as long as its instance has not replied,
// also under earlier leaders.
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
		if s.ID < newest[s.Address] || r.isUnused(s) {
			return propose(ctx, m, kindRetire, retireCommand{ID: s.ID})
		}
	}
	return nil
}

// isUnused reports whether a registration without a member is no longer needed.
func (r *reconciler) isUnused(s roster.Member) bool {
	unused := r.unusedDuration(s.ID)
	return unused > unusedRegistrationTTL || unused > minUnused && r.unreachableFor(s.Address) > unusedRegistrationTTL
}

// markUsed clears the time since which a registration is unused.
func (r *reconciler) markUsed(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unusedSince, id)
}

// unusedDuration returns how long a registration has been unused, 0 while its replica
// requests to join.
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

// propose commits a command and discards its result.
func propose[C any](ctx context.Context, m *member, kind uint8, c C) error {
	_, err := proposeResult[any](ctx, m, kind, c)
	return err
}

// proposeResult commits a command and returns the result of applying it.
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
	return zero, trace.BadParameter("command of kind %d returned unexpected type %T", kind, result)
}
