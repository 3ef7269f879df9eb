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
	// deadAfter is how long a voter must be out of reach before another replica
	// takes its place: longer than a restart or a short freeze, so that these
	// cost no change of the set.
	deadAfter = 6 * time.Second
	// aliveWithin is how recently a replica must have replied to be counted on.
	aliveWithin = 3 * time.Second
	// askedWithin is how long a request to be taken in stands without being made
	// again.
	askedWithin = 3 * time.Second
	// retireAfter is how long a registration may stand unused.
	retireAfter = 30 * time.Second
	// reconcileEvery is how often the leader looks at the set, and reconcileTimeout
	// bounds one change of it.
	reconcileEvery   = 250 * time.Millisecond
	reconcileTimeout = 2 * time.Second
)

// reconciler keeps the set of replicas, as the leader: it takes in those that ask, and
// removes those that cannot come back.
//
// Nobody writes a list of replicas. Without this a group that lost a disk, and
// the instance that holds a second copy some time later, could no longer commit,
// and operators would see every change refused.
type reconciler struct {
	log     *slog.Logger
	now     func() time.Time
	contact func(addr string) time.Time // last reply of a replica

	mu     sync.Mutex
	asked  map[uint64]joinRequest
	unused map[uint64]time.Time // registrations that no member holds, since when
	leader uint64               // term in which this replica last led
	since  time.Time
}

// joinRequest is a replica's request to be taken in.
type joinRequest struct {
	address string
	at      time.Time
}

func newReconciler(log *slog.Logger, now func() time.Time, contact func(string) time.Time) *reconciler {
	return &reconciler{log: log, now: now, contact: contact, asked: make(map[uint64]joinRequest), unused: make(map[uint64]time.Time)}
}

func (r *reconciler) ask(id uint64, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[id] = joinRequest{address: address, at: r.now()}
}

// joining returns the replicas that asked lately, by id.
func (r *reconciler) joining() map[uint64]joinRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[uint64]joinRequest)
	for id, asked := range r.asked {
		if r.now().Sub(asked.at) > askedWithin {
			delete(r.asked, id)
			continue
		}
		out[id] = asked
	}
	return out
}

// step makes at most one change of the set, as the leader.
func (r *reconciler) step(ctx context.Context, m *member) error {
	st := m.host.Status()
	if st.Role != replica.Leader {
		return nil
	}
	r.noteTerm(st.Term)
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	if !m.state.founded() {
		return propose(ctx, m, kindFound, foundCommand{Registrations: m.founders})
	}
	ch, reason, ok := r.next(m, st)
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

func (r *reconciler) noteTerm(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader != term {
		r.leader, r.since = term, r.now()
	}
}

// next returns the change that is due.
func (r *reconciler) next(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	joining := r.joining()
	if id, found := r.replaced(m, st, joining); found {
		return replica.Change{Kind: replica.Remove, ID: id}, "its disk is lost", true
	}
	for _, id := range slices.Sorted(maps.Keys(joining)) {
		if _, registered, _ := m.state.registrationOf(id); registered && !isMember(st, id) {
			return replica.Change{Kind: replica.AddLearner, ID: id}, "it asked", true
		}
	}
	return r.balance(m, st)
}

// replaced finds a member whose instance asks to be taken in under a newer id:
// it has lost its disk, and the old id will never answer again.
func (r *reconciler) replaced(m *member, st host.Status, joining map[uint64]joinRequest) (uint64, bool) {
	for _, asking := range slices.Sorted(maps.Keys(joining)) {
		for _, id := range slices.Concat(st.Learners, st.Voters) {
			addr, _ := m.book.Address(id)
			if id >= asking || addr != joining[asking].address || id == st.ID {
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
	alive, left := 0, 0
	for _, voter := range st.Voters {
		if voter == id {
			continue
		}
		left++
		if voter == st.ID || r.age(m, voter) <= aliveWithin {
			alive++
		}
	}
	return left > 0 && alive >= left/2+1
}

// age is how long ago a replica last replied to this one.
func (r *reconciler) age(m *member, id uint64) time.Duration {
	addr, _ := m.book.Address(id)
	return r.now().Sub(r.contact(addr))
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
	if dead, found := r.deadVoter(m, st); found {
		return replica.Change{Kind: replica.Remove, ID: dead}, "out of reach, a learner takes its place", true
	}
	return ch, "", false
}

func (r *reconciler) aliveLearners(m *member, st host.Status) []uint64 {
	var ready []uint64
	for _, id := range st.Learners {
		if r.age(m, id) <= aliveWithin {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	return ready
}

// deadVoter returns the voter that has been out of reach longest, if that is
// long. A leader that has just been elected has heard of nobody yet.
func (r *reconciler) deadVoter(m *member, st host.Status) (uint64, bool) {
	r.mu.Lock()
	led := r.now().Sub(r.since)
	r.mu.Unlock()
	var dead uint64
	longest := deadAfter
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		if age := min(r.age(m, id), led); age > longest && r.majorityWithout(m, st, id) {
			dead, longest = id, age
		}
	}
	return dead, dead != 0
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
			r.noteUsed(s.ID)
			continue
		}
		if s.ID < newest[s.Address] || r.unusedFor(s.ID) > retireAfter {
			return propose(ctx, m, kindRetire, retireCommand{ID: s.ID})
		}
	}
	return nil
}

func (r *reconciler) noteUsed(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unused, id)
}

func (r *reconciler) unusedFor(id uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if asked, asks := r.asked[id]; asks && now.Sub(asked.at) <= askedWithin {
		delete(r.unused, id)
		return 0
	}
	since, noted := r.unused[id]
	if !noted {
		r.unused[id] = now
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
	var none R
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return none, trace.Wrap(err, "step=encode command")
	}
	result, err := m.host.Propose(ctx, kind, data)
	if err != nil {
		return none, err
	}
	if r, ok := result.(R); ok {
		return r, nil
	}
	return none, trace.BadParameter("command of kind %d gave %T", kind, result)
}
