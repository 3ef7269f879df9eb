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
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per server.
	MaxIdle int
	// BufferBytes is the size of the read buffer of one connection.
	BufferBytes int
}

// DefaultConfig returns limits for an instance with a few hundred megabytes of
// memory and servers in the same region.
func DefaultConfig() Config {
	return Config{DialTimeout: 500 * time.Millisecond, MaxIdle: 64, BufferBytes: 4 << 10}
}

// Pool holds the idle connections to all servers. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer *net.Dialer
	now    func() time.Time
	dials  atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
}

// NewPool returns a pool without connections.
func NewPool(cfg Config, now func() time.Time) *Pool {
	return &Pool{cfg: cfg, dialer: newDialer(cfg.DialTimeout), now: now, idle: make(map[string][]*conn)}
}

// Dials returns how many connections have been opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// get returns an idle connection that can be reused, or dials a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if p.now().Before(c.reusableUntil()) && c.openAndEmpty() {
			return c, nil
		}
		_ = c.Close() // expired or closed by the server
	}
	p.dials.Add(1)
	return dial(ctx, p.dialer, addr, p.cfg.BufferBytes)
}

// Alive reports whether the server at addr holds an idle connection open, or takes a new one
// within timeout, which is kept for later calls.
func (p *Pool) Alive(ctx context.Context, addr string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.get(ctx, addr)
	if err != nil {
		return false
	}
	p.putUnused(addr, c)
	return true
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

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // an error on an idle connection affects no request
	}
}
