package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	rawConn      syscall.RawConn
	reader       *bufio.Reader
	bytesWritten atomic.Int64 // bytes of the current request written to the socket
	used         bool         // has carried a request before
	idleSince    time.Time
	idleTimeout  time.Duration // how long the server keeps an idle connection open
}

// Write writes p and counts the bytes: once one is written, the server may run the request.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes close a connection whose
	// peer no longer answers, for example because a NAT has dropped it, after three
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxUnacknowledged is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	maxUnacknowledged = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall lacks.
	tcpUserTimeout = 0x12
)

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		ControlContext: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Errors are ignored: keep-alive probes still
// detect an unreachable peer while no sent bytes are unacknowledged.
func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(maxUnacknowledged.Milliseconds()))
	})
}

func dial(ctx context.Context, d *net.Dialer, addr string, bufferBytes int) (*conn, error) {
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, reader: bufio.NewReaderSize(nc, bufferBytes), idleTimeout: defaultIdleTimeout}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.rawConn, err = sc.SyscallConn(); err != nil {
			return nil, errors.Join(err, nc.Close())
		}
	}
	return c, nil
}

// openAndEmpty reports whether an idle connection is open and has no unread bytes.
// Unread bytes belong to no pending request; the next caller would read them as its
// own answer.
func (c *conn) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	var buf [1]byte
	noData := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true // don't block
	})
	return err == nil && noData
}

// defaultIdleTimeout is the idle timeout assumed for a server that sends no
// Keep-Alive header.
const defaultIdleTimeout = 4 * time.Second

// reuseFraction is the fraction of the server's idle timeout during which a
// connection is reused. A request sent just as the server closes the connection
// fails without showing whether it ran.
const reuseFraction = 0.7

// serverIdleTimeout returns the idle timeout from the Keep-Alive header h, or
// defaultIdleTimeout.
func serverIdleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}

func (c *conn) reusableUntil() time.Time {
	return c.idleSince.Add(time.Duration(float64(c.idleTimeout) * reuseFraction))
}
