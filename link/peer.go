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
	pool    *Pool
	addr    string
	notices chan outgoing
	used    atomic.Int64 // unix nanoseconds of the last call or notice
	live    atomic.Bool  // a connection or an attempt at one exists

	mu       sync.Mutex // guards all below
	conn     *clientConn
	attempt  *attempt // not nil while dialling
	failures int      // failed dials in a row
	notUntil time.Time
	lastErr  error
}

func (pr *peer) touch() { pr.used.Store(time.Now().UnixNano()) }

func (pr *peer) idle() time.Duration {
	return time.Duration(time.Now().UnixNano() - pr.used.Load())
}

// attempt is one dial that several callers may wait for.
type attempt struct {
	done chan struct{}
	conn *clientConn // set before done is closed, with err
	err  error
}

// connect returns the live connection, or joins or starts a dial. During the
// pause after a failed dial it fails at once with the last error: the caller
// may know another address, and waiting would only use up its deadline.
func (pr *peer) connect(ctx context.Context) (*clientConn, error) {
	c, a, err := pr.begin()
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

// begin returns the connection, or the attempt to wait for, or the error of
// the last dial while its pause runs.
func (pr *peer) begin() (*clientConn, *attempt, error) {
	pr.mu.Lock()
	if pr.conn != nil && pr.conn.open() {
		defer pr.mu.Unlock()
		return pr.conn, nil, nil
	}
	if pr.attempt != nil {
		defer pr.mu.Unlock()
		return nil, pr.attempt, nil
	}
	if pr.lastErr != nil && time.Now().Before(pr.notUntil) {
		defer pr.mu.Unlock()
		return nil, nil, pr.lastErr
	}
	a := &attempt{done: make(chan struct{})}
	pr.attempt = a
	pr.live.Store(true)
	pr.mu.Unlock()
	if !pr.pool.start(func() { pr.run(a) }) {
		pr.finish(a, nil, ErrClosed)
	}
	return nil, a, nil
}

// run dials, and then serves the connection until it ends.
func (pr *peer) run(a *attempt) {
	c, err := pr.dial()
	pr.finish(a, c, err)
	if err != nil {
		pr.dropNotices()
		return
	}
	c.run()
}

func (pr *peer) finish(a *attempt, c *clientConn, err error) {
	pr.mu.Lock()
	pr.live.Store(err == nil)
	pr.attempt = nil
	pr.conn = c
	pr.lastErr = err
	if err == nil {
		pr.failures = 0
	} else {
		pr.notUntil = time.Now().Add(pr.backoff())
		pr.failures++
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
	if pr.failures < 16 {
		d = min(cfg.BackoffMin<<pr.failures, cfg.BackoffMax)
	}
	return d/2 + time.Duration(pr.pool.jitter()*float64(d/2))
}

func (pr *peer) dial() (*clientConn, error) {
	p := pr.pool
	ctx, cancel := context.WithTimeout(p.ctx, p.limits.silence)
	defer cancel()
	nc, err := openConn(ctx, p.dial, pr.addr)
	if err != nil {
		return nil, &CallError{Step: StepDial, Peer: pr.addr, Kind: ErrUnreachable, Cause: err}
	}
	c := newConn(p.ctx, nc, p.limits, p.traffic)
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	info, err := dialHandshake(c, p.cfg.Self, p.cfg.ClusterKey)
	if err == nil && !stop() {
		err = ErrSilent
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

// firstTry is how long a first connect may take before it is begun anew: several
// round trips between regions. Each further one has twice as long.
const firstTry = 250 * time.Millisecond

// openConn connects, and begins anew where there is no answer.
//
// The first packet to an instance that is just starting is lost, and the kernel
// sends it again only a second later. After a power failure the processes that are
// back first would wait that long for those that are back a moment later.
func openConn(ctx context.Context, dial func(context.Context, string) (net.Conn, error), addr string) (net.Conn, error) {
	for limit := firstTry; ; limit *= 2 {
		tryCtx, cancel := context.WithTimeout(ctx, limit)
		nc, err := dial(tryCtx, addr)
		unanswered := tryCtx.Err() != nil
		cancel()
		if err == nil || !unanswered || ctx.Err() != nil {
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

// ended marks the peer as without connection, unless a new one exists already.
func (pr *peer) ended(c *clientConn) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.conn == c && pr.attempt == nil {
		pr.conn = nil
		pr.live.Store(false)
	}
}

// redialForNotices dials again if notices came in while the connection ended.
func (pr *peer) redialForNotices() {
	if len(pr.notices) > 0 && pr.pool.ctx.Err() == nil {
		_, _, _ = pr.begin()
	}
}
