package policytest

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy/retry"
)

// applyFault starts a fault, or ends it if active is false.
func (m *model) applyFault(f *Fault, active bool) {
	for _, i := range f.Servers {
		b := m.servers[i]
		switch f.Kind {
		case SlowServer:
			b.slowFactor = 1
			if active {
				b.slowFactor = f.Factor
			}
		case FailingServer:
			b.failing = active
		case Reclaim:
			m.reclaim(i)
		}
	}
}

// reclaim removes a server. Entries learn of it at once, and its jobs resume on
// other servers after the tokens produced so far.
func (m *model) reclaim(server int) {
	b := m.servers[server]
	b.alive = false
	for _, e := range m.entries {
		e.view[server].Alive = false
		if e.retry != nil {
			e.retry.ServerFailed(m.now, serverName(server))
		}
	}
	jobs := slices.Concat(b.running, b.waiting)
	b.running, b.waiting = nil, nil
	for _, j := range jobs {
		m.resumeOnServerGone(j)
	}
}

// resumeOnServerGone requeues a job whose server was reclaimed.
func (m *model) resumeOnServerGone(j *Job) {
	e := m.entries[j.Entry]
	if !j.attemptFirstToken.IsZero() {
		since := m.now.Sub(j.attemptFirstToken)
		j.ProducedTokens = min(j.AnswerTokens-1, j.ProducedTokens+int(since/j.TokenInterval)+1)
		j.lastToken = m.now
	}
	e.recordChange(m.now, j.Server, -1)
	e.router.Ended(m.now, j, j.Server, true)
	m.requeue(e, j)
}

// requeue returns a started job to its entry's queue, ahead of the jobs that have
// not started.
func (m *model) requeue(e *entry, j *Job) {
	e.queue.Ended(m.now, j, j.EstimatedWork)
	j.attemptNumber++
	j.resumed = true
	j.Server = -1
	m.push(e, j)
	m.dispatch(e)
}

// endFailed ends a job that holds no slot with outcome Failed.
func (m *model) endFailed(j *Job) {
	e := m.entries[j.Entry]
	e.queue.Ended(m.now, j, 0)
	e.admitter.Done(m.now, j, 0)
	m.end(j, Failed)
}

// serverName returns a server's name of two letters; serverNumber is its inverse.
func serverName(i int) string { return string(rune('A'+i/26)) + string(rune('a'+i%26)) }

func serverNumber(name string) int { return int(name[0]-'A')*26 + int(name[1]-'a') }

// attemptFailed handles an attempt that failed before its first token: it
// retries the job or ends it.
func (m *model) attemptFailed(j *Job) {
	e, server := m.entries[j.Entry], j.Server
	m.removeFromServer(j, true)
	if e.retry == nil {
		m.endFailed(j)
		return
	}
	e.retry.ServerFailed(m.now, serverName(server))
	c := retryCall(j)
	if m.policies.OneRetryClass {
		c.Class = contract.ClassStandard
	}
	v := e.retry.Failed(m.now, retry.Failure{Call: c, Attempts: j.Attempts, NotRun: true}, m.rng.Float64())
	if !v.Go || !e.retry.Repeat(m.now, c).Go {
		m.endFailed(j)
		return
	}
	m.retries++
	j.tried = append(j.tried, server)
	m.scheduleAfter(v.After, m.ifAttemptCurrent(j, func() { m.requeue(e, j) }))
}

// scheduleHedgeCheck checks every hedgeCheckInterval whether to hedge an attempt
// without a first token, until it is hedged. The model computes which of
// the two attempts wins and runs only that one: a losing hedge takes no server
// time, and a winning one frees the first server at once.
func (m *model) scheduleHedgeCheck(e *entry, j *Job) {
	if !m.policies.Hedge || e.retry == nil || j.hedged {
		return
	}
	m.scheduleAfter(hedgeCheckInterval, m.ifAttemptCurrent(j, func() {
		if !j.FirstToken.IsZero() {
			return
		}
		slots := e.slots(len(m.entries))
		v := e.retry.Slow(m.now, retry.SlowAttempt{
			Call: retryCall(j), Waited: m.now.Sub(j.Started), Usual: e.usualFirstToken(),
			Load: 1 - float64(slots.Free-slots.Taken)/float64(max(1, slots.Total)),
		})
		if !v.Go || !e.retry.Repeat(m.now, retryCall(j)).Go {
			m.scheduleHedgeCheck(e, j)
			return
		}
		m.hedges++
		j.hedged = true
		m.tryHedge(e, j)
	}))
}

// tryHedge moves the job to another server if its first token comes earlier
// there.
func (m *model) tryHedge(e *entry, j *Job) {
	other, ok := e.router.Route(m.now, j, e.view, []int{j.Server})
	if !ok {
		return
	}
	b := m.servers[other]
	firstToken := m.now.Add(b.prefill(j.PromptTokens) + b.tokenInterval())
	full := len(b.running) >= b.fleet.Slots
	if full || (!j.firstTokenDue.IsZero() && !firstToken.Before(j.firstTokenDue)) {
		return
	}
	server := j.Server
	m.removeFromServer(j, true)
	m.send(e, j, []int{server})
}

// usualFirstTokenSamples is the number of recent first tokens of which
// usualFirstToken takes the 95th percentile.
const usualFirstTokenSamples = 200

// usualFirstToken returns the 95th percentile of the recent delays from start to
// first token, or an hour (which prevents hedging) while there are too few.
func (e *entry) usualFirstToken() time.Duration {
	recent := e.firstTokenDelays[max(0, len(e.firstTokenDelays)-usualFirstTokenSamples):]
	if len(recent) < usualFirstTokenSamples/10 {
		return time.Hour
	}
	return percentile(slices.Clone(recent), 95)
}
