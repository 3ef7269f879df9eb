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
