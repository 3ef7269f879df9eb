package limit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model simulates a site in virtual time: entries that divide one limit, control replicas
// that vote on their shares, and a network that loses and delays messages and partitions.
// Every entry admits all it can in every step.
type model struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Time
	limit        Limit
	entries      []*modelEntry
	replicas     []*modelReplica
	messages     []message
	admitted     []float64 // cost admitted in each step
	memoryLostAt time.Time // when a replica last lost its stored entries
}

type modelEntry struct {
	name        string
	group       int // entries and replicas of one group reach each other
	up          bool
	startedAt   time.Time // start of this incarnation
	hadShare    bool
	resumesAt   time.Time // end of a pause or of the time that it is down
	pools       *PoolSet
	votes       *ShareVotes
	incarnation int
	liveEntries []string // entries that it takes to be up
	inbox       []func()
	requestedAt map[string]time.Time
	lenders     map[string]lenderIncarnation // that requested their shares back
	calls       map[string]*modelCall        // latest call by replica
}

type modelReplica struct {
	name        string
	group       int
	registry    *Registry
	persisted   []string
	persistedAt time.Time
}

// modelCall is an entry's call to a replica. The next one follows once it has been answered
// or has timed out.
type modelCall struct {
	calledAt time.Time
	answered bool
}

// lenderIncarnation is the incarnation of an entry that requested its shares back.
type lenderIncarnation struct {
	incarnation int
	held        bool
}

// message is a message in transit.
type message struct {
	deliverAt   time.Time
	to          *modelEntry
	incarnation int
	deliver     func()
}

const (
	modelStep   = 20 * time.Millisecond
	modelWindow = 8 * time.Second
	// modelClockFraction is the fraction of a lease that a borrower uses, for clock drift.
	modelClockFraction = 0.95
)

var modelKey = Key{Workspace: "w"}

func newModel(t *testing.T, seed uint64, entries, replicas int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, limit: Limit{Burst: 150, Rate: 100}, memoryLostAt: start}
	for i := range replicas {
		m.replicas = append(m.replicas, &modelReplica{name: fmt.Sprint("c", i), registry: NewRegistry(m.now, true)})
	}
	for range entries {
		m.addEntry()
	}
	return m
}

func (m *model) addEntry() {
	e := &modelEntry{name: fmt.Sprint("e", len(m.entries))}
	m.entries = append(m.entries, e)
	m.startEntry(e)
}

// startEntry starts a new incarnation, without any state.
func (m *model) startEntry(e *modelEntry) {
	e.incarnation++
	e.startedAt = m.now
	e.up, e.hadShare, e.inbox = true, false, nil
	e.pools, e.votes = NewPoolSet(e.name), NewShareVotes(m.now)
	e.liveEntries, e.lenders = nil, make(map[string]lenderIncarnation)
	e.requestedAt, e.calls = make(map[string]time.Time), make(map[string]*modelCall)
}

// owner returns the owner of the pool among the entries of a list.
func owner(list []string) string {
	best, name := uint64(0), ""
	for _, n := range list {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n + "/pool"))
		if rank := h.Sum64(); name == "" || rank > best {
			best, name = rank, n
		}
	}
	return name
}

// send calls deliver at an entry after a delay, unless the message is lost.
func (m *model) send(group int, to *modelEntry, deliver func()) {
	if group != to.group || m.rng.Float64() < 0.05 {
		return
	}
	delay := time.Duration(m.rng.IntN(40)) * time.Millisecond
	if m.rng.Float64() < 0.03 {
		delay = time.Duration(m.rng.IntN(3000)) * time.Millisecond
	}
	m.messages = append(m.messages, message{deliverAt: m.now.Add(delay), to: to, incarnation: to.incarnation, deliver: deliver})
}

