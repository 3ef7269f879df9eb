package intake

import (
	"container/list"
	"context"
	"time"
)

// state is what a client's connection is doing.
type state int

const (
	stateHeader  state = iota + 1 // the header of a request has not ended, or an answer is being flushed
	stateIdle                     // the last request has been answered
	stateRequest                  // a request is in progress
	stateWaiting                  // a header has ended, and its request has no place among those in progress
	stateClosed
)

// plainHeader is the size of a header up to which a connection takes no more than ConnectionBytes.
const plainHeader = 4 << 10

// longHeaderFraction of the connections may have larger headers that have not ended.
const longHeaderFraction = 0.25

// Client is the connection of a client. The HTTP server reports its state changes by the methods.
type Client struct {
	gate *Gate
	cut  func()
	pace *pace

	// All below is guarded by gate.intake.mu.
	state       state
	since       time.Time // of state
	element     *list.Element
	headerBytes int   // of the header that has not ended
	long        bool  // headerBytes is above plainHeader
	claimed     int64 // bytes of the request's body
	ended       bool  // cut off
}

// place changes the client's state. The lock must be held.
func (c *Client) place(s state, now time.Time) {
	g := c.gate
	c.leaveList()
	if c.state == stateRequest {
		delete(g.requests, c)
		if c.ended {
			g.leaving--
		}
	}
	if c.state == stateClosed {
		return
	}
	c.state, c.since = s, now
	switch {
	case s == stateRequest:
		g.requests[c] = struct{}{}
		if c.ended {
			g.leaving++
		}
	case c.ended:
	case s == stateHeader:
		c.element = g.headers.PushBack(c)
	case s == stateIdle:
		c.element = g.idle.PushBack(c)
	}
}

// leaveList removes the client from the list that it is in.
func (c *Client) leaveList() {
	if c.element != nil {
		// Remove does nothing for an element of another list.
		c.gate.idle.Remove(c.element)
		c.gate.headers.Remove(c.element)
		c.element = nil
	}
	if c.long {
		c.long = false
		c.gate.long--
	}
	c.headerBytes = 0
}

// Received says that bytes of a header, which has not ended, have arrived.
func (c *Client) Received(n int) {
	in := c.gate.intake
	in.mu.Lock()
	now := in.now()
	if c.state == stateIdle {
		c.place(stateHeader, now)
	}
	var victim *Client
	if c.state == stateHeader && !c.ended {
		victim = c.growHeader(n)
	}
	in.mu.Unlock()
	if victim != nil {
		victim.end()
	}
}

// growHeader counts n bytes of the header. It returns a client to cut off if too many have large headers.
func (c *Client) growHeader(n int) *Client {
	g := c.gate
	c.headerBytes += n
	if c.long || c.headerBytes <= plainHeader {
		return nil
	}
	c.long = true
	g.long++
	if g.long <= max(1, int(float64(g.maxOpen)*longHeaderFraction)) {
		return nil
	}
	for e := g.headers.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*Client); other.long {
			return g.condemn(other)
		}
	}
	return nil
}

// HeaderEnded says that the header of a request has ended.
func (c *Client) HeaderEnded() { c.move(stateWaiting) }

// Idle says that the request has been answered and the connection stays open.
func (c *Client) Idle() { c.move(stateIdle) }

func (c *Client) move(s state) {
	in := c.gate.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.state != stateRequest || s == stateIdle {
		c.place(s, in.now())
	}
}

// Begin gives the request a place among those in progress, or returns a *RefusedError. End must be called in
// either case.
func (c *Client) Begin(ctx context.Context) error {
	if err := c.gate.begin(ctx, c); err != nil {
		return &RefusedError{Cause: err}
	}
	return nil
}

// End says that the request has been handled: it gives back its place and its room.
func (c *Client) End() {
	in := c.gate.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	c.giveBack()
	c.place(stateHeader, in.now())
	in.release()
}

// giveBack returns the claimed bytes. The lock must be held.
func (c *Client) giveBack() {
	c.gate.intake.claimed -= c.claimed
	c.claimed = 0
}

// Closed says that the connection has been closed. Calls after the first do nothing.
func (c *Client) Closed() {
	g, in := c.gate, c.gate.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.state == stateClosed {
		return
	}
	c.giveBack()
	c.place(stateClosed, in.now())
	c.state = stateClosed
	g.open--
	if c.ended {
		g.ending--
	}
	in.release()
}

// end ends the connection of a client that has been condemned. Call it without the lock.
func (c *Client) end() { c.cut() }

// IsCut reports whether the client was cut off to make room.
func (c *Client) IsCut() bool {
	c.gate.intake.mu.Lock()
	defer c.gate.intake.mu.Unlock()
	return c.ended
}

// Sending says that the process begins to send bytes to the client; the result is to be called with their number
// once they are sent.
func (c *Client) Sending() (sent func(n int)) {
	start := c.gate.intake.now()
	c.pace.begin(start)
	return func(n int) { c.pace.moved(start, c.gate.intake.now(), n) }
}

type contextKey struct{}

// WithClient returns a context with the client whose request is handled in it.
func WithClient(ctx context.Context, c *Client) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the client whose request is handled in ctx, nil if there is none.
func FromContext(ctx context.Context) *Client {
	c, _ := ctx.Value(contextKey{}).(*Client)
	return c
}
