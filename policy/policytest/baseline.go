package policytest

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
)

// fifo is a JobQueue in order of arrival. Unless dropExpired is set, it also
// starts jobs whose callers have left.
type fifo struct {
	dropExpired bool
	jobs        []*Job
	tokens      int64     // estimated work of jobs
	lastExpiry  time.Time // last check for expired jobs
}

// expireInterval is the minimum time between two checks of a fifo for expired
// jobs.
const expireInterval = 100 * time.Millisecond

// FIFO returns an unbounded JobQueue in order of arrival that never drops a job.
func FIFO(*Scenario) JobQueue { return &fifo{} }

// FIFOWithExpiry returns a FIFO that drops jobs whose callers have left.
func FIFOWithExpiry(*Scenario) JobQueue { return &fifo{dropExpired: true} }

func (q *fifo) Push(_ time.Time, j *Job) []*Job {
	q.tokens += j.EstimatedWork
	if j.resumed {
		q.jobs = slices.Insert(q.jobs, 0, j)
		return nil
	}
	q.jobs = append(q.jobs, j)
	return nil
}

func (q *fifo) Next(_ time.Time, slots queue.Slots) *Job {
	if slots.Free <= slots.Taken || len(q.jobs) == 0 {
		return nil
	}
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	q.tokens -= j.EstimatedWork
	return j
}

func (q *fifo) Expired(now time.Time) []*Job {
	if !q.dropExpired || now.Sub(q.lastExpiry) < expireInterval {
		return nil
	}
	q.lastExpiry = now
	var out []*Job
	q.jobs = slices.DeleteFunc(q.jobs, func(j *Job) bool {
		if now.Before(j.Deadline) {
			return false
		}
		out = append(out, j)
		q.tokens -= j.EstimatedWork
		return true
	})
	return out
}

func (q *fifo) Ended(time.Time, *Job, int64) {}

func (q *fifo) Backlog(_ time.Time, _ *Job, slots queue.Slots) queue.Backlog {
	return queue.Backlog{Ahead: q.tokens, Total: q.tokens, Share: 1, Starts: slots.Free > slots.Taken && len(q.jobs) == 0}
}

func (q *fifo) SlotsHeld(string) int { return 0 }

func (q *fifo) SetRemoteSlots(string, int) {}

func (q *fifo) Len() int { return len(q.jobs) }

// admitAll is an Admitter that admits every job.
type admitAll struct{}

// AdmitAll returns an Admitter without limits.
func AdmitAll(*Scenario) Admitter { return admitAll{} }

func (admitAll) Admit(time.Time, *Job, queue.Backlog) (bool, time.Duration) { return true, 0 }
func (admitAll) SetFull(time.Time, bool)                                    {}
func (admitAll) FirstToken(time.Time, *Job)                                 {}
func (admitAll) Done(time.Time, *Job, int64)                                {}

// noopRouterEvents implements the methods of Router other than Route and
// ignores their events.
type noopRouterEvents struct{}

func (noopRouterEvents) Started(time.Time, *Job, int)                     {}
func (noopRouterEvents) FirstToken(time.Time, *Job, int)                  {}
func (noopRouterEvents) Ended(time.Time, *Job, int, bool)                 {}
func (noopRouterEvents) ObserveLoad(time.Time, time.Time, []ServerView)   {}
func (noopRouterEvents) ObserveCache(time.Time, int, int, int, int, bool) {}

// roundRobin is a Router that cycles through the servers.
type roundRobin struct {
	noopRouterEvents
	next int
}

// RoundRobin returns a Router that cycles through the servers, starting at a
// different one for each entry.
func RoundRobin(_ *Scenario, entry int) Router { return &roundRobin{next: entry} }

func (r *roundRobin) Route(_ time.Time, _ *Job, view []ServerView, tried []int) (int, bool) {
	for range view {
		r.next = (r.next + 1) % len(view)
		if view[r.next].Alive && !slices.Contains(tried, r.next) {
			return r.next, true
		}
	}
	return 0, false
}

// leastLoad is a Router that chooses the server with the smallest load and
// breaks ties at random.
type leastLoad struct {
	noopRouterEvents
	load func(ServerView) int
	rng  *rand.Rand
}

// LeastReportedLoad returns a Router by ServerView.ReportedLoad.
func LeastReportedLoad(_ *Scenario, entry int) Router {
	return &leastLoad{load: func(v ServerView) int { return v.ReportedLoad }, rng: routerRand(entry)}
}

// LeastEstimatedLoad returns a Router by ServerView.EstimatedLoad that prefers
// servers with a free slot assigned to the entry.
func LeastEstimatedLoad(_ *Scenario, entry int) Router {
	return &leastLoad{load: estimatedLoad, rng: routerRand(entry)}
}

// estimatedLoad returns v.EstimatedLoad, lowered by freeSlotPreference if the
// entry has a free slot there.
func estimatedLoad(v ServerView) int {
	if v.Assigned > 0 && v.EstimatedLoad < v.Slots {
		return v.EstimatedLoad - freeSlotPreference
	}
	return v.EstimatedLoad
}

// freeSlotPreference exceeds every load, so that any server with a free slot
// comes before all others.
const freeSlotPreference = 1 << 20

func routerRand(entry int) *rand.Rand { return rand.New(rand.NewPCG(uint64(entry), 77)) }

func (r *leastLoad) Route(_ time.Time, _ *Job, view []ServerView, tried []int) (int, bool) {
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
