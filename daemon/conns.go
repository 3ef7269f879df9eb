package daemon

import (
	"net"
	"net/http"
	"sync"
)

// connSet holds the open connections of an HTTP server.
type connSet struct {
	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

func newConnSet() *connSet { return &connSet{conns: make(map[*serverConn]struct{})} }

// add returns the accepted connection as a member of the set.
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

// serverConn is a connection of an HTTP server that knows whether a request is in progress
// on it: from the first byte read until net/http has flushed the answer. net/http itself
// calls a connection idle until it has read a whole header.
type serverConn struct {
	net.Conn
	set *connSet

	mu   sync.Mutex
	busy bool // a request is in progress
}

// Read reads from the connection.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.set.remove(c)
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

func (c *serverConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
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
		c.setBusy(true)
	case http.StateIdle:
		c.setBusy(false)
	default:
	}
}
