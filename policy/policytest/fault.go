package policytest

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy/retry"
)

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

// reclaim takes a server away. Entries know at once, and what ran there goes on
// elsewhere from the tokens so far.
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

// lost lets a job go on whose server is gone.
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

// again puts a started job back into its entry's line, ahead of those that have
// not started.
func (m *model) requeue(e *entry, j *Job) {
	e.queue.Ended(m.now, j, j.EstimatedWork)
	j.attemptNumber++
	j.resumed = true
	j.Server = -1
	m.push(e, j)
	m.dispatch(e)
}

func (m *model) endFailed(j *Job) {
	e := m.entries[j.Entry]
	e.queue.Ended(m.now, j, 0)
	e.admitter.Done(m.now, j, 0)
	m.end(j, Failed)
}

// serverName is two letters, so that numbers and names convert without a table.
func serverName(i int) string { return string(rune('A'+i/26)) + string(rune('a'+i%26)) }

func serverNumber(name string) int { return int(name[0]-'A')*26 + int(name[1]-'a') }

// failed is an attempt that ended in an error before its first token.
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
	if !v.Go {
		m.endFailed(j)
		return
	}
	m.retries++
	j.tried = append(j.tried, server)
	m.scheduleAfter(v.After, m.ifAttemptCurrent(j, func() { m.requeue(e, j) }))
}

// watch hedges an attempt whose first token does not come. The model knows which
// of the two attempts wins and runs only that one: a hedge that loses costs
// nothing here, and one that wins leaves the first server at once.
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
		if !v.Go {
			m.scheduleHedgeCheck(e, j)
			return
		}
		m.hedges++
		j.hedged = true
		m.tryHedge(e, j)
	}))
}

// hedge moves the job if another server answers first.
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

// usualSamples is how many first tokens the learnt p95 looks back on.
const usualFirstTokenSamples = 200

func (e *entry) usualFirstToken() time.Duration {
	recent := e.firstTokenDelays[max(0, len(e.firstTokenDelays)-usualFirstTokenSamples):]
	if len(recent) < usualFirstTokenSamples/10 {
		return time.Hour
	}
	return percentile(slices.Clone(recent), 95)
}
