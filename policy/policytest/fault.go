package policytest

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy/retry"
)

func (m *model) fault(f *Fault, on bool) {
	for _, i := range f.Servers {
		b := m.servers[i]
		switch f.Kind {
		case SlowServer:
			b.slow = 1
			if on {
				b.slow = f.Factor
			}
		case FailingServer:
			b.failing = on
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
		m.lost(j)
	}
}

// lost lets a job go on whose server is gone.
func (m *model) lost(j *Job) {
	e := m.entries[j.Entry]
	if !j.streaming.IsZero() {
		since := m.now.Sub(j.streaming)
		j.Produced = min(j.Answer-1, j.Produced+int(since/j.Gap)+1)
		j.lastOut = m.now
	}
	e.changed(m.now, j.Server, -1)
	e.router.Ended(m.now, j, j.Server, true)
	m.again(e, j)
}

// again puts a started job back into its entry's line, ahead of those that have
// not started.
func (m *model) again(e *entry, j *Job) {
	e.line.Ended(m.now, j, j.Estimate)
	j.attempt++
	j.resumed = true
	j.Server = -1
	m.push(e, j)
	m.dispatch(e)
}

func (m *model) fail(j *Job) {
	e := m.entries[j.Entry]
	e.line.Ended(m.now, j, 0)
	e.gate.Done(m.now, j, 0)
	m.end(j, Failed)
}

// serverName is two letters, so that numbers and names convert without a table.
func serverName(i int) string { return string(rune('A'+i/26)) + string(rune('a'+i%26)) }

func serverNumber(name string) int { return int(name[0]-'A')*26 + int(name[1]-'a') }

// failed is an attempt that ended in an error before its first token.
func (m *model) failed(j *Job) {
	e, server := m.entries[j.Entry], j.Server
	m.vacate(j, true)
	if e.retry == nil {
		m.fail(j)
		return
	}
	e.retry.ServerFailed(m.now, serverName(server))
	c := call(j)
	if m.set.OneClass {
		c.Class = contract.ClassStandard
	}
	v := e.retry.Failed(m.now, retry.Failure{Call: c, Attempts: j.Attempts, NotRun: true}, m.rng.Float64())
	if !v.Go {
		m.fail(j)
		return
	}
	m.retries++
	j.tried = append(j.tried, server)
	m.after(v.After, m.guard(j, func() { m.again(e, j) }))
}

// watch hedges an attempt whose first token does not come. The model knows which
// of the two attempts wins and runs only that one: a hedge that loses costs
// nothing here, and one that wins leaves the first server at once.
func (m *model) watch(e *entry, j *Job) {
	if !m.set.Hedge || e.retry == nil || j.hedged {
		return
	}
	m.after(hedgeCheck, m.guard(j, func() {
		if !j.First.IsZero() {
			return
		}
		slots := e.slots(len(m.entries))
		v := e.retry.Slow(m.now, retry.Slowness{
			Call: call(j), Waited: m.now.Sub(j.Started), Usual: e.usualFirst(),
			Load: 1 - float64(slots.Free-slots.Taken)/float64(max(1, slots.Total)),
		})
		if !v.Go {
			m.watch(e, j)
			return
		}
		m.hedges++
		j.hedged = true
		m.hedge(e, j)
	}))
}

// hedge moves the job if another server answers first.
func (m *model) hedge(e *entry, j *Job) {
	other, ok := e.router.Route(m.now, j, e.view, []int{j.Server})
	if !ok {
		return
	}
	b := m.servers[other]
	first := m.now.Add(b.prefill(j.Prompt) + b.gap())
	full := len(b.running) >= b.fleet.Slots
	if full || (!j.due.IsZero() && !first.Before(j.due)) {
		return
	}
	server := j.Server
	m.vacate(j, true)
	m.send(e, j, []int{server})
}

// usualSamples is how many first tokens the learnt p95 looks back on.
const usualSamples = 200

func (e *entry) usualFirst() time.Duration {
	recent := e.firsts[max(0, len(e.firsts)-usualSamples):]
	if len(recent) < usualSamples/10 {
		return time.Hour
	}
	return percentile(slices.Clone(recent), 95)
}
