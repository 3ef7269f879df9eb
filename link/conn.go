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

// Defaults for links between instances.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultHeartbeatTimeout is four heartbeats: one that is late or lost to a
	// retransmission doesn't end the connection.
	DefaultHeartbeatTimeout = 2 * time.Second

	sendQueueLen = 64 // frames waiting for the writer of one connection
)

// conn is what both ends of a connection share: framing, heartbeat, silence
// bound. It ends when its context does; the cause says why.
type conn struct {
	nc                net.Conn
	br                *bufio.Reader
	maxFrame          int
	heartbeatInterval time.Duration
	traffic           *Traffic
	sendQueue         chan outgoing
	ctx               context.Context
	cancel            context.CancelCauseFunc
}

// outgoing is one encoded frame for the writer.
type outgoing struct {
	method string
	buf    []byte
	call   *pendingCall // of a request; nil for all else
}

// connLimits are the bounds that Server and Pool give to their connections.
type connLimits struct {
	maxFrame          int
	heartbeatInterval time.Duration
	heartbeatTimeout  time.Duration
}

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
		traffic:           t,
		sendQueue:         make(chan outgoing, sendQueueLen),
		ctx:               ctx,
		cancel:            cancel,
	}
}

// timeoutReader gives each read the silence bound anew. The bound runs only
// while the reader waits for the network: time that a handler takes is never
// counted as silence of the peer.
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

// readLoop hands each frame to dispatch until the connection ends, and returns
// the cause.
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

// writeLoop writes queued frames until the connection ends. It is the only
// writer after the handshake. There is no bound on one write: if the peer
// stops reading because the link is dead, its heartbeats stop too and the
// reader ends the connection; if it lives and is slow, waiting is right.
func (c *conn) writeLoop(notices <-chan outgoing, onTick func()) error {
	bw := bufio.NewWriter(c.nc)
	tick := time.NewTicker(c.heartbeatInterval)
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
		}
		if err != nil {
			return err
		}
	}
}

// writeBatch writes o and whatever else is queued by now, then flushes once.
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
	// A request is marked before its first byte can leave. Marked after the
	// write, a call could run at the peer and be reported as surely not run,
	// and its owner would repeat it elsewhere.
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

// send queues a frame for the writer. It waits while the queue is full and
// fails only when the connection ends.
func (c *conn) send(o outgoing) error {
	select {
	case c.sendQueue <- o:
		return nil
	case <-c.ctx.Done():
		return context.Cause(c.ctx)
	}
}

// pendingCall is one call that waits for its answer. The writer and the caller
// race for its state: either the writer takes it first and the call may run, or
// the caller withdraws it first and it surely doesn't.
type pendingCall struct {
	method string
	state  atomic.Int32
	answer chan frame // buffered, one answer
}

const (
	callQueued int32 = iota
	callWritten
	callWithdrawn
)

func (p *pendingCall) beginWrite() bool { return p.state.CompareAndSwap(callQueued, callWritten) }

func (p *pendingCall) withdraw() bool { return p.state.CompareAndSwap(callQueued, callWithdrawn) }
