package policytest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/retry"
)

// failureDelay is the time from the start of an attempt at a failing or reclaimed
// server to its error.
const failureDelay = 20 * time.Millisecond

// hedgeCheckInterval is the time between an entry's checks whether to hedge an
// attempt without a first token.
const hedgeCheckInterval = 100 * time.Millisecond

// model is the state of one run of a scenario with a PolicySet.
type model struct {
	scenario *Scenario
	policies *PolicySet
	rng      *rand.Rand // for the policies; arrivals have their own
	now      time.Time
	events   eventHeap
	sequence int

	entries          []*entry
	servers          []*backend
	jobs             []*Job
	computedPrefixes map[prefix]bool // prefixes that any server has prefilled
	retries          int
	hedges           int
	callerRetries    int
	reports          int
}

// entry is one entry with its instances of the policies.
type entry struct {
	number           int
	queue            JobQueue
	admitter         Admitter
	router           Router
	retry            *retry.Policy
	view             []ServerView
	ownChanges       [][]loadChange // by server, oldest first; only those after the last load report
	firstTokenDelays []time.Duration
	reportNumber     int // of the last load report
}

// loadChange is a start (+1) or end (-1) of one of the entry's jobs at a server.
type loadChange struct {
	at    time.Time
	delta int
}

// Run simulates a scenario with a PolicySet that no other run has used. The
// result depends only on the arguments.
func Run(s *Scenario, set *PolicySet, seed uint64) *Result {
	m := &model{
		scenario: s, policies: set, now: epoch,
		rng:              rand.New(rand.NewPCG(seed, 0)),
		jobs:             s.arrivals(seed),
		computedPrefixes: make(map[prefix]bool),
	}
	m.build()
	for m.events.Len() > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	return m.result()
}

// build creates the servers and entries and schedules the first events.
func (m *model) build() {
	for i := range m.scenario.Fleet.Servers {
		m.servers = append(m.servers, &backend{
			fleet: &m.scenario.Fleet, zone: i % max(1, m.scenario.Fleet.Zones), alive: true, slowFactor: 1,
		})
	}
	for i := range m.scenario.Entries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	for _, j := range m.jobs {
		m.schedule(j.Arrived, func() { m.arrive(j) })
	}
	for i := range m.scenario.Faults {
		f := &m.scenario.Faults[i]
		m.schedule(epoch.Add(f.At), func() { m.applyFault(f, true) })
		if f.Kind != Reclaim {
			m.schedule(epoch.Add(f.Until), func() { m.applyFault(f, false) })
		}
	}
	m.exchange()
	m.reportLoad()
}

func (m *model) newEntry(number int) *entry {
	e := &entry{
		number:     number,
		queue:      m.policies.JobQueue(m.scenario),
		admitter:   m.policies.Admitter(m.scenario),
		router:     m.policies.Router(m.scenario, number),
		view:       make([]ServerView, len(m.servers)),
		ownChanges: make([][]loadChange, len(m.servers)),
	}
	if m.policies.Retry != nil {
		e.retry = m.policies.Retry()
		e.retry.SetServers(len(m.servers))
		upSince := m.now.Add(-2 * retry.DefaultConfig().Window)
		e.retry.SetSlack(upSince, float64(retry.DefaultSlack)/float64(m.scenario.Entries))
	}
	for i, b := range m.servers {
		e.view[i] = ServerView{Alive: true, Zone: b.zone, Slots: m.scenario.Fleet.Slots, Assigned: m.scenario.Fleet.Slots / m.scenario.Entries}
	}
	return e
}

func (m *model) schedule(t time.Time, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: t, sequence: m.sequence, run: run})
}

func (m *model) scheduleAfter(d time.Duration, run func()) { m.schedule(m.now.Add(d), run) }

func (m *model) finished() bool { return m.now.Sub(epoch) >= m.scenario.Duration }

