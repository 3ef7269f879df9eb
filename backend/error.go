package backend

import "fmt"

// Values of Error.Step: the step of the exchange that failed.
const (
	StepDial  = "dial"
	StepWrite = "write"
	StepHead  = "read head"
	StepBody  = "read body"
)

// Error describes a failed exchange.
type Error struct {
	Step string
	Peer string // host:port
	// Sent reports that at least one byte of the request was written, so the server
	// may have run it. If false, the server has not run it.
	Sent bool
	// Direct reports that the connection was on the own path to the server, not through another
	// entry.
	Direct bool
	Cause  error
}

func (e *Error) Error() string {
	ran := "not sent"
	if e.Sent {
		ran = "may have run"
	}
	return fmt.Sprintf("step=%s peer=%s: %s: %v", e.Step, e.Peer, ran, e.Cause)
}

func (e *Error) Unwrap() error { return e.Cause }
