package policytest

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
)

// fifo serves in order of arrival. Unless dropExpired, it also starts what
// nobody waits for any more.
type fifo struct {
	dropExpired bool
	jobs        []*Job
	tokens      int64
	looked      time.Time // when expired jobs were last looked for
}

// expireEvery is how often a fifo looks for expired jobs.
const expireEvery = 100 * time.Millisecond

// FIFO is a Line that serves in order of arrival and has no bound.
func FIFO(*Scenario) Line { return &fifo{} }

// FIFOWithExpiry is FIFO that drops jobs whose callers have left.
func FIFOWithExpiry(*Scenario) Line { return &fifo{dropExpired: true} }

func (l *fifo) Push(_ time.Time, j *Job) []*Job {
	l.tokens += j.Estimate
	if j.resumed {
		l.jobs = slices.Insert(l.jobs, 0, j)
		return nil
	}
	l.jobs = append(l.jobs, j)
	return nil
}

func (l *fifo) Next(_ time.Time, slots queue.Slots) *Job {
	if slots.Free <= slots.Taken || len(l.jobs) == 0 {
		return nil
	}
	j := l.jobs[0]
	l.jobs = l.jobs[1:]
	l.tokens -= j.Estimate
	return j
}

func (l *fifo) Expired(now time.Time) []*Job {
	if !l.dropExpired || now.Sub(l.looked) < expireEvery {
		return nil
	}
	l.looked = now
	var out []*Job
	l.jobs = slices.DeleteFunc(l.jobs, func(j *Job) bool {
		if now.Before(j.Deadline) {
			return false
		}
		out = append(out, j)
		l.tokens -= j.Estimate
		return true
	})
	return out
}

func (l *fifo) Ended(time.Time, *Job, int64) {}

func (l *fifo) Backlog(_ time.Time, _ *Job, slots queue.Slots) queue.Backlog {
	return queue.Backlog{Ahead: l.tokens, Total: l.tokens, Share: 1, Starts: slots.Free > slots.Taken && len(l.jobs) == 0}
}

func (l *fifo) Held(string) int { return 0 }

func (l *fifo) Elsewhere(string, int) {}

func (l *fifo) Len() int { return len(l.jobs) }

// openGate admits everything.
type openGate struct{}

// Open is a Gate without limits.
func Open(*Scenario) Gate { return openGate{} }

func (openGate) Admit(time.Time, *Job, queue.Backlog) (bool, time.Duration) { return true, 0 }
func (openGate) Full(time.Time, bool)                                       {}
func (openGate) FirstToken(time.Time, *Job)                                 {}
func (openGate) Done(time.Time, *Job, int64)                                {}

// silentRouter ignores all but Route.
type silentRouter struct{}

func (silentRouter) Started(time.Time, *Job, int)               {}
func (silentRouter) FirstToken(time.Time, *Job, int)            {}
func (silentRouter) Ended(time.Time, *Job, int, bool)           {}
func (silentRouter) Report(time.Time, time.Time, []View)        {}
func (silentRouter) Cached(time.Time, int, int, int, int, bool) {}

// roundRobin takes the servers in turn.
type roundRobin struct {
	silentRouter
	next int
}

// RoundRobin is a Router that takes the servers in turn.
func RoundRobin(_ *Scenario, entry int) Router { return &roundRobin{next: entry} }

func (r *roundRobin) Route(_ time.Time, _ *Job, view []View, tried []int) (int, bool) {
	for range view {
		r.next = (r.next + 1) % len(view)
		if view[r.next].Alive && !slices.Contains(tried, r.next) {
			return r.next, true
		}
	}
	return 0, false
}

// leastLoad takes the server with the least load by one measure of it; ties
// are broken at random.
type leastLoad struct {
	silentRouter
	load func(View) int
	rng  *rand.Rand
}

// LeastReported is a Router by the load that servers have reported.
func LeastReported(_ *Scenario, entry int) Router {
	return &leastLoad{load: func(v View) int { return v.Reported }, rng: routerRand(entry)}
}

// LeastBelieved is a Router by the reported load, corrected by the entry's own
// starts and ends since, that prefers servers of which the entry has a free
// slot.
func LeastBelieved(_ *Scenario, entry int) Router {
	return &leastLoad{load: believed, rng: routerRand(entry)}
}

func believed(v View) int {
	if v.Free > 0 && v.Believed < v.Slots {
		return v.Believed - noSlot
	}
	return v.Believed
}

// noSlot is more than any load.
const noSlot = 1 << 20

func routerRand(entry int) *rand.Rand { return rand.New(rand.NewPCG(uint64(entry), 77)) }

func (r *leastLoad) Route(_ time.Time, _ *Job, view []View, tried []int) (int, bool) {
	best, ties := -1, 0
	for i, v := range view {
		switch {
		case !v.Alive || slices.Contains(tried, i):
		case best < 0 || r.load(v) < r.load(view[best]):
			best, ties = i, 1
		case r.load(v) == r.load(view[best]):
			ties++
			if r.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}
