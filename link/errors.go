package link

import (
	"context"
	"errors"
	"fmt"
)

// Reasons why a call, a notice or a connection failed at this end. Test with errors.Is.
var (
	// ErrUnreachable: no byte of the call was written, so it did not run.
	ErrUnreachable = errors.New("unreachable, not run")
	// ErrOutcomeUnknown: the call was written and no answer arrived, so it may
	// have run.
	ErrOutcomeUnknown = errors.New("no answer, may have run")
	// ErrBusy: the notice queue of the address is full; the notice was dropped.
	ErrBusy = errors.New("queue to the peer is full")
	// ErrClosed: the pool has been closed.
	ErrClosed = errors.New("pool is closed")
	// ErrHeartbeatTimeout: nothing was received within the heartbeat timeout, or
	// the handshake was not complete within it.
	ErrHeartbeatTimeout = errors.New("nothing received within the heartbeat timeout")
	// ErrWrongKey: the two ends do not hold the same cluster key.
	ErrWrongKey = errors.New("wrong cluster key")
	// ErrIdle: the connection was closed because it was unused for IdleTimeout.
	ErrIdle = errors.New("connection was idle")
)

// Codes of a RemoteError that this package sets. With CodeBusy, CodeUnknownMethod
// and CodeBadRequest the handler did not run.
const (
	CodeBusy          = "busy"
	CodeUnknownMethod = "unknown_method"
	CodeBadRequest    = "bad_request"
	CodeDeadline      = "deadline_exceeded"
	CodeCanceled      = "canceled"
	CodeInternal      = "internal"
)

// Steps of a call, for CallError and RemoteError.
const (
	StepDial   = "dial"
	StepHello  = "hello"
	StepEncode = "encode"
	StepSend   = "send"
	StepAwait  = "await"
	StepDecode = "decode"
	StepHandle = "handle"
)

// CallError reports the step at which a call or notice failed, and its peer.
type CallError struct {
	Step   string
	Method string
	Peer   string // the address of the peer
	Kind   error  // ErrUnreachable, ErrOutcomeUnknown, ErrBusy, ErrClosed or nil
	Cause  error  // may be nil
}

func (e *CallError) Error() string {
	s := fmt.Sprintf("%s %s at %s", e.Step, e.Method, e.Peer)
	if e.Kind != nil {
		s += ": " + e.Kind.Error()
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the kind and the cause, those that are set.
func (e *CallError) Unwrap() []error {
	errs := make([]error, 0, 2)
	if e.Kind != nil {
		errs = append(errs, e.Kind)
	}
	if e.Cause != nil {
		errs = append(errs, e.Cause)
	}
	return errs
}

// RemoteError is the error with which the other end answered a call. A handler
// sets Code and Step by returning an error with a method Code() string and,
// optionally, Step() string.
type RemoteError struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
	Step    string `msgpack:"step"`
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
}

// Is reports whether target is the context error that ended the handler:
// context.DeadlineExceeded for CodeDeadline, context.Canceled for CodeCanceled.
func (e *RemoteError) Is(target error) bool {
	switch e.Code {
	case CodeDeadline:
		return target == context.DeadlineExceeded
	case CodeCanceled:
		return target == context.Canceled
	default:
		return false
	}
}

type coder interface{ Code() string }

type stepper interface{ Step() string }

// toRemoteError converts the error of a handler into its encoded form.
func toRemoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	out := &RemoteError{Code: CodeInternal, Message: err.Error(), Step: StepHandle}
	var c coder
	switch {
	case errors.As(err, &c):
		out.Code = c.Code()
	case errors.Is(err, context.DeadlineExceeded):
		out.Code = CodeDeadline
	case errors.Is(err, context.Canceled):
		out.Code = CodeCanceled
	}
	var s stepper
	if errors.As(err, &s) {
		out.Step = s.Step()
	}
	return out
}
