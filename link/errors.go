package link

import (
	"context"
	"errors"
	"fmt"
)

// What became of a call or notice that failed on this side. Test with errors.Is.
var (
	// ErrUnreachable: no byte of the call was written, it surely did not run.
	ErrUnreachable = errors.New("unreachable, not run")
	// ErrOutcomeUnknown: the call was written and no answer came, it may have run.
	ErrOutcomeUnknown = errors.New("no answer, may have run")
	// ErrBusy: the bounded queue towards the peer is full; the notice was dropped.
	ErrBusy = errors.New("queue to the peer is full")
	// ErrClosed: the pool has been closed.
	ErrClosed = errors.New("pool is closed")
	// ErrHeartbeatTimeout: nothing arrived on the connection for the silence bound.
	ErrHeartbeatTimeout = errors.New("connection went silent")
	// ErrWrongKey: the two ends do not hold the same cluster key.
	ErrWrongKey = errors.New("wrong cluster key")
	// ErrIdle: the connection was closed because nobody used it for long.
	ErrIdle = errors.New("connection was idle")
)

// Codes of a RemoteError that the link itself gives. CodeBusy, CodeUnknownMethod
// and CodeBadRequest mean that the handler did not run.
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

// CallError says at which step and with which peer a call or notice failed.
type CallError struct {
	Step   string
	Method string
	Peer   string // the address that was called
	Kind   error  // ErrUnreachable, ErrLost, ErrBusy or ErrClosed; nil: none of them
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

// Unwrap gives errors.Is and errors.As both the kind and the cause.
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

// RemoteError is the error with which the other side answered a call. A handler
// chooses Code and Step by returning an error that has a method Code() string
// and, if it likes, Step() string.
type RemoteError struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
	Step    string `msgpack:"step"`
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
}

// Is lets errors.Is find a deadline or cancellation that ended the handler.
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

// toRemoteError turns a handler's error into its form on the wire.
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
