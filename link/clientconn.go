package link

import (
	"context"
	"errors"
	"sync"
)

// clientConn is one dialled connection.
type clientConn struct {
	*conn
	peer *peer
	info PeerInfo

	mu      sync.Mutex // guards pending and closed
	pending map[uint64]*pendingCall
	closed  bool
}

func newClientConn(c *conn, pr *peer, info PeerInfo) *clientConn {
	pr.touch()
	return &clientConn{conn: c, peer: pr, info: info, pending: make(map[uint64]*pendingCall)}
}

func (c *clientConn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// run serves the connection until it ends, then lets its calls know.
func (c *clientConn) run() {
	stop := context.AfterFunc(c.ctx, func() { c.nc.Close() })
	defer stop()
	defer c.nc.Close()
	var writer sync.WaitGroup
	writer.Go(func() { c.cancel(c.writeLoop(c.peer.notices, c.retireIfIdle)) })
	c.cancel(c.readLoop(c.dispatch))
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	writer.Wait()
	c.peer.ended(c)
	cause := context.Cause(c.ctx)
	if !errors.Is(cause, ErrIdle) && !errors.Is(cause, ErrClosed) {
		c.peer.pool.log.Info("link lost", "address", c.peer.addr, "peer", c.info.ID, "err", cause)
		c.peer.pool.reportLost(c.peer.addr)
	}
	c.peer.redialForNotices()
}

// retireIfIdle closes the connection when nobody has used it for long. The
// check and the mark are one step under the lock, so no call can be added to a
// connection that is about to close.
func (c *clientConn) retireIfIdle() {
	if len(c.peer.notices) > 0 {
		c.peer.touch()
	}
	c.mu.Lock()
	retire := len(c.pending) == 0 && c.peer.idle() >= c.peer.pool.cfg.IdleTimeout
	if retire {
		c.closed = true
	}
	c.mu.Unlock()
	if retire {
		c.cancel(ErrIdle)
	}
}

func (c *clientConn) dispatch(f frame, size int) {
	if f.kind != kindResponse && f.kind != kindError {
		c.traffic.received(MethodControl, size)
		c.cancel(ErrMalformed)
		return
	}
	c.mu.Lock()
	call, ok := c.pending[f.id]
	delete(c.pending, f.id)
	c.mu.Unlock()
	if !ok {
		// The answer of a call that was given up in the meantime.
		c.traffic.received(MethodControl, size)
		return
	}
	c.traffic.received(call.method, size)
	call.answer <- f
}

// add registers a call. False: the connection is closing, take another.
func (c *clientConn) add(id uint64, call *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.peer.touch()
	c.pending[id] = call
	return true
}

func (c *clientConn) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
