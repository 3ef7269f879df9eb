package link

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a Pool.
const (
	DefaultNoticeQueueLen = 256
	DefaultIdleTimeout    = time.Minute
	DefaultBackoffMin     = 50 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
)

// PoolConfig configures a Pool. Zero limits and durations take the defaults.
type PoolConfig struct {
	Self              PeerInfo
	ClusterKey        []byte
	MaxFrame          int // bytes of payload
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration // also bounds a dial including its handshake
	NoticeQueueLen    int           // per address; Notify returns ErrBusy when the queue is full
	IdleTimeout       time.Duration // an unused connection is closed after it
	BackoffMin        time.Duration // delay after the first failed dial; doubles up to BackoffMax
	BackoffMax        time.Duration
}

// PoolDeps holds the dependencies of a Pool. All are optional.
type PoolDeps struct {
	Log     *slog.Logger
	Traffic *Traffic
	Dial    func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	Jitter  func() float64                                           // in [0,1); nil: math/rand/v2
}

// Pool holds one connection to each address that is called. Connections are
// dialled on demand and closed when idle.
type Pool struct {
	cfg     PoolConfig
	limits  connLimits
	log     *slog.Logger
	traffic *Traffic
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	jitter  func() float64

	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
	nextID     atomic.Uint64

	mu           sync.Mutex // guards the fields below; never held while a peer's lock is
	peers        map[string]*peer
	closed       bool
	onDisconnect []func(addr string)
}

// NewPool returns a pool without connections. Close must be called to end its
// goroutines.
func NewPool(cfg PoolConfig, deps PoolDeps) *Pool {
	setDefault(&cfg.NoticeQueueLen, DefaultNoticeQueueLen)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.BackoffMin, DefaultBackoffMin)
	setDefault(&cfg.BackoffMax, DefaultBackoffMax)
	p := &Pool{
		cfg:     cfg,
		limits:  limitsWithDefaults(cfg.MaxFrame, cfg.HeartbeatInterval, cfg.HeartbeatTimeout),
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

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Traffic returns the pool's counters.
func (p *Pool) Traffic() *Traffic { return p.traffic }

// Close ends all connections and waits for the pool's goroutines. Pending calls
// fail with ErrOutcomeUnknown or ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel(ErrClosed)
	p.goroutines.Wait()
}

// OnDisconnect registers fn to be called after a connection has ended, except by
// IdleTimeout or Close. fn runs on the goroutine of that connection and must not
// call Close. Notices written shortly before may be lost, and nothing else reports
// that.
func (p *Pool) OnDisconnect(fn func(addr string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onDisconnect = append(p.onDisconnect, fn)
}

func (p *Pool) callOnDisconnect(addr string) {
	p.mu.Lock()
	fns := p.onDisconnect
	p.mu.Unlock()
	for _, fn := range fns {
		fn(addr)
	}
}

// peer returns the peer of addr; it adds one if there is none.
func (p *Pool) peer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if pr, ok := p.peers[addr]; ok {
		return pr, nil
	}
	p.removeIdlePeers()
	pr := &peer{pool: p, addr: addr, notices: make(chan outgoing, p.cfg.NoticeQueueLen)}
	pr.touch()
	p.peers[addr] = pr
	return pr, nil
}

// removeIdlePeers removes the addresses without a connection that were unused for
// IdleTimeout. Replaced instances have new addresses, so the queues of the old ones
// would otherwise accumulate. The caller holds p.mu.
func (p *Pool) removeIdlePeers() {
	for addr, pr := range p.peers {
		if !pr.active.Load() && pr.idleTime() >= p.cfg.IdleTimeout {
			delete(p.peers, addr)
		}
	}
}

// goUnlessClosed runs fn on a goroutine of the pool and returns true, or returns
// false if the pool is closed.
func (p *Pool) goUnlessClosed(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.goroutines.Go(fn)
	return true
}
