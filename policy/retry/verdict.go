package retry

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Call is the request that an attempt belongs to.
type Call struct {
	Workspace         string
	Service           string
	Class             contract.Class
	Idempotent        bool
	Deadline          time.Time     // zero: none
	EstimatedDuration time.Duration // estimated time from a start to the whole answer
}

// Failure is one failed attempt.
type Failure struct {
	Call     Call
	Attempts int  // so far, this one included
	NotRun   bool // it surely did not run: nothing was written, or the server refused it first

	// Reclaimed says that the backend server left or was reclaimed. The
	// request goes on elsewhere.
	Reclaimed bool
}

// SlowAttempt is an attempt whose first token has not come.
type SlowAttempt struct {
	Call   Call
	Hedged bool          // it has been doubled before
	Waited time.Duration // since its start
	Usual  time.Duration // p95 of the time to the first token, as learnt
	Load   float64       // part of all slots in use, 0..1
}

// Reason says why an attempt is repeated or not.
type Reason uint8

// The reasons of a Verdict.
const (
	Retry           Reason = iota // at once
	RetryLater                    // after the wait in Verdict.After
	GoOn                          // its server was reclaimed: go on elsewhere at once, at no cost to a budget
	Hedge                         // double it now
	MayHaveRun                    // it is not idempotent and may have run: the outcome is unknown
	NotIdempotent                 // it is not idempotent and still runs
	TooManyAttempts               // MaxAttempts is used up
	NoTimeLeft                    // the answer would come after the deadline
	WorkspaceBudget               // the workspace's budget is used up
	ServiceBudget                 // the service's budget is used up
	ClassNotHedged                // only interactive requests are
	AlreadyHedged
	TooEarly    // a first token may still come within the usual time
	LoadTooHigh // see Config.MaxHedgeLoad
	Wave        // many servers fail at once: nothing is hedged
)

var reasonNames = [...]string{
	Retry:           "retry",
	RetryLater:      "retry_later",
	GoOn:            "go_on",
	Hedge:           "hedge",
	MayHaveRun:      "may_have_run",
	NotIdempotent:   "not_idempotent",
	TooManyAttempts: "too_many_attempts",
	NoTimeLeft:      "no_time_left",
	WorkspaceBudget: "workspace_budget",
	ServiceBudget:   "service_budget",
	ClassNotHedged:  "class_not_hedged",
	AlreadyHedged:   "already_hedged",
	TooEarly:        "too_early",
	LoadTooHigh:     "load_too_high",
	Wave:            "wave",
}

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Verdict is the decision on one attempt. If Go is false the request gets its
// final answer at once.
type Verdict struct {
	Go     bool
	Reason Reason
	After  time.Duration // wait before the next attempt
}
