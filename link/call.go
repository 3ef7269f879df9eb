package link

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Call sends req to method at addr and waits for the answer, the end of ctx or
// the end of the connection. The deadline of ctx travels with the call; when
// ctx ends early the other side's handler is cancelled.
//
// The error is a *RemoteError, or a *CallError whose kind is ErrUnreachable or
// ErrLost, inside a trace; use errors.Is and errors.As.
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

// Notify queues a one-way message to addr and returns at once. Nil means that
// it was queued, not that it arrived: it is lost with the connection or when
// the address can't be dialled.
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

// register adds the call to a live connection. A connection may close between
// the look-up and the registration; a second one is then dialled.
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

// await waits for the answer. An answer that is there counts, also when the
// connection or ctx has ended in the same moment. One that comes after the
// cancel frame doesn't: it would be the handler's report of the cancellation.
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

// sendCancel tells the other side that nobody waits for the answer. If the
// queue is full it gives up: the handler's deadline has travelled with the call.
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

func decodeRemoteError(body []byte) error {
	var re RemoteError
	if err := Unmarshal(body, &re); err != nil {
		return &RemoteError{Code: CodeInternal, Message: err.Error(), Step: StepDecode}
	}
	return &re
}

// remainingMillis returns the milliseconds left until the deadline of ctx, rounded
// up, at least 1; 0 if there is no deadline.
func remainingMillis(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remaining := time.Until(deadline)
	return uint64(max(1, (remaining+time.Millisecond-1)/time.Millisecond))
}

// millisToDuration turns a timeout from the wire into a duration without overflow.
func millisToDuration(ms uint64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}
