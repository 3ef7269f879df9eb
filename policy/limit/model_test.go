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

// model is a site in virtual time: entries that divide one limit, control replicas that
// say who shares, and a network that loses, delays and cuts. Each entry uses up whatever it
// has, all the time.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	limit    Limit
	entries  []*modelEntry
	replicas []*modelReplica
	mail     []letter
	let      []float64 // in each step
	wiped    time.Time // when a replica last lost its memory
}

type modelEntry struct {
	name    string
	group   int // who reaches whom
	up      bool
	began   time.Time // of this life
	hadPart bool
	at      time.Time // when it acts again, after it was frozen or down
	keeper  *PoolSet
	words   *ShareVotes
	life    int
	list    []string // the entries that it takes to be up
	inbox   []func()
	askedAt map[string]time.Time
	lives   map[string]lenderLife // of the entries that asked for their shares back
	calls   map[string]*modelCall // by replica, the last one
}

type modelReplica struct {
	name   string
	group  int
	roster *Registry
	memory []string
	saved  time.Time
}

// modelCall is an entry's call to a replica. The next one follows once it has been answered,
// or has taken too long.
type modelCall struct {
	at       time.Time
	answered bool
}

// lenderLife is a life that has asked for its shares back, and whether there were any.
type lenderLife struct {
	life int
	held bool
}

// letter is a message on its way.
type letter struct {
	at   time.Time
	to   *modelEntry
	life int
	read func()
}

const (
	modelStep   = 20 * time.Millisecond
	modelWindow = 8 * time.Second
	// modelClock is the part of a lease that a keeper counts on.
	modelClock = 0.95
)

var modelKey = Key{Workspace: "w"}

