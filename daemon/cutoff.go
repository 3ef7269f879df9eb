package daemon

import (
	"io"
	"time"
)

const (
	// refusalTime is how long a client that is cut off may take to read its refusal.
	refusalTime = time.Second
	// unreadTime and unreadBytes bound what is read of a client that was refused while it was still sending.
	// Without it the connection would be reset, and the client lose its answer.
	unreadTime  = 250 * time.Millisecond
	unreadBytes = 256 << 10
)

// cutOff ends the connection to make room for others: what is being read fails at once, and what is being written
// soon. It does not block.
func (c *serverConn) cutOff() {
	defer c.set.onCut()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))              // fails only on a closed connection
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) // the same
}

func (c *serverConn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// linger says that the client has been answered before its request was read to its end. What it still sends is read
// for a bounded time: by net/http, or by Close if the connection ends. net/http decodes what it reads, which takes as
// long as a whole body if its chunks are small.
func (c *serverConn) linger(ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
	switch {
	case c.cut:
	case ends:
		c.cut = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	default:
		_ = c.Conn.SetReadDeadline(time.Now().Add(unreadTime)) // the same
	}
}

// endLinger ends the connection whose request has not come to its end in time: what comes later must not be taken for
// the next request.
func (c *serverConn) endLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = c.cut || c.lingers
}

// endsWithUnread reports, the first time, whether the connection ends under a request that was not read to its end.
func (c *serverConn) endsWithUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lingers := c.lingers
	c.lingers = false
	return lingers && !c.set.isClosing()
}

// discardUnread ends the sending side and reads what the client still sends.
func (c *serverConn) discardUnread() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(unreadTime)) != nil {
		return // the connection is closed already
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, unreadBytes)) // an error only ends it sooner
}
