package policytest

import (
	"time"

	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/retry"
)

// PolicySet holds the constructors of the policies under test, which Run calls
// once per entry. Exchange may hold state, so each run needs a new PolicySet.
type PolicySet struct {
	Name     string
	JobQueue func(*Scenario) JobQueue
	Admitter func(*Scenario) Admitter
	Router   func(s *Scenario, entry int) Router
	Retry    func() *retry.Policy // nil: retries only jobs of reclaimed servers
	Hedge    bool

	// OneRetryClass decides retries as if all jobs were of class standard.
	OneRetryClass bool

	// CallersRetry makes refused callers retry after the delay they were given,
	// until their deadline. FixedRetryAfter, if positive, replaces that delay.
	CallersRetry    bool
	FixedRetryAfter time.Duration

	// Exchange, if set, is called once a second with the entries' admitters. It
	// stands for the exchange between the entries and the control leader.
	Exchange func(now time.Time, admitters []Admitter)
}

// JobQueue holds the admitted jobs of one entry until they start.
type JobQueue interface {
	// Push adds a job. It returns the jobs evicted to make room, which may include
	// j.
	Push(now time.Time, j *Job) (evicted []*Job)
	// Next removes and returns a job that may start now, or returns nil.
	Next(now time.Time, slots queue.Slots) *Job
	// Expired removes and returns jobs whose callers have left.
	Expired(now time.Time) []*Job
	// Ended records that a started job has freed its slot; work is the work it
	// took, in the unit of Job.EstimatedWork.
	Ended(now time.Time, j *Job, work int64)
	// Backlog returns the queued work that j would wait for.
	Backlog(now time.Time, j *Job, slots queue.Slots) queue.Backlog
	// SlotsHeld returns the slots that the workspace's jobs hold through this
	// entry, and SetRemoteSlots sets those they hold through the other entries.
	SlotsHeld(workspace string) int
	SetRemoteSlots(workspace string, slots int)
	Len() int
}

// Admitter decides which jobs an entry admits.
type Admitter interface {
	// Admit reports whether j is admitted, and if not, after what delay the caller
	// may retry.
	Admit(now time.Time, j *Job, backlog queue.Backlog) (ok bool, retryAfter time.Duration)
	SetFull(now time.Time, full bool) // full: a job that arrived now would have to wait
	FirstToken(now time.Time, j *Job)
	Done(now time.Time, j *Job, work int64) // work is 0 if the job did not run
}

// ServerView is an entry's view of one backend server.
type ServerView struct {
	Alive         bool
	Zone          int
	Slots         int
	ReportedLoad  int // jobs running and waiting, as last reported
	EstimatedLoad int // ReportedLoad plus the entry's own starts minus its ends since
	Assigned      int // free slots assigned to this entry, less its own starts since
}

// Router chooses a backend server.
type Router interface {
	// Route returns the index of the server to use, which is none of tried; ok is
	// false if there is no such server.
	Route(now time.Time, j *Job, view []ServerView, tried []int) (server int, ok bool)
	Started(now time.Time, j *Job, server int)
	FirstToken(now time.Time, j *Job, server int)
	Ended(now time.Time, j *Job, server int, failed bool)
	// ObserveLoad receives a load report that was taken at at.
	ObserveLoad(now, at time.Time, view []ServerView)
	// ObserveCache receives a change of a server's prefix cache: the prefix of a
	// source was stored or evicted.
	ObserveCache(now time.Time, server, source, prefix, tokens int, stored bool)
}