func (m *model) entryByName(name string) *modelEntry {
	for _, e := range m.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// tick handles an entry's received messages and makes its due calls and requests.
func (m *model) tick(e *modelEntry) {
	for _, deliver := range e.inbox {
		deliver()
	}
	e.inbox = nil
	share := e.votes.Share(m.now)
	unusedSince := m.now
	if share > 0 && !e.hadShare {
		unusedSince, e.hadShare = e.votes.UnusedSince(), true
	}
	e.pools.SetShare(share, unusedSince, m.now)
	if !e.votes.ShareRecovered(m.now) {
		m.requestReturns(e)
	}
	for _, r := range m.replicas {
		last := e.calls[r.name]
		if last == nil || m.now.Sub(last.calledAt) > 3*time.Second || last.answered && m.now.Sub(last.calledAt) > 400*time.Millisecond {
			m.call(e, r)
		}
	}
	if owner(e.liveEntries) == e.name {
		m.requestShares(e)
	}
}

// call makes an entry's call to a replica, whose vote is the answer.
func (m *model) call(e *modelEntry, r *modelReplica) {
	e.liveEntries = m.liveEntriesFor(e)
	c := &modelCall{calledAt: m.now}
	e.calls[r.name] = c
	if r.group != e.group {
		return
	}
	r.registry.Observe(e.name, uint64(e.incarnation), e.votes.DivisorInUse(), m.now)
	vote := r.registry.Vote(e.name, m.now)
	m.send(r.group, e, func() {
		if e.calls[r.name] == c {
			c.answered = true
			e.votes.Record(r.name, vote, len(m.replicas), c.calledAt)
		}
	})
}

// liveEntriesFor returns the entries that e takes to be up: most of its group, and a few
// others.
func (m *model) liveEntriesFor(e *modelEntry) []string {
	var list []string
	for _, o := range m.entries {
		if o.up && (o.group == e.group || m.rng.Float64() < 0.1) && m.rng.Float64() < 0.95 {
			list = append(list, o.name)
		}
	}
	return list
}

func (m *model) requestShares(e *modelEntry) {
	entries := max(len(e.liveEntries), 1)
	for _, name := range e.liveEntries {
		lender := m.entryByName(name)
		if lender == nil || lender == e || m.now.Sub(e.requestedAt[name]) < RenewPeriod(entries) {
			continue
		}
		e.requestedAt[name] = m.now
		requestedAt, lease, incarnation := m.now, LeaseDuration(entries), e.incarnation
		m.send(e.group, lender, func() {
			lease := min(lease, LeaseDuration(EntriesForShare(lender.pools.Share())))
			share, saved, ok := lender.pools.Lend(modelKey, e.name, owner(lender.liveEntries), lease, m.now)
			if !ok || e.incarnation != incarnation {
				return
			}
			lenderRun := lender.incarnation
			m.send(lender.group, e, func() {
				until := requestedAt.Add(time.Duration(modelClockFraction * float64(lease)))
				if m.now.Before(until) && lenderRun >= e.lenders[lender.name].incarnation {
					if m.now.Sub(requestedAt) > MaxSavedAge {
						saved = 0
					}
					e.pools.Borrow(modelKey, lender.name, share, saved, until, m.now)
				}
			})
		})
	}
}

// requestReturns requests the shares that the previous incarnation lent from all other entries.
func (m *model) requestReturns(e *modelEntry) {
	for _, name := range e.liveEntries {
		o, incarnation := m.entryByName(name), e.incarnation
		if o == nil || o == e {
			continue
		}
		m.send(e.group, o, func() {
			if incarnation > o.lenders[e.name].incarnation {
				o.lenders[e.name] = lenderIncarnation{incarnation, o.pools.ReturnShares(e.name, m.now)}
			}
			held := o.lenders[e.name].held
			up := m.now.Sub(o.startedAt)
			m.send(o.group, e, func() { e.votes.RecordReturn(o.name, held, up, m.now) })
		})
	}
}

// step simulates one step and checks the sum of shares.
func (m *model) step() { m.stepNoCheck(); m.requireSharesAtMostOne() }

func (m *model) stepNoCheck() {
	m.now = m.now.Add(modelStep)
	m.injectFaults()
	for _, r := range m.replicas {
		if m.now.Sub(r.persistedAt) >= time.Second {
			r.persistedAt, r.persisted = m.now, r.registry.AllowedEntries(m.now)
		}
	}
	var pending []message
	for _, l := range m.messages {
		switch {
		case l.deliverAt.After(m.now):
			pending = append(pending, l)
		case l.incarnation == l.to.incarnation && l.to.up:
			l.to.inbox = append(l.to.inbox, l.deliver)
		}
	}
	m.messages = pending
	admitted := 0.0
	for _, e := range m.entries {
		if !m.now.Before(e.resumesAt) && !e.up {
			m.startEntry(e)
		}
		if !e.up || m.now.Before(e.resumesAt) {
			continue
		}
		m.tick(e)
		admitted += m.admitAll(e)
	}
	m.admitted = append(m.admitted, admitted)
}

// admitAll admits requests until the entry's pool refuses one, and returns their cost.
func (m *model) admitAll(e *modelEntry) float64 {
	const cost = 0.1
	admitted := 0.0
	for {
		if ok, _ := Allow([]*Pool{e.pools.Pool(modelKey, m.limit, m.now)}, cost, false, m.now); !ok {
			return admitted
		}
		admitted += cost
	}
}

// requireSharesAtMostOne checks that the shares in all pools sum to at most 1.
func (m *model) requireSharesAtMostOne() {
	sum := 0.0
	for _, e := range m.entries {
		if e.up {
			sum += e.pools.Pool(modelKey, m.limit, m.now).ShareSum(m.now)
		}
	}
	require.LessOrEqual(m.t, sum, 1+1e-9, "shares in use at %s", m.now.Sub(start))
}

// injectFaults partitions, pauses, stops, restarts and adds at random.
func (m *model) injectFaults() {
	chance := func(perSecond float64) bool { return m.rng.Float64() < perSecond*modelStep.Seconds() }
	if chance(0.05) { // partition in two
		fraction := m.rng.Float64()
		for _, e := range m.entries {
			e.group = m.randomSide(fraction)
		}
		for _, r := range m.replicas {
			r.group = m.randomSide(fraction)
		}
	}
	if chance(0.1) { // end of all partitions
		for _, e := range m.entries {
			e.group = 0
		}
		for _, r := range m.replicas {
			r.group = 0
		}
	}
	if chance(0.3) { // partition of one entry
		m.entries[m.rng.IntN(len(m.entries))].group = 2 + m.rng.IntN(50)
	}
	if e := m.entries[m.rng.IntN(len(m.entries))]; chance(0.3) && e.up {
		e.up, e.resumesAt = false, m.now.Add(time.Duration(m.rng.IntN(6000))*time.Millisecond)
		if m.rng.Float64() < 0.1 {
			e.resumesAt = m.now.Add(time.Duration(m.rng.IntN(90)) * time.Second)
		}
	}
	if e := m.entries[m.rng.IntN(len(m.entries))]; chance(0.3) && e.up {
		e.resumesAt = m.now.Add(time.Duration(m.rng.IntN(9000)) * time.Millisecond)
	}
	if r := m.replicas[m.rng.IntN(len(m.replicas))]; chance(0.2) {
		r.registry = NewRegistry(m.now, false)
		if lost := m.now.Sub(m.memoryLostAt) > 2*ShareTTL && m.rng.Float64() < 0.3; lost {
			m.memoryLostAt = m.now
		} else {
			r.registry.Restore(r.persisted, m.now)
		}
	}
	if chance(0.02) && len(m.entries) < 12 {
		m.addEntry()
	}
}

func (m *model) randomSide(fraction float64) int {
	if m.rng.Float64() < fraction {
		return 0
	}
	return 1
}

// Guards against a workspace that gets more than its limit and burst in a window while
// entries are partitioned, paused, restarted and added, replicas restart and lose their
// stored entries, and messages are late or lost.
func TestPoolsStayWithinLimitUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		m := newModel(t, seed, 6, 5)
		for range int(120 * time.Second / modelStep) {
			m.step()
		}
		m.requireWindows(fmt.Sprint("seed ", seed))
	}
}

