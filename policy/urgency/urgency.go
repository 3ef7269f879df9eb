// Package urgency decides how urgent a request is to the server that runs it, given when
// its answer can be expected to begin.
//
// Load pattern answered: for some seconds more is asked than the servers can do, as when
// a zone's servers are taken away in a surge.
//
// Without it a request that will be late anyway is read before one that could still be in
// time, which is late in its turn: in an overload of half as much again nearly all
// answers are late, though the servers could give two of three in time.
//
// A request that cannot be in time any more stays in the order of its rank among its
// like, and behind all that can: it is served in what the servers have left, and not
// refused, since a late answer is of some use to its caller.
//
// The package does no I/O and reads no clock.
package urgency

import "time"

// Request is what the decision knows of a request.
type Request struct {
	Rank        int // by its workspace or route; 0 is the most urgent
	Objective   time.Duration
	Waited      time.Duration // since it came
	Expected    time.Duration // from now until its answer begins, at the chosen server
	PrefillTime time.Duration // of that, what its own prompt takes to be read
	Retried     bool          // its objective has passed since its caller's first try
}

// Reason says why a request has the rank that it has.
type Reason uint8

// The reasons.
const (
	InTime        Reason = iota // it can be in time
	Late                        // it can't, for what is ahead of it
	CallerRetried               // it can't, since its caller has been refused before
	LargePrompt                 // it never could: its prompt takes longer than its objective
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{"in_time", "late", "came_back", "large_prompt"}[r]
}

// behind is by how many ranks a request that will be late stands behind its like: more
// than there are ranks of requests in use.
const behind = 5

// Decide returns the rank to be told to the server, and why.
func Decide(r Request) (rank int, reason Reason) {
	switch {
	case r.Retried:
		return r.Rank + behind, CallerRetried
	case r.Objective <= 0 || r.Waited+r.Expected <= r.Objective:
		return r.Rank, InTime
	case r.PrefillTime > r.Objective:
		// Callers with the largest prompts would be served by nobody in an overload.
		return r.Rank, LargePrompt
	default:
		return r.Rank + behind, Late
	}
}