// exchange runs once a second: the entries exchange their slots in use and call
// the PolicySet's Exchange.
func (m *model) exchange() {
	if m.finished() {
		return
	}
	m.scheduleAfter(time.Second, m.exchange)
	m.exchangeSlotsHeld()
	if m.policies.Exchange == nil {
		return
	}
	admitters := make([]Admitter, len(m.entries))
	for i, e := range m.entries {
		admitters[i] = e.admitter
	}
	m.policies.Exchange(m.now, admitters)
}

// exchangeSlotsHeld sends each entry the slots that the others hold, by workspace.
func (m *model) exchangeSlotsHeld() {
	for i := range m.scenario.Sources {
		workspace := m.scenario.Sources[i].Workspace
		total := 0
		for _, e := range m.entries {
			total += e.queue.SlotsHeld(workspace)
		}
		for _, e := range m.entries {
			e.queue.SetRemoteSlots(workspace, total-e.queue.SlotsHeld(workspace))
		}
	}
}

// reportLoad sends the load of all servers to each entry, where it arrives after
// the fleet's ReportDelay, and schedules the next report.
func (m *model) reportLoad() {
	if m.finished() {
		return
	}
	takenAt := m.now
	m.reports++
	number := m.reports
	loads := make([]int, len(m.servers))
	for i, b := range m.servers {
		loads[i] = len(b.running) + len(b.waiting)
	}
	for _, e := range m.entries {
		m.scheduleAfter(m.scenario.Fleet.ReportDelay, func() {
			e.applyReport(m.now, takenAt, loads, number, len(m.entries))
			m.dispatch(e)
		})
	}
	m.scheduleAfter(m.scenario.Fleet.ReportInterval, m.reportLoad)
}

// applyReport updates the view from a load report taken at takenAt, and adds the
// entry's own starts and ends since then.
func (e *entry) applyReport(now, takenAt time.Time, loads []int, number, entries int) {
	e.reportNumber = number
	free := make([]int, len(loads))
	for i := range loads {
		free[i] = e.view[i].Slots - loads[i]
		if !e.view[i].Alive {
			free[i] = 0
		}
	}
	assigned := queue.SplitSlots(free, entries, e.number+number)
	for i, load := range loads {
		v := &e.view[i]
		v.ReportedLoad, v.EstimatedLoad, v.Assigned = load, load, assigned[i]
		for len(e.ownChanges[i]) > 0 && !e.ownChanges[i][0].at.After(takenAt) {
			e.ownChanges[i] = e.ownChanges[i][1:]
		}
		for _, c := range e.ownChanges[i] {
			v.EstimatedLoad += c.delta
			v.Assigned -= c.delta
		}
	}
	e.router.ObserveLoad(now, takenAt, e.view)
}

// recordChange applies an own start or end at a server to the view.
func (e *entry) recordChange(now time.Time, server, delta int) {
	e.view[server].EstimatedLoad += delta
	e.view[server].Assigned -= delta
	e.ownChanges[server] = append(e.ownChanges[server], loadChange{at: now, delta: delta})
}

// slots returns the totals of the view over all live servers.
func (e *entry) slots(entries int) queue.Slots {
	s := queue.Slots{Entries: entries, EntryNumber: e.number, ReportNumber: e.reportNumber}
	for _, v := range e.view {
		if !v.Alive {
			continue
		}
		reported := max(0, v.Slots-v.ReportedLoad)
		s.Total += v.Slots
		s.Free += reported
		s.Taken += reported - max(0, v.Slots-v.EstimatedLoad)
		if v.EstimatedLoad < v.Slots {
			s.Assigned += max(0, v.Assigned)
		}
	}
	return s
}

// arrive handles a request, or its caller's retry, at its entry.
func (m *model) arrive(j *Job) {
	e := m.entries[j.Entry]
	m.endExpired(e)
	if e.retry != nil {
		e.retry.RecordFirstAttempt(m.now, retryCall(j))
	}
	backlog := e.queue.Backlog(m.now, j, e.slots(len(m.entries)))
	if ok, retryAfter := e.admitter.Admit(m.now, j, backlog); !ok {
		m.refuse(j, retryAfter)
		return
	}
	m.push(e, j)
	m.schedule(j.Deadline, func() { m.callerLeft(j) })
	m.dispatch(e)
}

