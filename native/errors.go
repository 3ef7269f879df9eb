package native

import (
	"errors"
	"fmt"
	"time"
)

// Step is the step of a call that failed.
type Step string

// The steps of a call, in order.
const (
	StepEncode  Step = "encode"  // the request could not be built or encoded
	StepConnect Step = "connect" // no byte of the request was written
	StepForward Step = "forward" // the request was at least partly written, no answer header was read
	StepStatus  Step = "status"  // the peer answered with an error status
	StepBody    Step = "body"    // the answer's body was truncated or could not be decoded
)

// Delivery is how far a request got. It decides whether a request that must not run
// twice may be sent to another server.
type Delivery int

// The deliveries. After NotSent and Refused, sending the request again can't run it twice.
const (
	NotSent  Delivery = iota // no byte of the request was written to the peer
	Refused                  // the peer rejected it without running it
	MaybeRan                 // the request may have run, fully or partly
)

// String returns the delivery's name in logs.
func (d Delivery) String() string {
	switch d {
	case NotSent:
		return "not_sent"
	case Refused:
		return "refused"
	default:
		return "maybe_ran"
	}
}

// CallError is the error of every call in this package. Use errors.As, or NotRun to
// decide whether the request may be sent again.
type CallError struct {
	Step       Step
	Peer       string // host:port
	Delivery   Delivery
	Status     int           // HTTP status; 0 if no answer header was read
	RetryAfter time.Duration // from the answer's Retry-After; 0: none
	Leaving    bool          // the peer has said in its answer that it leaves
	Limited    bool          // the peer has named a limit in its answer
	Limit      float64       // requests a second, if Limited
	Code       string        // Problem.Code of the peer's answer, if any
	Message    string        // start of the answer's body, at most maxErrorTextBytes
	Err        error         // cause; nil for an error status
}

// Error returns step, peer, delivery and cause on one line.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s %s (%s): %v", e.Step, e.Peer, e.Delivery, e.Err)
	}
	return fmt.Sprintf("%s %s (%s): status %d: %s", e.Step, e.Peer, e.Delivery, e.Status, e.Message)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not run: no byte of it was written,
// or the peer rejected it without running it. It is false for an error that is not a
// *CallError.
func NotRun(err error) bool {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return false
	}
	return callErr.Delivery != MaybeRan
}
