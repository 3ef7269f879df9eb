package limit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model simulates a site in virtual time: entries that divide one limit, control replicas
// that grant their shares, and a network that loses and delays messages and partitions.
// Every entry admits all it can in every step.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	limit    Limit
	entries  []*modelEntry
	core     *modelCore
	messages []message
	admitted []float64 // cost admitted in each step
	calm     bool      // no faults are injected
}

type modelEntry struct {
	name        string
	group       int // entries and replicas of one group reach each other
	up          bool
	lost        bool      // for good
	startedAt   time.Time // start of this incarnation
	hadShare    bool
	resumesAt   time.Time // end of a pause or of the time that it is down
	pools       *PoolSet
	holder      *Holder
	incarnation int
	liveEntries []string // entries that it takes to be up
	inbox       []func()
	requestedAt map[string]time.Time
	lenders     map[string]lenderIncarnation // that requested their shares back
	calls       map[string]*modelCall        // latest call by replica
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
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, limit: Limit{Burst: 150, Rate: 100}}
	m.core = newModelCore(m, replicas)
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
	e.pools, e.holder = NewPoolSet(e.name), NewHolder(uint64(e.incarnation), m.now)
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
	share := e.holder.Share(m.now)
	unusedSince := m.now
	if share > 0 && !e.hadShare {
		unusedSince, e.hadShare = e.holder.UnusedSince(), true
	}
	e.pools.SetShare(share, unusedSince, m.now)
	if !e.holder.ShareRecovered(m.now) {
		m.requestReturns(e)
	}
	for _, r := range m.core.replicas {
		last := e.calls[r.name]
		if last == nil || m.now.Sub(last.calledAt) > 3*time.Second || last.answered && m.now.Sub(last.calledAt) > 400*time.Millisecond {
			m.call(e, r)
		}
	}
	if owner(e.liveEntries) == e.name {
		m.requestShares(e)
	}
}

// call makes an entry's call to a replica.
func (m *model) call(e *modelEntry, r *modelReplica) {
	e.liveEntries = m.liveEntriesFor(e)
	c := &modelCall{calledAt: m.now}
	e.calls[r.name] = c
	if r.group != e.group || m.now.Before(r.resumesAt) {
		return
	}
	r.calls.Record(e.name, uint64(e.incarnation), e.holder.Report(m.now), m.now)
	reply := m.core.reply(r, e.name)
	m.send(r.group, e, func() {
		if e.calls[r.name] == c {
			c.answered = true
			e.holder.Record(r.name, reply, c.calledAt)
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
			m.send(o.group, e, func() { e.holder.RecordReturn(o.name, held, up, m.now) })
		})
	}
}

// step simulates one step and checks the sum of shares.
func (m *model) step() { m.stepNoCheck(); m.requireSharesAtMostOne() }

func (m *model) stepNoCheck() {
	m.now = m.now.Add(modelStep)
	if !m.calm {
		m.injectFaults()
		m.core.injectFaults()
	}
	m.core.step()
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
		if !m.now.Before(e.resumesAt) && !e.up && !e.lost {
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
	require.LessOrEqual(m.t, m.shareInUse(), 1+1e-9, "shares in use at %s", m.now.Sub(start))
}

// injectFaults partitions, pauses, stops, restarts and adds at random.
func (m *model) injectFaults() {
	chance := func(perSecond float64) bool { return m.rng.Float64() < perSecond*modelStep.Seconds() }
	if chance(0.05) { // partition in two
		fraction := m.rng.Float64()
		for _, e := range m.entries {
			e.group = m.randomSide(fraction)
		}
		for _, r := range m.core.replicas {
			r.group = m.randomSide(fraction)
		}
	}
	if chance(0.1) { // end of all partitions
		for _, e := range m.entries {
			e.group = 0
		}
		for _, r := range m.core.replicas {
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
	if chance(0.02) && len(m.entries) < 12 {
		m.addEntry()
	}
	if e := m.entries[m.rng.IntN(len(m.entries))]; chance(0.05) && len(m.entries) < 40 && e.up {
		m.replace(e)
	}
}

// replace ends an entry for good, after it has given its share up or not, or cuts it off for good while it
// goes on, and adds another.
func (m *model) replace(e *modelEntry) {
	switch m.rng.IntN(4) {
	case 0:
		e.group = 100 + len(m.entries)
	case 1:
		e.holder.GiveUp(m.now)
	default:
		m.lose(e)
	}
	m.addEntry()
}

// lose ends an entry for good.
func (m *model) lose(e *modelEntry) { e.up, e.lost = false, true }

func (m *model) randomSide(fraction float64) int {
	if m.rng.Float64() < fraction {
		return 0
	}
	return 1
}
