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

// conn is one connection to a server, used by one request at a time.
type conn struct {
	net.Conn
	rawConn      syscall.RawConn
	reader       *bufio.Reader
	bytesWritten atomic.Int64 // bytes handed to the kernel for the current request
	used         bool         // has carried a request before
	idleSince    time.Time
	idleTimeout  time.Duration // how long the server keeps it open idle
}

// Write counts what is written: as soon as one byte is out, the request may run.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

const (
	// keepAliveIdle, keepAliveEvery and keepAliveTries find a connection that has
	// gone silent because something between the ends has forgotten it: within
	// three seconds, less than a caller's usual patience.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unacknowledged bounds how long sent bytes may stay without acknowledgement.
	maxUnacknowledged = 3 * time.Second
	// tcpUserTimeout is the socket option of RFC 5482, which package syscall lacks.
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

// setUserTimeout is best effort: without it the keep-alive probes still find a
// silent connection on which nothing waits to be acknowledged.
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

// quiet reports whether an idle connection is still open with nothing on it.
// Bytes that arrived while no request was waiting belong to no request; taken
// for the next one's answer, a caller would get somebody else's.
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
		return true // never wait
	})
	return err == nil && noData
}

// defaultKeep is how long an idle connection is used again where the server
// doesn't say how long it keeps one.
const defaultIdleTimeout = 4 * time.Second

// keepPart is the part of the server's own timeout after which a connection is
// not used again: a request that crosses the server's close may have run or not.
const reuseFraction = 0.7

// keepTime returns how long the server keeps the connection open idle.
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
