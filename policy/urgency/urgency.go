// Package urgency decides the priority of a request at its backend server, by whether
// its first token can still meet the objective.
//
// Load pattern: a few seconds of overload, as when servers of a zone are lost during a
// surge. Without this package the server prefills requests that will be late anyway before
// those that could still meet their objective, which become late as well: at 1.5 times the
// capacity nearly all answers are late, though two of three could meet the objective.
//
// A request that cannot meet its objective is not rejected: it is served after all those
// that can, in the order of rank among other late ones. Prompts whose prefill alone exceeds
// the objective keep their rank.
//
// The package does no I/O and reads no clock.
package urgency

import "time"

// Request is the input of Decide.
type Request struct {
	Rank         int // of its workspace or route; 0 is the most urgent
	Objective    time.Duration
	Waited       time.Duration // since it arrived
	ExpectedWait time.Duration // from now until its first token, at the chosen server
	PrefillTime  time.Duration // of ExpectedWait, the prefill of its own prompt
	Retried      bool          // its objective has passed since its caller's first attempt
}

// Reason is why a request gets its rank.
type Reason uint8

// Reasons of a decision.
const (
	InTime        Reason = iota // it can meet its objective
	Late                        // it cannot, because of the requests before it
	CallerRetried               // it cannot, since an earlier attempt of its caller was rejected
	LargePrompt                 // it never could: the prefill takes longer than its objective
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{"in_time", "late", "came_back", "large_prompt"}[r]
}

// Urgent reports whether the request keeps its rank, before those that are late.
func (r Reason) Urgent() bool { return r == InTime || r == LargePrompt }

// lateRankOffset is added to the rank of a late request. It exceeds every rank in use, so
// that late requests come after all others.
const lateRankOffset = 5

// Decide returns the rank to send to the server, 0 being the most urgent, and the reason.
func Decide(r Request) (rank int, reason Reason) {
	switch {
	case r.Retried:
		return r.Rank + lateRankOffset, CallerRetried
	case r.Objective <= 0 || r.Waited+r.ExpectedWait <= r.Objective:
		return r.Rank, InTime
	case r.PrefillTime > r.Objective:
		// With the offset, the largest prompts would never be served during an overload.
		return r.Rank, LargePrompt
	default:
		return r.Rank + lateRankOffset, Late
	}
}
