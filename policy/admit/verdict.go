package admit

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Request holds what Admitter.Decide needs of a request.
type Request struct {
	Workspace        string
	Class            contract.Class
	Cost             int64         // estimated tokens of prompt and answer
	AnswerTokens     int64         // estimated tokens of the answer; 0 if unknown
	Deadline         time.Time     // zero if none
	FirstTokenTarget time.Duration // the service's target for the time to the first token; 0 if none
	Estimate         Estimate      // from DrainEstimator.Estimate, for the queue that the request would join
}

// Reason is why a request was admitted or refused.
type Reason uint8

// The reasons of a Verdict.
const (
	Admitted         Reason = iota
	DeadlinePassed          // the deadline has passed
	DeadlineTooNear         // the answer would end after the deadline
	TargetMissed            // the first token would come too late for its target
	WaitTooLong             // the estimated wait exceeds the maximum of its class
	RequestRateLimit        // the workspace's requests per second at this entry are used up
	ConcurrencyLimit        // the workspace's concurrent requests at this entry are used up
	TokenRateLimit          // the workspace's tokens per second at this entry are used up
	NoLease                 // the workspace has limits and this entry has neither a lease nor a floor
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

// String returns the name of the reason in logs and problem documents.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// IsLimit reports whether the request was refused because of its workspace's
// limits (HTTP status 429) rather than the load of the system (503).
func (r Reason) IsLimit() bool {
	return r == RequestRateLimit || r == ConcurrencyLimit || r == TokenRateLimit || r == NoLease
}

// Verdict is the decision on one request. A refused request has not run; its
// caller may retry after RetryAfter.
type Verdict struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // whole seconds, at least one; 0 if admitted
}
