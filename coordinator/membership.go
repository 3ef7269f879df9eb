package coordinator

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
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
	// retireAfter is how long a seat may stand unused.
	retireAfter = 30 * time.Second
	// upkeepEvery is how often the leader looks at the set, and upkeepTimeout
	// bounds one change of it.
	upkeepEvery   = 250 * time.Millisecond
	upkeepTimeout = 2 * time.Second
)

// upkeep is the leader's care for the set of replicas: it takes in those that
// ask, and lets go of those that cannot come back.
//
// Nobody writes a list of replicas. Without this a group that lost a disk, and
// the instance that holds a second copy some time later, could no longer commit,
// and operators would see every change refused.
type upkeep struct {
	log     *slog.Logger
	now     func() time.Time
	contact func(addr string) time.Time // last reply of a replica

	mu     sync.Mutex
	asked  map[uint64]request
	unused map[uint64]time.Time // seats that no member holds, since when
	leader uint64               // term in which this replica last led
	since  time.Time
}

// request is a replica's wish to be taken in.
type request struct {
	address string
	at      time.Time
}

func newUpkeep(log *slog.Logger, now func() time.Time, contact func(string) time.Time) *upkeep {
	return &upkeep{log: log, now: now, contact: contact, asked: make(map[uint64]request), unused: make(map[uint64]time.Time)}
}

func (u *upkeep) ask(id uint64, address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked[id] = request{address: address, at: u.now()}
}

// wishes returns the ids that asked lately, lowest first.
func (u *upkeep) wishes() map[uint64]request {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[uint64]request)
	for id, r := range u.asked {
		if u.now().Sub(r.at) > askedWithin {
			delete(u.asked, id)
			continue
		}
		out[id] = r
	}
	return out
}

// step makes at most one change of the set, as the leader.
func (u *upkeep) step(ctx context.Context, m *member) error {
	st := m.host.Status()
	if st.Role != replica.Leader {
		return nil
	}
	u.noteTerm(st.Term)
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	if !m.state.founded() {
		return propose(ctx, m, kindFound, foundCommand{Seats: m.founders})
	}
	ch, reason, ok := u.next(m, st)
	if !ok {
		return u.retireUnused(ctx, m, st)
	}
	err := m.host.ChangeMembers(ctx, ch)
	if errors.Is(err, replica.ErrNotCaughtUp) || errors.Is(err, replica.ErrChangePending) {
		return nil // asked again at the next step
	}
	event.Log(ctx, u.log, slog.LevelInfo, event.ReplicaSetChanged,
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

func (u *upkeep) noteTerm(term uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leader != term {
		u.leader, u.since = term, u.now()
	}
}

// next returns the change that is due.
func (u *upkeep) next(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	wishes := u.wishes()
	if id, found := u.replaced(m, st, wishes); found {
		return replica.Change{Kind: replica.Remove, ID: id}, "its disk is lost", true
	}
	for _, id := range sortedKeys(wishes) {
		if _, seated, _ := m.state.seatOf(id); seated && !isMember(st, id) {
			return replica.Change{Kind: replica.AddLearner, ID: id}, "it asked", true
		}
	}
	return u.balance(m, st)
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// replaced finds a member whose instance asks to be taken in under a newer id:
// it has lost its disk, and the old id will never answer again.
func (u *upkeep) replaced(m *member, st host.Status, wishes map[uint64]request) (uint64, bool) {
	for _, asking := range sortedKeys(wishes) {
		for _, id := range slices.Concat(st.Learners, st.Voters) {
			addr, _ := m.book.Address(id)
			if id >= asking || addr != wishes[asking].address || id == st.ID {
				continue
			}
			if !slices.Contains(st.Voters, id) || u.majorityWithout(m, st, id) {
				return id, true
			}
		}
	}
	return 0, false
}

// majorityWithout reports whether enough of the voters left are alive. The new
// set is in force as soon as it is in the leader's log: without a majority of it,
// it would never be committed, and nothing after it either.
func (u *upkeep) majorityWithout(m *member, st host.Status, id uint64) bool {
	alive, left := 0, 0
	for _, voter := range st.Voters {
		if voter == id {
			continue
		}
		left++
		if voter == st.ID || u.age(m, voter) <= aliveWithin {
			alive++
		}
	}
	return left > 0 && alive >= left/2+1
}

// age is how long ago a replica last replied to this one.
func (u *upkeep) age(m *member, id uint64) time.Duration {
	addr, _ := m.book.Address(id)
	return u.now().Sub(u.contact(addr))
}

// balance promotes learners up to an odd number of voters, and lets a learner
// take the place of a voter that is out of reach for long.
func (u *upkeep) balance(m *member, st host.Status) (ch replica.Change, reason string, ok bool) {
	ready := u.aliveLearners(m, st)
	if len(ready) == 0 {
		return ch, "", false
	}
	if len(st.Voters)%2 == 0 || len(st.Voters) < maxVoters && len(ready) >= 2 {
		return replica.Change{Kind: replica.Promote, ID: ready[0]}, "more voters are wanted", true
	}
	if dead, found := u.deadVoter(m, st); found {
		return replica.Change{Kind: replica.Remove, ID: dead}, "out of reach, a learner takes its place", true
	}
	return ch, "", false
}

func (u *upkeep) aliveLearners(m *member, st host.Status) []uint64 {
	var ready []uint64
	for _, id := range st.Learners {
		if u.age(m, id) <= aliveWithin {
			ready = append(ready, id)
		}
	}
	slices.SortFunc(ready, cmp.Compare[uint64])
	return ready
}

// deadVoter returns the voter that has been out of reach longest, if that is
// long. A leader that has just been elected has heard of nobody yet.
func (u *upkeep) deadVoter(m *member, st host.Status) (uint64, bool) {
	u.mu.Lock()
	led := u.now().Sub(u.since)
	u.mu.Unlock()
	var dead uint64
	longest := deadAfter
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		if age := min(u.age(m, id), led); age > longest && u.majorityWithout(m, st, id) {
			dead, longest = id, age
		}
	}
	return dead, dead != 0
}

// retireUnused gives up seats that nobody will use any more: one that an
// instance asked for before it asked for a newer one, and one that no member has
// held for long. The seat of a replica that is about to be taken in stays.
func (u *upkeep) retireUnused(ctx context.Context, m *member, st host.Status) error {
	seats := m.state.members()
	newest := make(map[string]uint64)
	for _, s := range seats {
		newest[s.Address] = max(newest[s.Address], s.ID)
	}
	for _, s := range seats {
		if isMember(st, s.ID) {
			u.noteUsed(s.ID)
			continue
		}
		if s.ID < newest[s.Address] || u.unusedFor(s.ID) > retireAfter {
			return propose(ctx, m, kindRetire, retireCommand{ID: s.ID})
		}
	}
	return nil
}

func (u *upkeep) noteUsed(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.unused, id)
}

func (u *upkeep) unusedFor(id uint64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if r, wishes := u.asked[id]; wishes && now.Sub(r.at) <= askedWithin {
		delete(u.unused, id)
		return 0
	}
	since, noted := u.unused[id]
	if !noted {
		u.unused[id] = now
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
