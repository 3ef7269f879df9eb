package testutil

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// SlowLink is the link of an instance: its connections share what it carries.
type SlowLink struct {
	limiter *rate.Limiter
	read    atomic.Int64
}

// slowLinkBurstBytes is what a SlowLink carries at once.
const slowLinkBurstBytes = 64 << 10

// NewSlowLink returns a link of some bytes per second.
func NewSlowLink(bytesPerSecond int) *SlowLink {
	return &SlowLink{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), slowLinkBurstBytes)}
}

// Dial opens a TCP connection over the link.
func (l *SlowLink) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: nc, link: l}, nil
}

// BytesRead returns how many bytes were read from all connections.
func (l *SlowLink) BytesRead() int64 { return l.read.Load() }

// slowConn is a connection over a SlowLink. Only what it reads is limited.
type slowConn struct {
	net.Conn
	link *SlowLink
}

// Read reads a small chunk, at the rate of the link.
func (c *slowConn) Read(p []byte) (int, error) {
	const chunk = 4 << 10
	n, err := c.Conn.Read(p[:min(len(p), chunk)])
	c.link.read.Add(int64(n))
	_ = c.link.limiter.WaitN(context.Background(), n) // n is below the burst
	return n, err
}
