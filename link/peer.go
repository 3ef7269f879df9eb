package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// peer is one address: its connection, or the attempt at one, and the notices
// that wait for it.
type peer struct {
	pool     *Pool
	addr     string
	notices  chan outgoing
	lastUsed atomic.Int64 // unix nanoseconds of the last call or notice
	active   atomic.Bool  // a connection or an attempt at one exists

	mu          sync.Mutex // guards all below
	conn        *clientConn
	dialing     *dialAttempt // not nil while dialling
	failedDials int          // failed dials in a row
	nextDial    time.Time
	dialErr     error
}

func (pr *peer) touch() { pr.lastUsed.Store(time.Now().UnixNano()) }

func (pr *peer) idleTime() time.Duration {
	return time.Duration(time.Now().UnixNano() - pr.lastUsed.Load())
}

// dialAttempt is one dial that several callers may wait for.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn // set before done is closed, with err
	err  error
}

// connect returns the live connection, or joins or starts a dial. During the
// pause after a failed dial it fails at once with the last error: the caller
// may know another address, and waiting would only use up its deadline.
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

// connOrDial returns the connection, or the attempt to wait for, or the error of
// the last dial while its pause runs.
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

// dialAndServe dials, and then serves the connection until it ends.
func (pr *peer) dialAndServe(a *dialAttempt) {
	c, err := pr.dial()
	pr.finishDial(a, c, err)
	if err != nil {
		pr.dropNotices()
		return
	}
	c.run()
}

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

// backoff doubles with each failure and is drawn from the upper half of its
// range. Without the jitter all instances that lost a peer at one moment would
// dial it again at one moment, just as it starts.
func (pr *peer) backoff() time.Duration {
	cfg := pr.pool.cfg
	d := cfg.BackoffMax
	if pr.failedDials < 16 {
		d = min(cfg.BackoffMin<<pr.failedDials, cfg.BackoffMax)
	}
	return d/2 + time.Duration(pr.pool.jitter()*float64(d/2))
}

func (pr *peer) dial() (*clientConn, error) {
	p := pr.pool
	ctx, cancel := context.WithTimeout(p.ctx, p.limits.heartbeatTimeout)
	defer cancel()
	nc, err := dialWithRetry(ctx, p.dial, pr.addr)
	if err != nil {
		return nil, &CallError{Step: StepDial, Peer: pr.addr, Kind: ErrUnreachable, Cause: err}
	}
	c := newConn(p.ctx, nc, p.limits, p.traffic)
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

// firstConnectTimeout is how long a first connect may take before it is begun anew: several
// round trips between regions. Each further one has twice as long.
const firstConnectTimeout = 250 * time.Millisecond

// dialWithRetry connects, and begins anew where there is no answer.
//
// The first packet to an instance that is just starting is lost, and the kernel
// sends it again only a second later. After a power failure the processes that are
// back first would wait that long for those that are back a moment later.
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

// dropNotices empties the queue after a failed dial: what waited there is old
// by the time the peer is back.
func (pr *peer) dropNotices() {
	for {
		select {
		case <-pr.notices:
		default:
			return
		}
	}
}

// clearConn marks the peer as without connection, unless a new one exists already.
func (pr *peer) clearConn(c *clientConn) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == c && pr.dialing == nil {
		pr.conn = nil
		pr.active.Store(false)
	}
}

// redialForNotices dials again if notices came in while the connection ended.
func (pr *peer) redialForNotices() {
	if len(pr.notices) > 0 && pr.pool.ctx.Err() == nil {
		_, _, _ = pr.connOrDial()
	}
}
