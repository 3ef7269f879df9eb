package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// directDialer dials without a path of another entry.
type directDialer struct{ net.Dialer }

func (d *directDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

func (d *directDialer) Alive(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.Dial(ctx, addr)
}

func newTestPool(now func() time.Time) *Pool {
	return NewPool(DefaultConfig(), &directDialer{net.Dialer{Timeout: 500 * time.Millisecond}}, now)
}
