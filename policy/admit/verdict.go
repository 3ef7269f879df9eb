package admit

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Request is what a decision is made from.
type Request struct {
	Workspace        string
	Class            contract.Class
	Cost             int64         // estimated work in tokens, prompt and answer
	AnswerTokens     int64         // estimated tokens of the answer; 0: not known
	Deadline         time.Time     // zero: none
	FirstTokenTarget time.Duration // the service's target for the first token; 0: none
	Estimate         Estimate      // from Drain.Estimate of the queue that it would join
}

// Reason says why a request was admitted or refused.
type Reason uint8

// The reasons of a Verdict.
const (
	Admitted         Reason = iota
	DeadlinePassed          // nobody waits for the answer any more
	DeadlineTooNear         // the answer would come after the deadline
	TargetMissed            // the queue has stood above the first-token target; it would come later than that
	WaitTooLong             // it would wait longer than its class may
	RequestRateLimit        // the workspace's requests a second, or this entry's part of them, are used up
	ConcurrencyLimit        // the same for requests at a time
	TokenRateLimit          // the same for tokens a second
	NoLease                 // the workspace has limits and this entry holds neither a lease nor a floor
)

var reasonNames = [...]string{
	Admitted:         "admitted",
	DeadlinePassed:   "deadline_passed",
	DeadlineTooNear:  "deadline_too_near",
	TargetMissed:     "target_missed",
	WaitTooLong:      "wait_too_long",
	RequestRateLimit: "request_rate_limit",
	ConcurrencyLimit: "concurrency_limit",
	TokenRateLimit:   "token_rate_limit",
	NoLease:          "no_lease",
}

// String returns the reason as it stands in logs and in problem documents.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// IsLimit reports whether the reason lies in the workspace's own limits rather
// than in the load of the system: HTTP status 429 rather than 503.
func (r Reason) IsLimit() bool {
	return r == RequestRateLimit || r == ConcurrencyLimit || r == TokenRateLimit || r == NoLease
}

// Verdict is the decision on one request. A refused request has not run; its
// caller is told so at once and asked to come back after RetryAfter.
type Verdict struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // whole seconds, at least one; 0 if admitted
}