// refuse ends a job, or schedules its caller's retry if that comes before the
// deadline.
func (m *model) refuse(j *Job, retryAfter time.Duration) {
	if m.policies.FixedRetryAfter > 0 {
		retryAfter = m.policies.FixedRetryAfter
	}
	retryAt := m.now.Add(retryAfter)
	if !m.policies.CallersRetry || !retryAt.Before(j.Deadline) {
		m.end(j, Refused)
		return
	}
	m.callerRetries++
	m.schedule(retryAt, func() { m.arrive(j) })
}

func retryCall(j *Job) retry.Call {
	return retry.Call{
		Workspace: j.Source.Workspace, Service: "chat", Class: j.Class(), Idempotent: true, Deadline: j.Deadline,
	}
}

// push queues a job and ends the jobs evicted for it, which may include the job
// itself.
func (m *model) push(e *entry, j *Job) {
	for _, out := range e.queue.Push(m.now, j) {
		e.admitter.Done(m.now, out, 0)
		m.end(out, Evicted)
	}
}

func (m *model) end(j *Job, o Outcome) {
	j.Outcome = o
	j.Ended = m.now
}

// endExpired ends the queued jobs whose callers have left.
func (m *model) endExpired(e *entry) {
	for _, j := range e.queue.Expired(m.now) {
		e.admitter.Done(m.now, j, 0)
		m.end(j, Expired)
	}
}

// dispatch starts the queued jobs of an entry that may start now, and updates
// its Admitter.
func (m *model) dispatch(e *entry) {
	m.endExpired(e)
	m.startQueued(e)
	slots := e.slots(len(m.entries))
	e.admitter.SetFull(m.now, slots.Free <= slots.Taken || e.queue.Len() > 0)
}

func (m *model) startQueued(e *entry) {
	for {
		slots := e.slots(len(m.entries))
		j := e.queue.Next(m.now, slots)
		if j == nil {
			return
		}
		if !m.send(e, j, j.tried) {
			m.endFailed(j)
		}
	}
}

// send starts an attempt at a server other than those in tried, where it runs or
// waits for a slot. It reports whether there is such a server.
func (m *model) send(e *entry, j *Job, tried []int) bool {
	server, ok := e.router.Route(m.now, j, e.view, tried)
	if !ok {
		return false
	}
	j.attemptNumber++
	j.Attempts++
	j.attemptFirstToken = time.Time{}
	j.firstTokenDue = time.Time{}
	j.Server = server
	j.Started = m.now
	e.recordChange(m.now, server, 1)
	e.router.Started(m.now, j, server)
	b := m.servers[server]
	if !b.alive {
		m.scheduleAfter(failureDelay, m.ifAttemptCurrent(j, func() { m.resumeOnServerGone(j) }))
		return true
	}
	b.waiting = append(b.waiting, j)
	m.fillSlots(server)
	m.scheduleHedgeCheck(e, j)
	return true
}

// ifAttemptCurrent wraps an event of a job's current attempt: run is skipped if
// the job has ended or started another attempt by then.
func (m *model) ifAttemptCurrent(j *Job, run func()) func() {
	attempt := j.attemptNumber
	return func() {
		if j.attemptNumber == attempt && j.Outcome == Pending {
			run()
		}
	}
}

// fillSlots moves waiting jobs of a server into its free slots.
func (m *model) fillSlots(server int) {
	b := m.servers[server]
	for len(b.running) < b.fleet.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running = append(b.running, j)
		m.startOnServer(b, j)
	}
}

