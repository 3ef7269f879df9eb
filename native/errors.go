package native

import (
	"errors"
	"fmt"
	"time"
)

// Step names the step of a call at which an error arose.
type Step string

// The steps of a call, in their order.
const (
	StepEncode  Step = "encode"  // the request could not be put into bytes
	StepConnect Step = "connect" // no connection to the peer
	StepForward Step = "forward" // the request was on its way, no answer head yet
	StepStatus  Step = "status"  // the peer answered with an error status
	StepBody    Step = "body"    // the answer's body broke or made no sense
)

// Delivery says how far a request came. It decides whether a request that must
// not run twice may be given to another server.
type Delivery int

// The deliveries, from the harmless to the doubtful.
const (
	NotSent  Delivery = iota // no byte of the request was written to the peer
	Refused                  // the peer said, before running it, that it would not run it
	MaybeRan                 // the request may have run, in whole or in part
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

// CallError is the error of every call in this package. Use errors.As, or
// NotRun for the question that matters most.
type CallError struct {
	Step       Step
	Peer       string // host:port
	Delivery   Delivery
	Status     int           // HTTP status; 0 where there was no answer head
	RetryAfter time.Duration // from the answer's Retry-After; 0: none
	Code       string        // Problem.Code of the peer's answer; empty: none
	Message    string        // start of the peer's answer, at most maxErrorText bytes
	Err        error         // the cause; nil for an error status
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

// NotRun reports whether err proves that the request did not run: no byte of
// it was written, or the peer refused it before running. An error that is no
// CallError proves nothing.
func NotRun(err error) bool {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return false
	}
	return callErr.Delivery != MaybeRan
}
