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

// PoolConfig sets up a Pool. Zero values of the bounds take the defaults.
type PoolConfig struct {
	Self              PeerInfo
	ClusterKey        []byte
	MaxFrame          int
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration // also bounds a dial with its handshake
	NoticeQueueLen    int           // notices that wait for one address
	IdleTimeout       time.Duration // a connection without calls and notices for so long is closed
	BackoffMin        time.Duration // pause after a first failed dial; doubles up to BackoffMax
	BackoffMax        time.Duration
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
	limits  connLimits
	log     *slog.Logger
	traffic *Traffic
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	jitter  func() float64

	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
	nextID     atomic.Uint64

	mu           sync.Mutex // guards all below; never held together with a peer's lock
	peers        map[string]*peer
	closed       bool
	onDisconnect []func(addr string)
}

// NewPool returns a pool without connections. Close it to end its goroutines.
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

// Close ends all connections and waits for the pool's goroutines. Calls that
// wait end with ErrLost or ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel(ErrClosed)
	p.goroutines.Wait()
}

// OnDisconnect has fn called, from a goroutine of its own, whenever a connection has
// ended other than by being idle or by Close. Notices that were written to it
// shortly before may not have arrived, and nobody else will say so.
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

// removeIdlePeers forgets addresses that have no connection and were not used for long.
// Replaced instances come back under new addresses; without this each one ever
// called would keep its queue for the life of the process. The caller holds p.mu.
func (p *Pool) removeIdlePeers() {
	for addr, pr := range p.peers {
		if !pr.active.Load() && pr.idleTime() >= p.cfg.IdleTimeout {
			delete(p.peers, addr)
		}
	}
}

// goUnlessClosed runs fn unless the pool is closed.
func (p *Pool) goUnlessClosed(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.goroutines.Go(fn)
	return true
}