// startOnServer prefills a job that has got a slot and schedules its first and
// last token.
func (m *model) startOnServer(b *backend, j *Job) {
	if b.failing {
		m.scheduleAfter(failureDelay, m.ifAttemptCurrent(j, func() { m.attemptFailed(j) }))
		return
	}
	cachedTokens, stored, evicted := b.lookup(j)
	j.CachedTokens = cachedTokens
	p := prefix{source: j.Source, sourceNumber: j.sourceNumber, number: j.Prefix}
	if stored && m.computedPrefixes[p] {
		j.RecomputedTokens += j.Source.PrefixTokens
	}
	if j.Prefix >= 0 {
		m.computedPrefixes[p] = true
	}
	m.notifyCacheChange(j, stored, evicted)
	if j.ProducedTokens > 0 {
		j.RecomputedTokens += j.ProducedTokens + j.PromptTokens - max(cachedTokens, j.Source.PrefixTokens)
	}
	tokenInterval := b.tokenInterval()
	untilFirstToken := b.prefill(j.PromptTokens-cachedTokens+j.ProducedTokens) + tokenInterval
	j.firstTokenDue = m.now.Add(untilFirstToken)
	m.scheduleAfter(untilFirstToken, m.ifAttemptCurrent(j, func() { m.firstToken(j, tokenInterval) }))
	m.scheduleAfter(untilFirstToken+time.Duration(j.AnswerTokens-j.ProducedTokens-1)*tokenInterval, m.ifAttemptCurrent(j, func() { m.endAnswered(j) }))
}

// notifyCacheChange sends the changes of a server's prefix cache to the routers
// of all entries.
func (m *model) notifyCacheChange(j *Job, stored bool, evicted []prefix) {
	for _, e := range m.entries {
		if stored {
			e.router.ObserveCache(m.now, j.Server, j.sourceNumber, j.Prefix, j.Source.PrefixTokens, true)
		}
		for _, p := range evicted {
			e.router.ObserveCache(m.now, j.Server, p.sourceNumber, p.number, p.source.PrefixTokens, false)
		}
	}
}

// firstToken handles the first token of an attempt.
func (m *model) firstToken(j *Job, tokenInterval time.Duration) {
	e := m.entries[j.Entry]
	if j.FirstToken.IsZero() {
		j.FirstToken = m.now
	} else {
		j.LongestPause = max(j.LongestPause, m.now.Sub(j.lastToken))
	}
	j.TokenInterval = tokenInterval
	j.attemptFirstToken = m.now
	e.firstTokenDelays = append(e.firstTokenDelays, m.now.Sub(j.Started))
	e.admitter.FirstToken(m.now, j)
	e.router.FirstToken(m.now, j, j.Server)
}

func (m *model) endAnswered(j *Job) {
	work := m.scenario.Fleet.work(j.PromptTokens-j.CachedTokens, j.AnswerTokens)
	m.releaseSlot(j, work, false)
	m.end(j, Answered)
	m.dispatch(m.entries[j.Entry])
}

// releaseSlot frees the job's slot and reports its work to the entry's queue and
// Admitter.
func (m *model) releaseSlot(j *Job, work int64, failed bool) {
	e := m.entries[j.Entry]
	m.removeFromServer(j, failed)
	e.queue.Ended(m.now, j, work)
	e.admitter.Done(m.now, j, work)
}

// removeFromServer removes the job from its server, running or waiting, and
// starts the next one there.
func (m *model) removeFromServer(j *Job, failed bool) {
	e, b := m.entries[j.Entry], m.servers[j.Server]
	if !removeJob(&b.running, j) {
		removeJob(&b.waiting, j)
	}
	e.recordChange(m.now, j.Server, -1)
	e.router.Ended(m.now, j, j.Server, failed)
	m.fillSlots(j.Server)
}

// callerLeft handles the job's deadline, at which the caller leaves.
func (m *model) callerLeft(j *Job) {
	e := m.entries[j.Entry]
	if j.Outcome != Pending {
		return
	}
	if j.Server < 0 {
		m.endExpired(e)
		return
	}
	m.releaseSlot(j, int64(m.now.Sub(j.Started)/m.scenario.Fleet.fullTokenInterval()), false)
	m.end(j, Late)
	m.dispatch(e)
}
