package policytest

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Job is one request on its way through the model.
type Job struct {
	ID       int
	Source   *Source
	Entry    int
	Caller   int
	Prompt   int   // tokens
	Answer   int   // tokens; the policies do not know it
	Prefix   int   // which of the source's shared prefixes; -1: none
	Estimate int64 // work in tokens that the policies are told

	Arrived  time.Time
	Deadline time.Time // the caller leaves then

	Outcome   Outcome
	Server    int // that runs or ran it
	Attempts  int
	Produced  int // tokens that an attempt cut off by a reclaim had produced
	Started   time.Time
	First     time.Time // first token at the caller
	Ended     time.Time
	Gap       time.Duration // mean between tokens
	LongGap   time.Duration // longest pause in the stream, by a resume
	Cached    int           // prompt tokens that came from a prefix cache
	Recompute int           // tokens prefilled that had been computed before

	sourceNumber int

	attempt   int   // events of earlier attempts are void
	resumed   bool  // it has been started before
	tried     []int // servers that failed it
	hedged    bool
	streaming time.Time // first token of this attempt; zero: none yet
	due       time.Time // when this attempt's first token comes; zero: it waits at its server
	lastOut   time.Time // last token of an attempt that was cut off
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes.
const (
	Pending  Outcome = iota
	Answered         // in full
	Refused          // at once, by admission
	Evicted          // from the queue, for another
	Expired          // left the queue when its caller had left
	Late             // its caller left while it ran
	Failed           // its attempts failed
)

// Class returns the job's class.
func (j *Job) Class() contract.Class { return j.Source.Class }

// Met reports whether the caller got the whole answer within the targets.
func (j *Job) Met() bool {
	if j.Outcome != Answered {
		return false
	}
	if j.Source.Target == 0 {
		return true
	}
	return j.First.Sub(j.Arrived) <= j.Source.Target && max(j.Gap, j.LongGap) <= j.Source.GapTarget
}
