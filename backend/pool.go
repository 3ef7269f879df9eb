package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the limits of a Pool.
type Config struct {
	// MaxIdle is the maximum number of idle connections per server.
	MaxIdle int
	// BufferBytes is the size of the read buffer of one connection.
	BufferBytes int
}

// DefaultConfig returns limits for an instance with a few hundred megabytes of
// memory and servers in the same region.
func DefaultConfig() Config {
	return Config{MaxIdle: 64, BufferBytes: 4 << 10}
}

// Dialer opens connections to servers. reach.Dialer implements it.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Alive opens a connection to learn whether the server lives, for which it may take no longer
	// than timeout on the own path.
	Alive(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)
}

// Pool holds the idle connections to all servers. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer Dialer
	now    func() time.Time
	dials  atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
}

// NewPool returns a pool without connections.
func NewPool(cfg Config, dialer Dialer, now func() time.Time) *Pool {
	return &Pool{cfg: cfg, dialer: dialer, now: now, idle: make(map[string][]*conn)}
}

// Dials returns how many connections have been opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns an idle connection that can be reused, or dials a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	if c := p.getIdle(addr); c != nil {
		return c, nil
	}
	p.dials.Add(1)
	nc, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, p.cfg.BufferBytes), nil
}

// getIdle returns an idle connection that can be reused; nil if there is none.
func (p *Pool) getIdle(addr string) *conn {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return nil
		}
		if p.now().Before(c.reusableUntil()) && c.reusable() {
			return c
		}
		_ = c.Close() // expired or closed by the server
	}
}

// Alive returns nil if the server at addr holds an idle connection open, or takes a new one, which is
// kept for later calls. On the own path that may take no longer than timeout.
func (p *Pool) Alive(ctx context.Context, addr string, timeout time.Duration) error {
	if c := p.getIdle(addr); c != nil {
		p.putUnused(addr, c)
		return nil
	}
	p.dials.Add(1)
	nc, err := p.dialer.Alive(ctx, addr, timeout)
	if err != nil {
		return err
	}
	p.putUnused(addr, newConn(nc, p.cfg.BufferBytes))
	return nil
}

func (p *Pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put returns a connection that has carried a call to the pool, or closes it if MaxIdle is
// reached.
func (p *Pool) put(addr string, c *conn) {
	c.used = true
	c.idleSince = p.now()
	c.bytesWritten.Store(0)
	p.store(addr, c)
}

// putUnused returns a connection that has carried no call since it left the pool or was opened.
// The server counts its idle time from before.
func (p *Pool) putUnused(addr string, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = p.now()
	}
	p.store(addr, c)
}

func (p *Pool) store(addr string, c *conn) {
	p.mu.Lock()
	list := p.idle[addr]
	full := len(list) >= p.cfg.MaxIdle
	if !full {
		p.idle[addr] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to addr. Call it when a server leaves: its
// address may be reused by another one.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

// CloseAllIdle closes all idle connections. Call it when the path to the servers has changed, and at
// the end.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

// Sweep closes the idle connections that have expired. Call it periodically.
func (p *Pool) Sweep() {
	now := p.now()
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		usable := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil()) {
				usable = append(usable, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[addr] = usable
		if len(usable) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	closeAll(expired)
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // an error on an idle connection affects no request
	}
}
