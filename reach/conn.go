package reach

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/path"
	"savoryreel.example/savoryreel/tunnel"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes close a connection whose peer no longer
	// answers, for example because a NAT has dropped it, after three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxUnacknowledged is how long sent bytes and keep-alive probes may stay unacknowledged before
	// the kernel closes the connection. A server may be silent for a second or so and go on.
	maxUnacknowledged = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT (RFC 5482), which package syscall lacks.
	tcpUserTimeout = 0x12
)

func newDirectDialer(timeout time.Duration) *net.Dialer {
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

// directConn is a connection on the own path, which reports the signs that it sees.
type directConn struct {
	net.Conn
	dialer *Dialer
	addr   string

	mu         sync.Mutex
	waiting    bool // bytes were sent and none received since
	sentAt     time.Time
	silence    *time.Timer // runs while waiting
	answered   bool        // bytes were received before
	repeatable bool        // what was sent may be sent again
	closedHere bool
}

// Write sends bytes and waits for a sign of the server.
func (c *directConn) Write(p []byte) (int, error) {
	c.beginWaiting()
	return c.Conn.Write(p)
}

// Read receives bytes of the server.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n > 0:
		c.heard()
	case err != nil:
		c.ended(err)
	}
	return n, err
}

// Close closes the connection. If the server has not begun to answer, the connection is reset: what it
// has not received yet must not reach it later, when nobody waits for the answer.
func (c *directConn) Close() error {
	c.mu.Lock()
	unanswered := c.waiting
	c.closedHere = true
	c.stopWaiting()
	c.mu.Unlock()
	c.dialer.forget(c)
	if unanswered {
		discardUnsent(c.Conn)
	}
	return c.Conn.Close()
}

// discardUnsent makes the kernel drop what was not delivered when the connection is closed.
func discardUnsent(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// staysOpen returns nil if the server does not end the new connection at once, and closes it otherwise.
func (c *directConn) staysOpen() error {
	if err := staysOpen(c.Conn); err != nil {
		_ = c.Close()
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// Idle reports whether a further exchange may begin on the connection: it is open, has no unread bytes,
// which would belong to no exchange, and is on the path that is in use.
func (c *directConn) Idle() bool { return c.Usable() && link.OpenAndEmpty(c.Conn) }

// Usable reports whether the connection is on the path that is in use.
func (c *directConn) Usable() bool { return !c.dialer.Lost() }

// Direct reports whether the connection is on the entry's own path.
func (c *directConn) Direct() bool { return true }

// SetRepeatable sets whether the exchange that begins may be sent again, if the path gets lost before
// its answer has begun.
func (c *directConn) SetRepeatable(repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repeatable = repeatable
}

func (c *directConn) beginWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting || c.closedHere {
		return
	}
	c.waiting, c.sentAt = true, c.dialer.deps.Now()
	if c.silence == nil {
		c.silence = time.AfterFunc(path.SilenceLimit, c.silent)
	} else {
		c.silence.Reset(path.SilenceLimit)
	}
}

// stopWaiting ends the wait for a sign. c.mu is held.
func (c *directConn) stopWaiting() {
	if c.waiting {
		c.waiting = false
		c.silence.Stop()
	}
}

func (c *directConn) heard() {
	c.mu.Lock()
	c.stopWaiting()
	isNew := !c.answered
	c.answered = true
	c.mu.Unlock()
	c.dialer.heard(isNew)
}

// ended records that the connection has ended, other than by this process.
func (c *directConn) ended(err error) {
	c.mu.Lock()
	brokeOff, isNew := c.waiting && !c.closedHere, !c.answered
	c.stopWaiting()
	c.mu.Unlock()
	if brokeOff && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT)) {
		c.dialer.brokeOff(c.addr, isNew)
	}
}

// silent is called when nothing was received for path.SilenceLimit after bytes were sent.
func (c *directConn) silent() {
	c.mu.Lock()
	waiting, sentAt := c.waiting, c.sentAt
	c.mu.Unlock()
	if waiting {
		c.dialer.silent(c.addr, sentAt)
	}
}

// abandon closes the connection if what it carries may be sent again.
func (c *directConn) abandon() {
	c.mu.Lock()
	abandoned := c.repeatable
	c.mu.Unlock()
	if abandoned {
		discardUnsent(c.Conn)
		_ = c.Conn.Close() // fails only on a closed connection
	}
}

// newDirectConn returns a connection on the own path.
func (d *Dialer) newDirectConn(nc net.Conn, addr string) *directConn {
	c := &directConn{Conn: nc, dialer: d, addr: addr}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.direct[c] = struct{}{}
	return c
}

func (d *Dialer) forget(c *directConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.direct, c)
}

// abandonRepeatable closes the connections whose exchanges may be sent again: on a path that is silent
// their answers don't go on.
func (d *Dialer) abandonRepeatable() {
	d.mu.Lock()
	list := slices.Collect(maps.Keys(d.direct))
	d.mu.Unlock()
	for _, c := range list {
		c.abandon()
	}
}

func (d *Dialer) dialled() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Dialled(d.deps.Now())
}

func (d *Dialer) heard(isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Heard(isNew, d.deps.Now())
}

// brokeOff records that a connection broke off before its answer began.
func (d *Dialer) brokeOff(addr string, isNew bool) {
	d.mu.Lock()
	checkNeeded := d.tracker.BrokeOff(addr, isNew, d.deps.Now())
	d.mu.Unlock()
	if checkNeeded {
		go d.runCheck(context.Background(), addr, answers)
	}
}

// silent records that nothing was received for path.SilenceLimit after bytes were sent at a time.
func (d *Dialer) silent(addr string, sentAt time.Time) {
	d.mu.Lock()
	checkNeeded := d.tracker.Silent(sentAt, d.deps.Now())
	d.mu.Unlock()
	if checkNeeded {
		d.runCheck(context.Background(), addr, answers)
	}
}

// peerConn is a connection through another entry.
type peerConn struct {
	*tunnel.Conn
	dialer *Dialer
}

// Idle reports whether a further exchange may begin on the connection. Once the own path is back, that
// is used.
func (c *peerConn) Idle() bool { return c.Usable() && c.Conn.Idle() }

// Usable reports whether the connection is on the path that is in use.
func (c *peerConn) Usable() bool { return c.dialer.Lost() }

// Direct reports whether the connection is on the entry's own path.
func (c *peerConn) Direct() bool { return false }

// SetRepeatable does nothing: a tunnel ends by itself when the path of the entry that carries it is lost.
func (c *peerConn) SetRepeatable(bool) {}
