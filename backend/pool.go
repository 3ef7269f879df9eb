package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Config bounds a Pool.
type Config struct {
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one server.
	MaxIdle int
	// BufferBytes is the size of a connection's read buffer. Memory at the peak is
	// this times the connections.
	BufferBytes int
}

// DefaultConfig returns the bounds for instances with a few hundred megabytes.
// A server of the same region accepts a connection in a millisecond; one that
// has not after half a second is down or cut off, and the caller's objective is
// about that long.
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
	idle map[string][]*conn // by address, the one used last at the end
}

// NewPool returns a pool without connections.
func NewPool(cfg Config, now func() time.Time) *Pool {
	return &Pool{cfg: cfg, dialer: newDialer(cfg.DialTimeout), now: now, idle: make(map[string][]*conn)}
}

// Dials returns how many connections have been opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// take returns a connection, idle or new.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if p.now().Before(c.reusableUntil()) && c.openAndEmpty() {
			return c, nil
		}
		_ = c.Close() // it was of no use any more
	}
	p.dials.Add(1)
	return dial(ctx, p.dialer, addr, p.cfg.BufferBytes)
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

// put takes a connection back after an answer that left it clean.
func (p *Pool) put(addr string, c *conn) {
	c.used = true
	c.idleSince = p.now()
	c.bytesWritten.Store(0)
	p.mu.Lock()
	list := p.idle[addr]
	full := len(list) >= p.cfg.MaxIdle
	if !full {
		p.idle[addr] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close() // no room for it
	}
}

// Forget closes the idle connections to a server that is gone. Its address may
// be another server's soon.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	closeAll(list)
}

// Sweep closes connections that will not be used again.
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
		_ = c.Close() // nothing was waiting on it
	}
}
