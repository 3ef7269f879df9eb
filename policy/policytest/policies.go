package policytest

import (
	"time"

	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/retry"
)

// Set is the policies of one entry, made anew for each entry and run.
type PolicySet struct {
	Name     string
	JobQueue func(*Scenario) JobQueue
	Admitter func(*Scenario) Admitter
	Router   func(s *Scenario, entry int) Router
	Retry    func() *retry.Policy // nil: nothing is retried but what was reclaimed
	Hedge    bool

	// OneClass has retries decided as if all jobs were of class standard.
	OneRetryClass bool

	// ComeBack has refused callers come back when they were told to, as long as
	// their patience lasts. RetryAfter, if set, is what all are told.
	CallersRetry    bool
	FixedRetryAfter time.Duration

	// Exchange, if set, is called once a second with all gates, as the control
	// leader meets the entries.
	Exchange func(now time.Time, admitters []Admitter)
}

// Line is where admitted jobs wait.
type JobQueue interface {
	// Push adds a job. evicted have left to make room; the job itself may be
	// among them.
	Push(now time.Time, j *Job) (evicted []*Job)
	// Next takes out a job that may start now, or nil.
	Next(now time.Time, slots queue.Slots) *Job
	// Expired takes out the jobs whose callers have left.
	Expired(now time.Time) []*Job
	// Ended notes that a started job has given its slot back; work is what it
	// took, in the unit of Job.Estimate.
	Ended(now time.Time, j *Job, work int64)
	// Backlog is what j would wait behind.
	Backlog(now time.Time, j *Job, slots queue.Slots) queue.Backlog
	// Held returns the slots held for a workspace, and Elsewhere tells what the
	// other entries hold.
	SlotsHeld(workspace string) int
	SetRemoteSlots(workspace string, slots int)
	Len() int
}

// Gate admits jobs.
type Admitter interface {
	// Admit admits j, or says after what time to come back.
	Admit(now time.Time, j *Job, backlog queue.Backlog) (ok bool, retryAfter time.Duration)
	SetFull(now time.Time, full bool) // whether a job that came now would have to wait
	FirstToken(now time.Time, j *Job)
	Done(now time.Time, j *Job, work int64) // also of a job that left without running
}

// View is what an entry believes of a backend server.
type ServerView struct {
	Alive         bool
	Zone          int
	Slots         int
	ReportedLoad  int // running and waiting, as last reported
	EstimatedLoad int // Reported, corrected by own starts and ends since
	Assigned      int // the entry's part of the slots that are free
}

// Router chooses a backend server.
type Router interface {
	// Route returns the server to use; ok is false if there is none. tried are
	// servers not to use.
	Route(now time.Time, j *Job, view []ServerView, tried []int) (server int, ok bool)
	Started(now time.Time, j *Job, server int)
	FirstToken(now time.Time, j *Job, server int)
	Ended(now time.Time, j *Job, server int, failed bool)
	ObserveLoad(now, at time.Time, view []ServerView)
	ObserveCache(now time.Time, server, source, prefix, tokens int, stored bool)
}
