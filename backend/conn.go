package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"savoryreel.example/savoryreel/link"
)

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	bound        *boundedReader // below reader
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

// newConn returns a connection that carries no call yet.
func newConn(nc net.Conn, bufferBytes int) *conn {
	bound := &boundedReader{r: nc}
	return &conn{Conn: nc, bound: bound, reader: bufio.NewReaderSize(bound, bufferBytes), idleTimeout: defaultIdleTimeout}
}

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
	// maxDiscardedBytes bounds what is read of a body only so that its connection can be used again.
	maxDiscardedBytes = 64 << 10
)

// errTooLong reports a head, or a body that nobody needs, without an end in sight.
var errTooLong = errors.New("too many bytes before the end")

// boundedReader fails with errTooLong after a number of bytes, while it is bound.
type boundedReader struct {
	r     io.Reader
	bound bool
	left  int
}

// bindTo bounds the bytes that are read from now on.
func (b *boundedReader) bindTo(n int) { b.bound, b.left = true, n }

func (b *boundedReader) unbind() { b.bound = false }

// Read reads at most what the bound leaves.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bound {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Unread bytes belong to no pending request; the next caller would read them as its
// own answer.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if p, ok := c.Conn.(pathConn); ok {
		return p.Idle()
	}
	return link.OpenAndEmpty(c.Conn)
}

// pathConn is a connection that knows the path that it is on. Those of package reach are.
type pathConn interface {
	// Idle reports whether a further exchange may begin on the connection: it is open, has no unread
	// bytes and is on the path that is in use.
	Idle() bool
	// Direct reports whether it is on the own path to the server, not through another entry.
	Direct() bool
	// SetRepeatable sets whether the exchange that begins may be sent again. The connection is
	// closed if its path turns out to be lost before the answer begins.
	SetRepeatable(repeatable bool)
}

// direct reports whether the connection is on the own path to the server, not through another entry.
func (c *conn) direct() bool {
	p, ok := c.Conn.(pathConn)
	return !ok || p.Direct()
}

// setRepeatable sets whether the call that begins may be sent again.
func (c *conn) setRepeatable(repeatable bool) {
	if p, ok := c.Conn.(pathConn); ok {
		p.SetRepeatable(repeatable)
	}
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
