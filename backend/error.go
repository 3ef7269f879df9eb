package backend

import "fmt"

// Steps of an exchange.
const (
	StepDial  = "dial"
	StepWrite = "write"
	StepHead  = "read head"
	StepBody  = "read body"
)

// Error is an exchange that failed.
type Error struct {
	Step string
	Peer string // host:port
	// Sent says that a byte of the request may have reached the server, so it may
	// have run. False means that it surely has not.
	Sent  bool
	Cause error
}

func (e *Error) Error() string {
	ran := "not sent"
	if e.Sent {
		ran = "may have run"
	}
	return fmt.Sprintf("step=%s peer=%s: %s: %v", e.Step, e.Peer, ran, e.Cause)
}

func (e *Error) Unwrap() error { return e.Cause }
