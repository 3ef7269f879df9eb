package link

import (
	"context"
	"errors"
	"sync"
)

// clientConn is the dialling end of a connection.
type clientConn struct {
	*conn
	peer     *peer
	peerInfo PeerInfo

	mu      sync.Mutex // guards pending and closed
	pending map[uint64]*pendingCall
	closed  bool
}

func newClientConn(c *conn, pr *peer, info PeerInfo) *clientConn {
	pr.touch()
	return &clientConn{conn: c, peer: pr, peerInfo: info, pending: make(map[uint64]*pendingCall)}
}

// isOpen reports whether calls can still be added.
func (c *clientConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// run serves the connection until it ends, which also ends its pending calls.
func (c *clientConn) run() {
	stop := context.AfterFunc(c.ctx, func() { c.nc.Close() })
	defer stop()
	defer c.nc.Close()
	var writer sync.WaitGroup
	writer.Go(func() { c.cancel(c.writeLoop(c.peer.notices, c.closeIfIdle)) })
	c.cancel(c.readLoop(c.dispatch))
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	writer.Wait()
	c.peer.clearConn(c)
	cause := context.Cause(c.ctx)
	if !errors.Is(cause, ErrIdle) && !errors.Is(cause, ErrClosed) {
		c.peer.pool.log.Info("link connection ended", "address", c.peer.addr, "peer", c.peerInfo.ID, "err", cause)
		c.peer.pool.callOnDisconnect(c.peer.addr)
	}
	c.peer.redialForNotices()
}

// closeIfIdle closes the connection if it was unused for IdleTimeout. It checks
// and sets closed under one lock, so that no call is added to a connection that is
// about to close.
func (c *clientConn) closeIfIdle() {
	if len(c.peer.notices) > 0 {
		c.peer.touch()
	}
	c.mu.Lock()
	unused := len(c.pending) == 0 && c.peer.idleTime() >= c.peer.pool.cfg.IdleTimeout
	if unused {
		c.closed = true
	}
	c.mu.Unlock()
	if unused {
		c.cancel(ErrIdle)
	}
}

// dispatch delivers an answer to its pending call.
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
		// The caller no longer waits for this answer.
		c.traffic.received(MethodControl, size)
		return
	}
	c.traffic.received(call.method, size)
	call.answer <- f
}

// addCall registers a call. It returns false if the connection is closed; the
// caller then needs another connection.
func (c *clientConn) addCall(id uint64, call *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.peer.touch()
	c.pending[id] = call
	return true
}

func (c *clientConn) removeCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
