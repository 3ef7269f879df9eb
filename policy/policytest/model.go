package policytest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/retry"
)

// failAfter is when an attempt at a failing server fails.
const failAfter = 20 * time.Millisecond

// hedgeCheck is how often an entry looks at an attempt without a first token.
const hedgeCheck = 100 * time.Millisecond

// model is one run of a scenario with a set of policies.
type model struct {
	scenario *Scenario
	set      *Set
	rng      *rand.Rand // of the policies; arrivals have their own
	now      time.Time
	events   events
	order    int

	entries  []*entry
	servers  []*backend
	jobs     []*Job
	computed map[prefix]bool // prefixes that some server has prefilled
	retries  int
	hedges   int
	returns  int
	reports  int
}

// entry is one entry with its policies.
type entry struct {
	number int
	line   Line
	gate   Gate
	router Router
	retry  *retry.Policy
	view   []View
	own    [][]change // own starts and ends by server, newest last
	firsts []time.Duration
	report int // number of the last load report
}

// change is an own start or end at a server.
type change struct {
	at    time.Time
	delta int
}

// Run plays a scenario with a set of policies.
func Run(s *Scenario, set *Set, seed uint64) *Result {
	m := &model{
		scenario: s, set: set, now: epoch,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		jobs:     s.arrivals(seed),
		computed: make(map[prefix]bool),
	}
	m.build()
	for m.events.Len() > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	return m.result()
}

func (m *model) build() {
	for i := range m.scenario.Fleet.Servers {
		m.servers = append(m.servers, &backend{
			fleet: &m.scenario.Fleet, zone: i % max(1, m.scenario.Fleet.Zones), alive: true, slow: 1,
		})
	}
	for i := range m.scenario.Entries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	for _, j := range m.jobs {
		m.at(j.Arrived, func() { m.arrive(j) })
	}
	for i := range m.scenario.Faults {
		f := &m.scenario.Faults[i]
		m.at(epoch.Add(f.At), func() { m.fault(f, true) })
		if f.Kind != Reclaim {
			m.at(epoch.Add(f.Until), func() { m.fault(f, false) })
		}
	}
	m.exchange()
	m.report()
}

func (m *model) newEntry(number int) *entry {
	e := &entry{
		number: number,
		line:   m.set.Line(m.scenario),
		gate:   m.set.Gate(m.scenario),
		router: m.set.Router(m.scenario, number),
		view:   make([]View, len(m.servers)),
		own:    make([][]change, len(m.servers)),
	}
	if m.set.Retry != nil {
		e.retry = m.set.Retry()
		e.retry.SetServers(len(m.servers))
	}
	for i, b := range m.servers {
		e.view[i] = View{Alive: true, Zone: b.zone, Slots: m.scenario.Fleet.Slots, Free: m.scenario.Fleet.Slots / m.scenario.Entries}
	}
	return e
}

func (m *model) at(t time.Time, run func()) {
	m.order++
	heap.Push(&m.events, event{at: t, order: m.order, run: run})
}

func (m *model) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

func (m *model) over() bool { return m.now.Sub(epoch) >= m.scenario.Length }

// exchange lets the entries meet the control leader and each other once a
// second.
func (m *model) exchange() {
	if m.over() {
		return
	}
	m.after(time.Second, m.exchange)
	m.tellHeld()
	if m.set.Exchange == nil {
		return
	}
	gates := make([]Gate, len(m.entries))
	for i, e := range m.entries {
		gates[i] = e.gate
	}
	m.set.Exchange(m.now, gates)
}

func (m *model) tellHeld() {
	for i := range m.scenario.Sources {
		name := m.scenario.Sources[i].Workspace
		all := 0
		for _, e := range m.entries {
			all += e.line.Held(name)
		}
		for _, e := range m.entries {
			e.line.Elsewhere(name, all-e.line.Held(name))
		}
	}
}

// report sends each server's load to all entries; it arrives late.
func (m *model) report() {
	if m.over() {
		return
	}
	at := m.now
	m.reports++
	number := m.reports
	loads := make([]int, len(m.servers))
	for i, b := range m.servers {
		loads[i] = len(b.running) + len(b.waiting)
	}
	for _, e := range m.entries {
		m.after(m.scenario.Fleet.ReportLag, func() {
			e.learn(m.now, at, loads, number, len(m.entries))
			m.dispatch(e)
		})
	}
	m.after(m.scenario.Fleet.ReportEvery, m.report)
}

