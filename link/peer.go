package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// peer is one address with its connection or dial attempt, and the notices queued
// for it.
type peer struct {
	pool     *Pool
	addr     string
	notices  chan outgoing
	lastUsed atomic.Int64 // last call or notice, in Unix nanoseconds
	active   atomic.Bool  // a connection or a dial attempt exists

	mu          sync.Mutex // guards the fields below
	conn        *clientConn
	dialing     *dialAttempt // nil if no dial is in progress
	failedDials int          // consecutive
	nextDial    time.Time    // no dial before it, after a failed one
	dialErr     error        // of the last dial
}

// touch records a use of the peer.
func (pr *peer) touch() { pr.lastUsed.Store(time.Now().UnixNano()) }

// idleTime returns the time since the last use.
func (pr *peer) idleTime() time.Duration {
	return time.Duration(time.Now().UnixNano() - pr.lastUsed.Load())
}

// dialAttempt is one dial; several callers may wait for it.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn // conn and err are set before done is closed
	err  error
}

// connect returns the open connection, or waits for a dial in progress or a new
// one. During the backoff after a failed dial it returns the last error at once,
// so that the caller can try another address before its deadline.
func (pr *peer) connect(ctx context.Context) (*clientConn, error) {
	c, a, err := pr.connOrDial()
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrDial returns the open connection, or the dial attempt to wait for, which it
// starts if there is none, or the error of the last dial during the backoff.
func (pr *peer) connOrDial() (*clientConn, *dialAttempt, error) {
	pr.mu.Lock()
	if pr.conn != nil && pr.conn.isOpen() {
		defer pr.mu.Unlock()
		return pr.conn, nil, nil
	}
	if pr.dialing != nil {
		defer pr.mu.Unlock()
		return nil, pr.dialing, nil
	}
	if pr.dialErr != nil && time.Now().Before(pr.nextDial) {
		defer pr.mu.Unlock()
		return nil, nil, pr.dialErr
	}
	a := &dialAttempt{done: make(chan struct{})}
	pr.dialing = a
	pr.active.Store(true)
	pr.mu.Unlock()
	if !pr.pool.goUnlessClosed(func() { pr.dialAndServe(a) }) {
		pr.finishDial(a, nil, ErrClosed)
	}
	return nil, a, nil
}

// dialAndServe dials, then serves the connection until it ends.
func (pr *peer) dialAndServe(a *dialAttempt) {
	c, err := pr.dial()
	pr.finishDial(a, c, err)
	if err != nil {
		pr.dropNotices()
		return
	}
	c.run()
}

// finishDial records the result of a dial and wakes those who wait for it.
func (pr *peer) finishDial(a *dialAttempt, c *clientConn, err error) {
	pr.mu.Lock()
	pr.active.Store(err == nil)
	pr.dialing = nil
	pr.conn = c
	pr.dialErr = err
	if err == nil {
		pr.failedDials = 0
	} else {
		pr.nextDial = time.Now().Add(pr.backoff())
		pr.failedDials++
	}
	pr.mu.Unlock()
	a.conn, a.err = c, err
	close(a.done)
}

// backoff returns the delay before the next dial. It doubles with each failure, up
// to BackoffMax, and is drawn from the upper half of its range: without jitter all
// instances that lost the same peer would dial it at the same moment.
func (pr *peer) backoff() time.Duration {
	cfg := pr.pool.cfg
	d := cfg.BackoffMax
	if pr.failedDials < 16 {
		d = min(cfg.BackoffMin<<pr.failedDials, cfg.BackoffMax)
	}
	return d/2 + time.Duration(pr.pool.jitter()*float64(d/2))
}

// dial connects and runs the handshake, both within the heartbeat timeout.
func (pr *peer) dial() (*clientConn, error) {
	p := pr.pool
	ctx, cancel := context.WithTimeout(p.ctx, p.limits.heartbeatTimeout)
	defer cancel()
	nc, err := dialWithRetry(ctx, p.dial, pr.addr)
	if err != nil {
		return nil, &CallError{Step: StepDial, Peer: pr.addr, Kind: ErrUnreachable, Cause: err}
	}
	c := newConn(p.ctx, nc, p.limits, p.traffic)
	c.tickOrigin = dialledTickOrigin
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	info, err := dialHandshake(c, p.cfg.Self, p.cfg.ClusterKey)
	if err == nil && !stop() {
		err = ErrHeartbeatTimeout
	}
	if err != nil {
		stop()
		c.cancel(err)
		nc.Close()
		p.log.Warn("link handshake failed", "address", pr.addr, "peer", info.ID, "err", err)
		return nil, &CallError{Step: StepHello, Peer: pr.addr, Kind: ErrUnreachable, Cause: err}
	}
	return newClientConn(c, pr, info), nil
}

// firstConnectTimeout bounds the first connect attempt: several round trips
// between regions. Each further attempt has twice the timeout of the last.
const firstConnectTimeout = 250 * time.Millisecond

// dialWithRetry connects to addr, and dials again when an attempt times out.
//
// The first packet to an instance that is just starting is lost, and the kernel
// retransmits it only after a second. Without own retries, processes that restart
// together would wait that long for one that starts slightly later.
func dialWithRetry(ctx context.Context, dial func(context.Context, string) (net.Conn, error), addr string) (net.Conn, error) {
	for timeout := firstConnectTimeout; ; timeout *= 2 {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		nc, err := dial(attemptCtx, addr)
		timedOut := attemptCtx.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return nc, err
		}
	}
}

// dropNotices empties the notice queue after a failed dial: the notices would be
// outdated by the time the peer is reachable.
func (pr *peer) dropNotices() {
	for {
		select {
		case <-pr.notices:
		default:
			return
		}
	}
}

// clearConn removes c, which has ended, unless a new dial has already started.
func (pr *peer) clearConn(c *clientConn) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == c && pr.dialing == nil {
		pr.conn = nil
		pr.active.Store(false)
	}
}

// redialForNotices dials again if notices were queued while the connection ended.
func (pr *peer) redialForNotices() {
	if len(pr.notices) > 0 && pr.pool.ctx.Err() == nil {
		_, _, _ = pr.connOrDial()
	}
}
