package policytest

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Job is one request in the model.
type Job struct {
	ID            int
	Source        *Source
	Entry         int
	Caller        int
	PromptTokens  int
	AnswerTokens  int   // hidden from the policies
	Prefix        int   // index among the source's shared prefixes; -1: none
	EstimatedWork int64 // in the unit of Fleet.work; what the policies get

	Arrived  time.Time
	Deadline time.Time // when the caller leaves

	Outcome          Outcome
	Server           int // runs the job or was the last to do so; -1: none
	Attempts         int
	ProducedTokens   int       // answer tokens of attempts that a reclaim interrupted
	Started          time.Time // of the last attempt
	FirstToken       time.Time // of the job, at the caller
	Ended            time.Time
	TokenInterval    time.Duration // of the last attempt that streamed
	LongestPause     time.Duration // between tokens, caused by a resumed attempt
	CachedTokens     int           // prompt tokens found in the last server's prefix cache
	RecomputedTokens int           // prefilled tokens that a server had computed before

	sourceNumber int

	attemptNumber     int   // changes with each attempt; see model.ifAttemptCurrent
	resumed           bool  // has been started before
	tried             []int // servers that failed the job
	hedged            bool
	attemptFirstToken time.Time // zero: none yet
	firstTokenDue     time.Time // of this attempt; zero: it waits for a slot of the server
	lastToken         time.Time // of the attempt that a reclaim interrupted
}

// Outcome is how a job ended.
type Outcome uint8

// Outcomes of a job.
const (
	Pending  Outcome = iota
	Answered         // the caller received the whole answer
	Refused          // on arrival, by the Admitter
	Evicted          // from the queue, to make room for another job
	Expired          // removed from the queue after its deadline
	Late             // the deadline passed while it ran
	Failed           // no server was available, or its attempts failed
)

// Class returns the job's class.
func (j *Job) Class() contract.Class { return j.Source.Class }

// MetTargets reports whether the caller received the whole answer within the
// source's targets. A source without a first-token target has none to miss.
func (j *Job) MetTargets() bool {
	if j.Outcome != Answered {
		return false
	}
	if j.Source.FirstTokenTarget == 0 {
		return true
	}
	return j.FirstToken.Sub(j.Arrived) <= j.Source.FirstTokenTarget && max(j.TokenInterval, j.LongestPause) <= j.Source.TokenIntervalTarget
}