func newModel(t *testing.T, seed uint64, entries, replicas int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, limit: Limit{Burst: 150, Rate: 100}, wiped: start}
	for i := range replicas {
		m.replicas = append(m.replicas, &modelReplica{name: fmt.Sprint("c", i), roster: NewRegistry(m.now, true)})
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

// startEntry begins a new life, which knows nothing.
func (m *model) startEntry(e *modelEntry) {
	e.life++
	e.began = m.now
	e.up, e.hadPart, e.inbox = true, false, nil
	e.keeper, e.words = NewPoolSet(e.name), NewShareVotes(m.now)
	e.list, e.lives = nil, make(map[string]lenderLife)
	e.askedAt, e.calls = make(map[string]time.Time), make(map[string]*modelCall)
}

// owner is the entry of a list that should keep the pool.
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

// send delivers read at an entry after a while, unless the message is lost.
func (m *model) send(group int, to *modelEntry, read func()) {
	if group != to.group || m.rng.Float64() < 0.05 {
		return
	}
	delay := time.Duration(m.rng.IntN(40)) * time.Millisecond
	if m.rng.Float64() < 0.03 {
		delay = time.Duration(m.rng.IntN(3000)) * time.Millisecond
	}
	m.mail = append(m.mail, letter{at: m.now.Add(delay), to: to, life: to.life, read: read})
}

func (m *model) find(name string) *modelEntry {
	for _, e := range m.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// act has an entry do what is due.
func (m *model) act(e *modelEntry) {
	for _, read := range e.inbox {
		read()
	}
	e.inbox = nil
	part := e.words.Share(m.now)
	since := m.now
	if part > 0 && !e.hadPart {
		since, e.hadPart = e.words.UnusedSince(), true
	}
	e.keeper.SetShare(part, since, m.now)
	if !e.words.Settled(m.now) {
		m.askSharesBack(e)
	}
	for _, r := range m.replicas {
		last := e.calls[r.name]
		if last == nil || m.now.Sub(last.at) > 3*time.Second || last.answered && m.now.Sub(last.at) > 400*time.Millisecond {
			m.call(e, r)
		}
	}
	if owner(e.list) == e.name {
		m.askShares(e)
	}
}

// call tells a replica that the entry is up, and brings its word.
func (m *model) call(e *modelEntry, r *modelReplica) {
	e.list = m.listFor(e)
	c := &modelCall{at: m.now}
	e.calls[r.name] = c
	if r.group != e.group {
		return
	}
	r.roster.Observe(e.name, e.words.DivisorInUse(), m.now)
	word := r.roster.Vote(e.name, m.now)
	m.send(r.group, e, func() {
		if e.calls[r.name] == c {
			c.answered = true
			e.words.Record(r.name, word, len(m.replicas), c.at)
		}
	})
}

// listFor returns the entries that one takes to be up: those of its group, or any others.
func (m *model) listFor(e *modelEntry) []string {
	var list []string
	for _, o := range m.entries {
		if o.up && (o.group == e.group || m.rng.Float64() < 0.1) && m.rng.Float64() < 0.95 {
			list = append(list, o.name)
		}
	}
	return list
}

func (m *model) askShares(e *modelEntry) {
	entries := max(len(e.list), 1)
	for _, name := range e.list {
		o := m.find(name)
		if o == nil || o == e || m.now.Sub(e.askedAt[name]) < RenewPeriod(entries) {
			continue
		}
		e.askedAt[name] = m.now
		asked, long, life := m.now, LeaseDuration(entries), e.life
		m.send(e.group, o, func() {
			long := min(long, LeaseDuration(EntriesForShare(o.keeper.Share())))
			part, saved, ok := o.keeper.Lend(modelKey, e.name, owner(o.list), long, m.now)
			if !ok || e.life != life {
				return
			}
			lender := o.life
			m.send(o.group, e, func() {
				until := asked.Add(time.Duration(modelClock * float64(long)))
				if m.now.Before(until) && lender >= e.lives[o.name].life {
					if m.now.Sub(asked) > MaxSavedAge {
						saved = 0
					}
					e.keeper.Borrow(modelKey, o.name, part, saved, until, m.now)
				}
			})
		})
	}
}

// askSharesBack asks all others for what the life before lent them.
func (m *model) askSharesBack(e *modelEntry) {
	for _, name := range e.list {
		o, life := m.find(name), e.life
		if o == nil || o == e {
			continue
		}
		m.send(e.group, o, func() {
			if life > o.lives[e.name].life {
				o.lives[e.name] = lenderLife{life, o.keeper.ReturnShares(e.name, m.now)}
			}
			held := o.lives[e.name].held
			up := m.now.Sub(o.began)
			m.send(o.group, e, func() { e.words.RecordReturn(o.name, held, up, m.now) })
		})
	}
}

// step plays one step.
func (m *model) step() { m.stepNoCheck(); m.requireOneWhole() }

func (m *model) stepNoCheck() {
	m.now = m.now.Add(modelStep)
	m.trouble()
	for _, r := range m.replicas {
		if m.now.Sub(r.saved) >= time.Second {
			r.saved, r.memory = m.now, r.roster.AllowedEntries(m.now)
		}
	}
	var rest []letter
	for _, l := range m.mail {
		switch {
		case l.at.After(m.now):
			rest = append(rest, l)
		case l.life == l.to.life && l.to.up:
			l.to.inbox = append(l.to.inbox, l.read)
		}
	}
	m.mail = rest
	let := 0.0
	for _, e := range m.entries {
		if !m.now.Before(e.at) && !e.up {
			m.startEntry(e)
		}
		if !e.up || m.now.Before(e.at) {
			continue
		}
		m.act(e)
		let += m.useUp(e)
	}
	m.let = append(m.let, let)
}

// useUp lets in all that an entry may.
func (m *model) useUp(e *modelEntry) float64 {
	const cost = 0.1
	let := 0.0
	for {
		if ok, _ := Allow([]*Pool{e.keeper.Pool(modelKey, m.limit, m.now)}, cost, false, m.now); !ok {
			return let
		}
		let += cost
	}
}

// requireOneWhole checks that the shares in all pools come to one at most.
func (m *model) requireOneWhole() {
	sum := 0.0
	for _, e := range m.entries {
		if e.up {
			sum += e.keeper.Pool(modelKey, m.limit, m.now).ShareSum(m.now)
		}
	}
	require.LessOrEqual(m.t, sum, 1+1e-9, "shares in use at %s", m.now.Sub(start))
}

// trouble changes who reaches whom, and stops, freezes and starts.
func (m *model) trouble() {
	chance := func(perSecond float64) bool { return m.rng.Float64() < perSecond*modelStep.Seconds() }
	if chance(0.05) { // cut in two
		part := m.rng.Float64()
		for _, e := range m.entries {
			e.group = m.side(part)
		}
		for _, r := range m.replicas {
			r.group = m.side(part)
		}
	}
	if chance(0.1) { // whole again
		for _, e := range m.entries {
			e.group = 0
		}
		for _, r := range m.replicas {
			r.group = 0
		}
	}
	if chance(0.3) { // an entry alone
		m.entries[m.rng.IntN(len(m.entries))].group = 2 + m.rng.IntN(50)
	}
	if e := m.entries[m.rng.IntN(len(m.entries))]; chance(0.3) && e.up {
		e.up, e.at = false, m.now.Add(time.Duration(m.rng.IntN(6000))*time.Millisecond)
		if m.rng.Float64() < 0.1 {
			e.at = m.now.Add(time.Duration(m.rng.IntN(90)) * time.Second)
		}
	}
	if e := m.entries[m.rng.IntN(len(m.entries))]; chance(0.3) && e.up {
		e.at = m.now.Add(time.Duration(m.rng.IntN(9000)) * time.Millisecond)
	}
	if r := m.replicas[m.rng.IntN(len(m.replicas))]; chance(0.2) {
		r.roster = NewRegistry(m.now, false)
		if lost := m.now.Sub(m.wiped) > 2*ShareTTL && m.rng.Float64() < 0.3; lost {
			m.wiped = m.now
		} else {
			r.roster.Restore(r.memory, m.now)
		}
	}
	if chance(0.02) && len(m.entries) < 12 {
		m.addEntry()
	}
}

func (m *model) side(part float64) int {
	if m.rng.Float64() < part {
		return 0
	}
	return 1
}

// Entries are cut off, frozen, started again and added, replicas start again and lose
// their memory, messages are late or lost, and entries differ about who is up. A workspace
// that sends without end gets the limit and its burst in any window, and no more.
func TestLimitHoldsInAnyOrder(t *testing.T) {
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
	most := m.limit.Rate*(modelWindow+MaxSavedAge).Seconds() + m.limit.Burst
	for from := 0; from+window <= len(m.let); from++ {
		sum := 0.0
		for _, n := range m.let[from : from+window] {
			sum += n
		}
		require.LessOrEqual(m.t, sum, most+1e-6, "%s, window from step %d", name, from)
	}
	require.False(m.t, slices.Max(m.let) == 0, name)
}

// While all is well the whole limit is let in, wherever its requests come.
func TestWholeLimitIsServed(t *testing.T) {
	m := newModel(t, 1, 8, 5)
	quiet := func(seconds int) (let float64) {
		for range seconds * int(time.Second/modelStep) {
			m.now = m.now.Add(modelStep)
			for _, l := range m.mail {
				if !l.at.After(m.now) {
					l.to.inbox = append(l.to.inbox, l.read)
				}
			}
			m.mail = slices.DeleteFunc(m.mail, func(l letter) bool { return !l.at.After(m.now) })
			for _, e := range m.entries {
				m.act(e)
				let += m.useUp(e)
			}
		}
		return let
	}
	quiet(10)
	require.InDelta(t, 10*m.limit.Rate, quiet(10), 0.05*10*m.limit.Rate)
}