func (m *model) requireWindows(name string) {
	window := int(modelWindow / modelStep)
	maxAdmitted := m.limit.Rate*(modelWindow+MaxSavedAge).Seconds() + m.limit.Burst
	for from := 0; from+window <= len(m.admitted); from++ {
		sum := 0.0
		for _, n := range m.admitted[from : from+window] {
			sum += n
		}
		require.LessOrEqual(m.t, sum, maxAdmitted+1e-6, "%s, window from step %d", name, from)
	}
	require.False(m.t, slices.Max(m.admitted) == 0, name)
}

// Guards against a part of the limit that cannot be used although nothing fails, because
// shares are lent too late or not at all.
func TestWholeLimitIsAdmittedWithoutFaults(t *testing.T) {
	m := newModel(t, 1, 8, 5)
	runWithoutFaults := func(seconds int) (admitted float64) {
		for range seconds * int(time.Second/modelStep) {
			m.now = m.now.Add(modelStep)
			for _, l := range m.messages {
				if !l.deliverAt.After(m.now) {
					l.to.inbox = append(l.to.inbox, l.deliver)
				}
			}
			m.messages = slices.DeleteFunc(m.messages, func(l message) bool { return !l.deliverAt.After(m.now) })
			for _, e := range m.entries {
				m.tick(e)
				admitted += m.admitAll(e)
			}
		}
		return admitted
	}
	runWithoutFaults(10)
	require.InDelta(t, 10*m.limit.Rate, runWithoutFaults(10), 0.05*10*m.limit.Rate)
}