func (e *entry) learn(now, at time.Time, loads []int, number, entries int) {
	e.report = number
	free := make([]int, len(loads))
	for i := range loads {
		free[i] = e.view[i].Slots - loads[i]
		if !e.view[i].Alive {
			free[i] = 0
		}
	}
	parts := queue.SplitSlots(free, entries, e.number+number)
	for i, load := range loads {
		v := &e.view[i]
		v.Reported, v.Believed, v.Free = load, load, parts[i]
		for len(e.own[i]) > 0 && !e.own[i][0].at.After(at) {
			e.own[i] = e.own[i][1:]
		}
		for _, c := range e.own[i] {
			v.Believed += c.delta
			v.Free -= c.delta
		}
	}
	e.router.Report(now, at, e.view)
}

func (e *entry) changed(now time.Time, server, delta int) {
	e.view[server].Believed += delta
	e.view[server].Free -= delta
	e.own[server] = append(e.own[server], change{at: now, delta: delta})
}

// slots sums up the view.
func (e *entry) slots(entries int) queue.Slots {
	s := queue.Slots{Entries: entries, Entry: e.number, Report: e.report}
	for _, v := range e.view {
		if !v.Alive {
			continue
		}
		reported := max(0, v.Slots-v.Reported)
		s.Total += v.Slots
		s.Free += reported
		s.Taken += reported - max(0, v.Slots-v.Believed)
		if v.Believed < v.Slots {
			s.Assigned += max(0, v.Free)
		}
	}
	return s
}

func (m *model) arrive(j *Job) {
	e := m.entries[j.Entry]
	m.expire(e)
	if e.retry != nil {
		e.retry.First(m.now, call(j))
	}
	backlog := e.line.Backlog(m.now, j, e.slots(len(m.entries)))
	if ok, after := e.gate.Admit(m.now, j, backlog); !ok {
		m.refuse(j, after)
		return
	}
	m.push(e, j)
	m.at(j.Deadline, func() { m.leave(j) })
	m.dispatch(e)
}

// refuse ends a job, or lets its caller come back.
func (m *model) refuse(j *Job, after time.Duration) {
	if m.set.RetryAfter > 0 {
		after = m.set.RetryAfter
	}
	back := m.now.Add(after)
	if !m.set.ComeBack || !back.Before(j.Deadline) {
		m.end(j, Refused)
		return
	}
	m.returns++
	m.at(back, func() { m.arrive(j) })
}

func call(j *Job) retry.Call {
	return retry.Call{
		Workspace: j.Source.Workspace, Service: "chat", Class: j.Class(), Idempotent: true, Deadline: j.Deadline,
	}
}

func (m *model) push(e *entry, j *Job) {
	for _, out := range e.line.Push(m.now, j) {
		e.gate.Done(m.now, out, 0)
		m.end(out, Evicted)
	}
}

func (m *model) end(j *Job, o Outcome) {
	j.Outcome = o
	j.Ended = m.now
}

func (m *model) expire(e *entry) {
	for _, j := range e.line.Expired(m.now) {
		e.gate.Done(m.now, j, 0)
		m.end(j, Expired)
	}
}

// dispatch starts what may start at an entry.
func (m *model) dispatch(e *entry) {
	m.expire(e)
	m.start(e)
	slots := e.slots(len(m.entries))
	e.gate.Full(m.now, slots.Free <= slots.Taken || e.line.Len() > 0)
}

func (m *model) start(e *entry) {
	for {
		slots := e.slots(len(m.entries))
		j := e.line.Next(m.now, slots)
		if j == nil {
			return
		}
		if !m.send(e, j, j.tried) {
			m.fail(j)
		}
	}
}

