package link

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Pool.
const (
	DefaultQueueLen    = 256
	DefaultIdleTimeout = time.Minute
	DefaultBackoffMin  = 50 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
)

// PoolConfig sets up a Pool. Zero values of the bounds take the defaults.
type PoolConfig struct {
	Self        PeerInfo
	ClusterKey  []byte
	MaxFrame    int
	Heartbeat   time.Duration
	Silence     time.Duration // also bounds a dial with its handshake
	QueueLen    int           // notices that wait for one address
	IdleTimeout time.Duration // a connection without calls and notices for so long is closed
	BackoffMin  time.Duration // pause after a first failed dial; doubles up to BackoffMax
	BackoffMax  time.Duration
}

// PoolDeps are what a Pool needs from outside. All may be left nil.
type PoolDeps struct {
	Log     *slog.Logger
	Traffic *Traffic
	Dial    func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	Jitter  func() float64                                           // in [0,1); nil: math/rand/v2
}

// Pool holds one connection to each address that is called. Connections are
// dialled on demand and closed when unused for long.
type Pool struct {
	cfg     PoolConfig
	limits  limits
	log     *slog.Logger
	traffic *Traffic
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	jitter  func() float64

	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup
	nextID atomic.Uint64

	mu    sync.Mutex // guards all below; never held together with a peer's lock
	peers map[string]*peer
	done  bool
	lost  []func(addr string)
}

// NewPool returns a pool without connections. Close it to end its goroutines.
func NewPool(cfg PoolConfig, deps PoolDeps) *Pool {
	setDefault(&cfg.QueueLen, DefaultQueueLen)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.BackoffMin, DefaultBackoffMin)
	setDefault(&cfg.BackoffMax, DefaultBackoffMax)
	p := &Pool{
		cfg:     cfg,
		limits:  limitsOf(cfg.MaxFrame, cfg.Heartbeat, cfg.Silence),
		log:     deps.Log,
		traffic: deps.Traffic,
		dial:    deps.Dial,
		jitter:  deps.Jitter,
		peers:   make(map[string]*peer),
	}
	if p.log == nil {
		p.log = slog.New(slog.DiscardHandler)
	}
	if p.traffic == nil {
		p.traffic = NewTraffic(nil)
	}
	if p.dial == nil {
		p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	if p.jitter == nil {
		p.jitter = rand.Float64
	}
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	return p
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Traffic returns the pool's counters.
func (p *Pool) Traffic() *Traffic { return p.traffic }

// Close ends all connections and waits for the pool's goroutines. Calls that
// wait end with ErrLost or ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.done = true
	p.mu.Unlock()
	p.cancel(ErrClosed)
	p.work.Wait()
}

// OnLost has fn called, from a goroutine of its own, whenever a connection has
// ended other than by being idle or by Close. Notices that were written to it
// shortly before may not have arrived, and nobody else will say so.
func (p *Pool) OnLost(fn func(addr string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = append(p.lost, fn)
}

func (p *Pool) reportLost(addr string) {
	p.mu.Lock()
	fns := p.lost
	p.mu.Unlock()
	for _, fn := range fns {
		fn(addr)
	}
}

func (p *Pool) peer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return nil, ErrClosed
	}
	if pr, ok := p.peers[addr]; ok {
		return pr, nil
	}
	p.sweep()
	pr := &peer{pool: p, addr: addr, notices: make(chan outgoing, p.cfg.QueueLen)}
	pr.touch()
	p.peers[addr] = pr
	return pr, nil
}

// sweep forgets addresses that have no connection and were not used for long.
// Replaced instances come back under new addresses; without this each one ever
// called would keep its queue for the life of the process. The caller holds p.mu.
func (p *Pool) sweep() {
	for addr, pr := range p.peers {
		if !pr.live.Load() && pr.idle() >= p.cfg.IdleTimeout {
			delete(p.peers, addr)
		}
	}
}

// start runs fn unless the pool is closed.
func (p *Pool) start(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return false
	}
	p.work.Go(fn)
	return true
}

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

// clientConn is one dialled connection.
type clientConn struct {
	*conn
	peer *peer
	info PeerInfo

	mu      sync.Mutex // guards pending and closed
	pending map[uint64]*pendingCall
	closed  bool
}

func newClientConn(c *conn, pr *peer, info PeerInfo) *clientConn {
	pr.touch()
	return &clientConn{conn: c, peer: pr, info: info, pending: make(map[uint64]*pendingCall)}
}

func (c *clientConn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// run serves the connection until it ends, then lets its calls know.
func (c *clientConn) run() {
	stop := context.AfterFunc(c.ctx, func() { c.nc.Close() })
	defer stop()
	defer c.nc.Close()
	var writer sync.WaitGroup
	writer.Go(func() { c.cancel(c.writeLoop(c.peer.notices, c.retireIfIdle)) })
	c.cancel(c.readLoop(c.dispatch))
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	writer.Wait()
	c.peer.ended(c)
	cause := context.Cause(c.ctx)
	if !errors.Is(cause, ErrIdle) && !errors.Is(cause, ErrClosed) {
		c.peer.pool.log.Info("link lost", "address", c.peer.addr, "peer", c.info.ID, "err", cause)
		c.peer.pool.reportLost(c.peer.addr)
	}
	c.peer.redialForNotices()
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

// retireIfIdle closes the connection when nobody has used it for long. The
// check and the mark are one step under the lock, so no call can be added to a
// connection that is about to close.
func (c *clientConn) retireIfIdle() {
	if len(c.peer.notices) > 0 {
		c.peer.touch()
	}
	c.mu.Lock()
	retire := len(c.pending) == 0 && c.peer.idle() >= c.peer.pool.cfg.IdleTimeout
	if retire {
		c.closed = true
	}
	c.mu.Unlock()
	if retire {
		c.cancel(ErrIdle)
	}
}

func (c *clientConn) dispatch(f frame, size int) {
	if f.kind != kindResponse && f.kind != kindError {
		c.traffic.received(MethodControl, size)
		c.cancel(ErrMalformed)
		return
	}
	c.mu.Lock()
	call, ok := c.pending[f.id]
	delete(c.pending, f.id)
	c.mu.Unlock()
	if !ok {
		// The answer of a call that was given up in the meantime.
		c.traffic.received(MethodControl, size)
		return
	}
	c.traffic.received(call.method, size)
	call.answer <- f
}

// add registers a call. False: the connection is closing, take another.
func (c *clientConn) add(id uint64, call *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.peer.touch()
	c.pending[id] = call
	return true
}

func (c *clientConn) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
