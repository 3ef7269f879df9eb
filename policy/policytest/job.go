package policytest

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Job is one request on its way through the model.
type Job struct {
	ID            int
	Source        *Source
	Entry         int
	Caller        int
	PromptTokens  int   // tokens
	AnswerTokens  int   // tokens; the policies do not know it
	Prefix        int   // which of the source's shared prefixes; -1: none
	EstimatedWork int64 // work in tokens that the policies are told

	Arrived  time.Time
	Deadline time.Time // the caller leaves then

	Outcome          Outcome
	Server           int // that runs or ran it
	Attempts         int
	ProducedTokens   int // tokens that an attempt cut off by a reclaim had produced
	Started          time.Time
	FirstToken       time.Time // first token at the caller
	Ended            time.Time
	TokenInterval    time.Duration // mean between tokens
	LongestPause     time.Duration // longest pause in the stream, by a resume
	CachedTokens     int           // prompt tokens that came from a prefix cache
	RecomputedTokens int           // tokens prefilled that had been computed before

	sourceNumber int

	attemptNumber     int   // events of earlier attempts are void
	resumed           bool  // it has been started before
	tried             []int // servers that failed it
	hedged            bool
	attemptFirstToken time.Time // first token of this attempt; zero: none yet
	firstTokenDue     time.Time // when this attempt's first token comes; zero: it waits at its server
	lastToken         time.Time // last token of an attempt that was cut off
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
func (j *Job) MetTargets() bool {
	if j.Outcome != Answered {
		return false
	}
	if j.Source.FirstTokenTarget == 0 {
		return true
	}
	return j.FirstToken.Sub(j.Arrived) <= j.Source.FirstTokenTarget && max(j.TokenInterval, j.LongestPause) <= j.Source.TokenIntervalTarget
}
