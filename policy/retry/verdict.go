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
	EstimatedDuration time.Duration // from the start of an attempt to its complete answer
}

// Failure is one failed attempt.
type Failure struct {
	Call     Call
	Attempts int  // attempts of the request, this one included
	NotRun   bool // it certainly did not run: nothing was sent, or the server refused it

	// Reclaimed says that the backend server left or was reclaimed. The request continues
	// on another one.
	Reclaimed bool
}

// SlowAttempt is an attempt whose first token has not arrived.
type SlowAttempt struct {
	Call   Call
	Hedged bool          // it was hedged already
	Waited time.Duration // since its start
	Usual  time.Duration // estimated p95 of the time to the first token
	Load   float64       // fraction of all slots in use, 0..1
}

// Reason is why an attempt is retried or hedged, or is not.
type Reason uint8

// The reasons of a Verdict.
const (
	Retry           Reason = iota // at once
	RetryLater                    // after the wait in Verdict.After
	GoOn                          // its server was reclaimed: continue on another one at once
	Hedge                         // start a second attempt now
	MayHaveRun                    // not idempotent, and may have run: the outcome is unknown
	NotIdempotent                 // not idempotent, and still running
	TooManyAttempts               // MaxAttempts is used up
	NoTimeLeft                    // the answer would miss the deadline
	WorkspaceBudget               // the workspace's budget is used up
	ServiceBudget                 // the service's budget is used up
	ClassNotHedged                // only interactive requests are hedged
	AlreadyHedged
	TooEarly    // Verdict.After is the time until the next check
	LoadTooHigh // see Config.MaxHedgeLoad
	Wave        // nothing is hedged while many servers fail
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

// String returns the reason as logs have it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// NoRoom reports that a budget is used up, which time mends.
func (r Reason) NoRoom() bool { return r == WorkspaceBudget || r == ServiceBudget }

// Verdict is the decision on one attempt. If Go is false, a failed attempt's error is the
// request's answer, and a slow one goes on without a hedge.
type Verdict struct {
	Go     bool
	Reason Reason
	After  time.Duration // wait before the next attempt
}
