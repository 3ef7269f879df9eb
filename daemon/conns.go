package daemon

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"savoryreel.example/savoryreel/intake"
)

// connSet holds the open connections of an HTTP server.
type connSet struct {
	onCut func() // called after a connection was cut off to make room

	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	ending  bool // see end
	closing bool // all connections are closed at once
}

func newConnSet() *connSet { return &connSet{conns: make(map[*serverConn]struct{})} }

// add returns the accepted connection of a client as a member of the set.
func (s *connSet) add(nc net.Conn) *serverConn {
	c := &serverConn{Conn: nc, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *connSet) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// end closes the connections without a request, and the others once theirs has ended.
func (s *connSet) end() {
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	for _, c := range s.list() {
		c.endIfIdle(false)
	}
}

// closeAtOnce makes connections close without waiting for what their clients still send: they are closed one after the
// other.
func (s *connSet) closeAtOnce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

func (s *connSet) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *connSet) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// list returns the open connections.
func (s *connSet) list() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// counts returns the number of open connections, and of those with a request in progress.
func (s *connSet) counts() (open, busy int) {
	list := s.list()
	for _, c := range list {
		if c.inRequest() {
			busy++
		}
	}
	return len(list), busy
}

// lastReadWait is how long a connection that is about to end waits for a request. A caller
// that has just connected sends one within that time.
const lastReadWait = 40 * time.Millisecond

// serverConn is a connection of an HTTP server that knows whether a request is in progress
// on it: from the first byte read until net/http has flushed the answer. net/http itself
// calls a connection idle until it has read a whole header, and http.Server.Shutdown drops
// the request that it is reading then.
//
// A connection without a request ends by a read timeout, never by Close: a request that has
// been read is then always passed on to the handler and answered.
type serverConn struct {
	net.Conn
	set    *connSet
	client *intake.Client

	mu       sync.Mutex
	cut      bool      // cut off to make room for others: there are no further reads
	lingers  bool      // see linger
	busy     bool      // a request is in progress
	ending   bool      // ends unless a last read brings a request
	lastRead bool      // there is no further read
	deadline time.Time // of reads, as net/http has set it
}

// Read reads from the connection.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.isCut() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastRead() {
		n, err = c.Conn.Read(p)
	}
	if err != nil {
		c.endLinger()
	}
	if n > 0 {
		c.client.Received(n)
		c.beginRequest()
	}
	return n, err
}

// pieceBytes is how much is written at once, so that it shows whether the client goes on reading.
const pieceBytes = 16 << 10

// Write writes to the connection.
func (c *serverConn) Write(p []byte) (written int, err error) {
	for {
		sent := c.client.Sending()
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		sent(n)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline sets the deadline of reads, except on a connection that is ending.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.cut || c.ending && !c.busy {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *serverConn) Close() error {
	if c.endsWithUnread() {
		c.discardUnread()
	}
	c.set.remove(c)
	defer c.client.Closed()
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side. net/http uses it so that a last answer is not lost
// by a reset if the client is still sending.
func (c *serverConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *serverConn) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// endIfIdle ends the connection unless a request is in progress: the pending read fails. A
// last read follows, unless the connection has just carried its last answer.
func (c *serverConn) endIfIdle(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.ending, c.lastRead = true, c.lastRead || answered
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// beginLastRead reports whether the connection is to be read once more, since a request may
// have arrived before it was ended.
func (c *serverConn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut || !c.ending || c.busy || c.lastRead {
		return false
	}
	c.lastRead = true
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadWait)) == nil
}

func (c *serverConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.busy = true
	if c.ending {
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only on a closed connection
	}
}

func (c *serverConn) endRequest() {
	c.mu.Lock()
	c.busy, c.lingers = false, false
	c.mu.Unlock()
	if c.set.isEnding() {
		c.endIfIdle(true)
	}
}

// onState follows the states of a connection; it is the ConnState of an http.Server. A
// pipelined request is in net/http's buffer already, so that no Read announces it.
func onState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.client.HeaderEnded()
		c.beginRequest()
	case http.StateIdle:
		c.client.Idle()
		c.endRequest()
	default:
	}
}
