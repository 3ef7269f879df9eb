package link

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Call sends req to method at addr and waits until the answer arrives, ctx ends or
// the connection ends. The deadline of ctx is sent with the call; if ctx ends
// before the answer, the context of the remote handler is cancelled.
//
// The error is a *RemoteError or a *CallError, wrapped in a trace; use errors.Is
// and errors.As. The kind of a *CallError is ErrUnreachable or ErrOutcomeUnknown,
// or nil if the answer could not be decoded.
func Call[Resp any](ctx context.Context, p *Pool, addr, method string, req any) (Resp, error) {
	var resp Resp
	body, err := msgpack.Marshal(req)
	if err != nil {
		return resp, trace.Wrap(&CallError{Step: StepEncode, Method: method, Peer: addr, Kind: ErrUnreachable, Cause: err})
	}
	answer, err := p.call(ctx, addr, method, body)
	if err != nil {
		return resp, trace.Wrap(err)
	}
	if err := Unmarshal(answer, &resp); err != nil {
		return resp, trace.Wrap(&CallError{Step: StepDecode, Method: method, Peer: addr, Cause: err})
	}
	return resp, nil
}

// Notify queues a one-way message to addr and returns without blocking. A nil
// error means that the message was queued, not that it arrived: it is lost if the
// connection ends or the dial fails.
func Notify(p *Pool, addr, method string, req any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return trace.Wrap(&CallError{Step: StepEncode, Method: method, Peer: addr, Cause: err})
	}
	return trace.Wrap(p.notify(addr, method, body))
}

func (p *Pool) notify(addr, method string, body []byte) error {
	fail := func(step string, kind, cause error) error {
		return &CallError{Step: step, Method: method, Peer: addr, Kind: kind, Cause: cause}
	}
	buf, err := appendFrame(nil, frame{kind: kindNotice, method: method, body: body}, p.limits.maxFrame)
	if err != nil {
		return fail(StepEncode, nil, err)
	}
	pr, err := p.peer(addr)
	if err != nil {
		return fail(StepSend, ErrClosed, nil)
	}
	pr.touch()
	if _, _, err := pr.connOrDial(); err != nil {
		return fail(StepDial, ErrUnreachable, err)
	}
	select {
	case pr.notices <- outgoing{method: method, buf: buf}:
		return nil
	default:
		return fail(StepSend, ErrBusy, nil)
	}
}

func (p *Pool) call(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	fail := func(step string, kind, cause error) error {
		return &CallError{Step: step, Method: method, Peer: addr, Kind: kind, Cause: cause}
	}
	pr, err := p.peer(addr)
	if err != nil {
		return nil, fail(StepDial, ErrUnreachable, err)
	}
	id := p.nextID.Add(1)
	call := &pendingCall{method: method, answer: make(chan frame, 1)}
	conn, err := pr.register(ctx, id, call)
	if err != nil {
		return nil, fail(StepDial, ErrUnreachable, err)
	}
	defer conn.removeCall(id)
	buf, err := appendFrame(nil, frame{kind: kindRequest, id: id, timeoutMillis: remainingMillis(ctx), method: method, body: body}, p.limits.maxFrame)
	if err != nil {
		return nil, fail(StepEncode, ErrUnreachable, err)
	}
	select {
	case conn.sendQueue <- outgoing{method: method, buf: buf, call: call}:
	case <-ctx.Done():
		return nil, fail(StepSend, ErrUnreachable, ctx.Err())
	case <-conn.ctx.Done():
		return nil, fail(StepSend, ErrUnreachable, context.Cause(conn.ctx))
	}
	answer, err := conn.await(ctx, id, call)
	if err != nil {
		kind := ErrOutcomeUnknown
		if call.withdraw() {
			kind = ErrUnreachable
		}
		return nil, fail(StepAwait, kind, err)
	}
	if answer.kind == kindError {
		return nil, decodeRemoteError(answer.body)
	}
	return answer.body, nil
}

// register adds the call to an open connection. If the connection closes between
// connect and addCall, it tries once more.
func (pr *peer) register(ctx context.Context, id uint64, call *pendingCall) (*clientConn, error) {
	const attempts = 2
	for range attempts {
		conn, err := pr.connect(ctx)
		if err != nil {
			return nil, err
		}
		if conn.addCall(id, call) {
			return conn, nil
		}
	}
	return nil, errors.New("connection closed while the call was prepared")
}

// await waits for the answer. An answer already received is returned even if the
// connection or ctx has ended at the same time. An answer after the cancel frame
// is ignored: it would only report the cancellation.
func (c *clientConn) await(ctx context.Context, id uint64, call *pendingCall) (frame, error) {
	var err error
	select {
	case f := <-call.answer:
		return f, nil
	case <-c.ctx.Done():
		err = context.Cause(c.ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	select {
	case f := <-call.answer:
		return f, nil
	default:
		c.sendCancel(id)
		return frame{}, err
	}
}

// sendCancel cancels the call at the other end. If the send queue is full it sends
// nothing: the handler still ends at the deadline that was sent with the call.
func (c *clientConn) sendCancel(id uint64) {
	buf, err := appendFrame(nil, frame{kind: kindCancel, id: id}, c.maxFrame)
	if err != nil {
		return
	}
	select {
	case c.sendQueue <- outgoing{method: MethodControl, buf: buf}:
	default:
	}
}

// decodeRemoteError returns the *RemoteError in the body of an error frame.
func decodeRemoteError(body []byte) error {
	var re RemoteError
	if err := Unmarshal(body, &re); err != nil {
		return &RemoteError{Code: CodeInternal, Message: err.Error(), Step: StepDecode}
	}
	return &re
}

// remainingMillis returns the milliseconds until the deadline of ctx, rounded up
// and at least 1, or 0 if ctx has no deadline.
func remainingMillis(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remaining := time.Until(deadline)
	return uint64(max(1, (remaining+time.Millisecond-1)/time.Millisecond))
}

// millisToDuration converts a received timeout into a duration; it caps the value
// where it would overflow.
func millisToDuration(ms uint64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}