// send routes a job and lets it run or wait at the server.
func (m *model) send(e *entry, j *Job, tried []int) bool {
	server, ok := e.router.Route(m.now, j, e.view, tried)
	if !ok {
		return false
	}
	j.attempt++
	j.Attempts++
	j.streaming = time.Time{}
	j.due = time.Time{}
	j.Server = server
	j.Started = m.now
	e.changed(m.now, server, 1)
	e.router.Started(m.now, j, server)
	b := m.servers[server]
	if !b.alive {
		m.after(failAfter, m.guard(j, func() { m.lost(j) }))
		return true
	}
	b.waiting = append(b.waiting, j)
	m.fill(server)
	m.watch(e, j)
	return true
}

// guard voids an event once the job's attempt is over.
func (m *model) guard(j *Job, run func()) func() {
	attempt := j.attempt
	return func() {
		if j.attempt == attempt && j.Outcome == Pending {
			run()
		}
	}
}

// fill moves waiting jobs of a server into free slots.
func (m *model) fill(server int) {
	b := m.servers[server]
	for len(b.running) < b.fleet.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running = append(b.running, j)
		m.begin(b, j)
	}
}

// begin prefills a job and schedules its tokens.
func (m *model) begin(b *backend, j *Job) {
	if b.failing {
		m.after(failAfter, m.guard(j, func() { m.failed(j) }))
		return
	}
	hit, stored, dropped := b.lookup(j)
	j.Cached = hit
	p := prefix{source: j.Source, sourceNumber: j.sourceNumber, number: j.Prefix}
	if stored && m.computed[p] {
		j.Recompute += j.Source.PrefixLen
	}
	if j.Prefix >= 0 {
		m.computed[p] = true
	}
	m.tell(j, stored, dropped)
	if j.Produced > 0 {
		j.Recompute += j.Produced + j.Prompt - max(hit, j.Source.PrefixLen)
	}
	gap := b.gap()
	first := b.prefill(j.Prompt-hit+j.Produced) + gap
	j.due = m.now.Add(first)
	m.after(first, m.guard(j, func() { m.firstToken(j, gap) }))
	m.after(first+time.Duration(j.Answer-j.Produced-1)*gap, m.guard(j, func() { m.answered(j) }))
}

// tell sends cache events to all routers.
func (m *model) tell(j *Job, stored bool, dropped []prefix) {
	for _, e := range m.entries {
		if stored {
			e.router.Cached(m.now, j.Server, j.sourceNumber, j.Prefix, j.Source.PrefixLen, true)
		}
		for _, p := range dropped {
			e.router.Cached(m.now, j.Server, p.sourceNumber, p.number, p.source.PrefixLen, false)
		}
	}
}

func (m *model) firstToken(j *Job, gap time.Duration) {
	e := m.entries[j.Entry]
	if j.First.IsZero() {
		j.First = m.now
	} else {
		j.LongGap = max(j.LongGap, m.now.Sub(j.lastOut))
	}
	j.Gap = gap
	j.streaming = m.now
	e.firsts = append(e.firsts, m.now.Sub(j.Started))
	e.gate.FirstToken(m.now, j)
	e.router.FirstToken(m.now, j, j.Server)
}

func (m *model) answered(j *Job) {
	work := m.scenario.Fleet.work(j.Prompt-j.Cached, j.Answer)
	m.release(j, work, false)
	m.end(j, Answered)
	m.dispatch(m.entries[j.Entry])
}

// release gives the job's slot back and settles the policies' accounts.
func (m *model) release(j *Job, work int64, failed bool) {
	e := m.entries[j.Entry]
	m.vacate(j, failed)
	e.line.Ended(m.now, j, work)
	e.gate.Done(m.now, j, work)
}

// vacate takes the job off its server.
func (m *model) vacate(j *Job, failed bool) {
	e, b := m.entries[j.Entry], m.servers[j.Server]
	if !drop(&b.running, j) {
		drop(&b.waiting, j)
	}
	e.changed(m.now, j.Server, -1)
	e.router.Ended(m.now, j, j.Server, failed)
	m.fill(j.Server)
}

// leave is the caller giving up.
func (m *model) leave(j *Job) {
	e := m.entries[j.Entry]
	if j.Outcome != Pending {
		return
	}
	if j.Server < 0 {
		m.expire(e)
		return
	}
	m.release(j, int64(m.now.Sub(j.Started)/m.scenario.Fleet.fullGap()), false)
	m.end(j, Late)
	m.dispatch(e)
}
