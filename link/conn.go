package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Default timing of connections.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultHeartbeatTimeout spans four heartbeats, so that one that is delayed
	// by a retransmission does not end the connection.
	DefaultHeartbeatTimeout = 2 * time.Second

	sendQueueLen = 64 // frames waiting for the writer of one connection
)

// conn is what both ends of a connection share: framing, heartbeats and the
// heartbeat timeout. It ends when ctx is cancelled; the cause of ctx is the reason.
type conn struct {
	nc                net.Conn
	br                *bufio.Reader
	maxFrame          int
	heartbeatInterval time.Duration
	tickOrigin        time.Time // from which the heartbeat intervals count
	traffic           *Traffic
	sendQueue         chan outgoing
	ctx               context.Context
	cancel            context.CancelCauseFunc
}

// outgoing is one encoded frame in the send queue.
type outgoing struct {
	method string
	buf    []byte
	call   *pendingCall // nil unless the frame is a request
}

// connLimits are the limits that a Server or a Pool sets on its connections.
type connLimits struct {
	maxFrame          int
	heartbeatInterval time.Duration
	heartbeatTimeout  time.Duration
}

// limitsWithDefaults returns the limits, with defaults for those not positive.
func limitsWithDefaults(maxFrame int, heartbeatInterval, heartbeatTimeout time.Duration) connLimits {
	l := connLimits{maxFrame: maxFrame, heartbeatInterval: heartbeatInterval, heartbeatTimeout: heartbeatTimeout}
	if l.maxFrame <= 0 {
		l.maxFrame = DefaultMaxFrame
	}
	if l.heartbeatInterval <= 0 {
		l.heartbeatInterval = DefaultHeartbeatInterval
	}
	if l.heartbeatTimeout <= 0 {
		l.heartbeatTimeout = max(DefaultHeartbeatTimeout, 4*l.heartbeatInterval)
	}
	return l
}

func newConn(ctx context.Context, nc net.Conn, l connLimits, t *Traffic) *conn {
	ctx, cancel := context.WithCancelCause(ctx)
	return &conn{
		nc:                nc,
		br:                bufio.NewReader(&timeoutReader{nc: nc, timeout: l.heartbeatTimeout}),
		maxFrame:          l.maxFrame,
		heartbeatInterval: l.heartbeatInterval,
		tickOrigin:        acceptedTickOrigin(time.Now()),
		traffic:           t,
		sendQueue:         make(chan outgoing, sendQueueLen),
		ctx:               ctx,
		cancel:            cancel,
	}
}

// timeoutReader applies the heartbeat timeout to each read. The timeout runs only
// during a read, so the time that a handler takes does not count.
type timeoutReader struct {
	nc      net.Conn
	timeout time.Duration
}

func (r *timeoutReader) Read(p []byte) (int, error) {
	if err := r.nc.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.nc.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, ErrHeartbeatTimeout
	}
	return n, err
}

// readLoop passes each frame, with its size on the wire, to dispatch until the
// connection ends, and returns the cause. Heartbeats are only counted.
func (c *conn) readLoop(dispatch func(frame, int)) error {
	for {
		f, n, err := readFrame(c.br, c.maxFrame)
		if err != nil {
			return err
		}
		if f.kind == kindHeartbeat {
			c.traffic.received(MethodHeartbeat, n)
			continue
		}
		dispatch(f, n)
	}
}

// writeLoop writes queued frames until the connection ends, and returns the cause.
// It is the only writer after the handshake. It calls onTick at each heartbeat
// interval. Writes have no deadline: an unreachable peer sends no heartbeats, so
// the read side ends the connection, and a slow peer must not lose it.
func (c *conn) writeLoop(notices <-chan outgoing, onTick func()) error {
	bw := bufio.NewWriter(c.nc)
	tick := time.NewTimer(c.untilTick(time.Now()))
	defer tick.Stop()
	idle := true
	for {
		var err error
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		case o := <-c.sendQueue:
			err = c.writeBatch(bw, o, notices)
			idle = false
		case o := <-notices:
			err = c.writeBatch(bw, o, notices)
			idle = false
		case <-tick.C:
			if idle {
				err = c.writeHeartbeat()
			}
			idle = true
			onTick()
			tick.Reset(c.untilTick(time.Now()))
		}
		if err != nil {
			return err
		}
	}
}

// dialledTickOrigin is the tickOrigin of all connections that this process dials: an idle process
// with a link to each of ten replicas wakes once per interval for their heartbeats, and not ten
// times.
var dialledTickOrigin = time.Now()

// acceptedTickSpacing is the least time between the ticks of accepted connections. There may be a
// thousand: at one moment they would hold the process up, at a thousand it would always wake.
const acceptedTickSpacing = 50 * time.Millisecond

// acceptedTickOrigin returns the tickOrigin of a connection that is accepted now.
func acceptedTickOrigin(now time.Time) time.Time {
	return dialledTickOrigin.Add(now.Sub(dialledTickOrigin).Truncate(acceptedTickSpacing))
}

// untilTick returns the time until the next multiple of the heartbeat interval since tickOrigin.
func (c *conn) untilTick(now time.Time) time.Duration {
	return c.heartbeatInterval - now.Sub(c.tickOrigin)%c.heartbeatInterval
}

// writeBatch writes o and all frames queued meanwhile, then flushes once.
func (c *conn) writeBatch(bw *bufio.Writer, o outgoing, notices <-chan outgoing) error {
	for {
		if err := c.writeOne(bw, o); err != nil {
			return err
		}
		select {
		case o = <-c.sendQueue:
			continue
		default:
		}
		select {
		case o = <-notices:
			continue
		default:
		}
		return bw.Flush()
	}
}

func (c *conn) writeOne(bw *bufio.Writer, o outgoing) error {
	// A request is marked as written before its first byte can be sent.
	// Otherwise a call that runs at the peer could be reported as
	// ErrUnreachable, and its caller would repeat it elsewhere.
	if o.call != nil && !o.call.beginWrite() {
		return nil
	}
	c.traffic.sent(o.method, len(o.buf))
	_, err := bw.Write(o.buf)
	return err
}

func (c *conn) writeHeartbeat() error {
	buf, err := appendFrame(nil, frame{kind: kindHeartbeat}, c.maxFrame)
	if err != nil {
		return err
	}
	c.traffic.sent(MethodHeartbeat, len(buf))
	_, err = c.nc.Write(buf)
	return err
}

// send queues a frame for the writer. It blocks while the queue is full and
// returns an error only when the connection has ended.
func (c *conn) send(o outgoing) error {
	select {
	case c.sendQueue <- o:
		return nil
	case <-c.ctx.Done():
		return context.Cause(c.ctx)
	}
}

// pendingCall is a call without an answer yet. The writer and the caller compete
// for its state: if the writer takes it first, the call may run; if the caller
// withdraws it first, the call is never sent.
type pendingCall struct {
	method string
	state  atomic.Int32
	answer chan frame // capacity 1, so that dispatch never blocks
}

// States of a pendingCall.
const (
	callQueued int32 = iota
	callWritten
	callWithdrawn
)

// beginWrite reports whether the writer may send the call.
func (p *pendingCall) beginWrite() bool { return p.state.CompareAndSwap(callQueued, callWritten) }

// withdraw reports whether the call was withdrawn before it was written.
func (p *pendingCall) withdraw() bool { return p.state.CompareAndSwap(callQueued, callWithdrawn) }
