package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// RefusedError reports that a process has no room for a request. The request has not run.
type RefusedError struct{ Cause error }

func (e *RefusedError) Error() string { return "no room for the request: " + e.Cause.Error() }

func (e *RefusedError) Unwrap() error { return e.Cause }

// Causes of a RefusedError.
var (
	errCut    = errors.New("its client was behind while others needed the room")
	errNoRoom = errors.New("other requests take the room for bodies")
)

// TooLargeError reports a body that never fits into this process.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than the %d bytes that this process has room for", e.Limit)
}

// Claim claims room for n more bytes until the request ends. It waits for a bounded time while there is none. It
// returns a *TooLargeError if the client would hold more than there is room, and else a *RefusedError.
func (c *Client) Claim(ctx context.Context, n int64) error {
	in := c.gate.intake
	in.mu.Lock()
	fits := c.claimed+n <= in.limits.BodyBytes
	in.tickets++
	ticket := in.tickets
	if fits {
		in.queue = append(in.queue, ticket)
	}
	in.mu.Unlock()
	if !fits {
		return &TooLargeError{Limit: in.limits.BodyBytes}
	}
	claimed := c.awaitRoom(ctx, ticket, n)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.queue = slices.DeleteFunc(in.queue, func(t int64) bool { return t == ticket })
	in.release() // the next in the queue may go on
	if claimed {
		return nil
	}
	c.gate.counts.Refused++
	if c.ended {
		return &RefusedError{Cause: errCut}
	}
	return &RefusedError{Cause: errNoRoom}
}

// ClaimWork claims room for n bytes that are made of the request's body in ctx, at most what a client may hold. It
// returns nil without a client.
func ClaimWork(ctx context.Context, n int64) error {
	c := FromContext(ctx)
	if c == nil {
		return nil
	}
	in := c.gate.intake
	in.mu.Lock()
	n = min(n, in.limits.BodyBytes-c.claimed)
	in.mu.Unlock()
	if n <= 0 {
		return nil
	}
	return c.Claim(ctx, n)
}

// TryClaim claims room for n bytes of the answer to the request in ctx, if there is room and nobody waits for it. It
// reports true without a client.
func TryClaim(ctx context.Context, n int64) bool {
	c := FromContext(ctx)
	return c == nil || c.tryClaim(n)
}

func (c *Client) tryClaim(n int64) bool {
	in := c.gate.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.ended || len(in.queue) > 0 || in.claimed+n > in.limits.BodyBytes {
		return false
	}
	in.claimed += n
	c.claimed += n
	return true
}

// awaitRoom claims n bytes once the ticket is the first of the queue and there is room.
func (c *Client) awaitRoom(ctx context.Context, ticket, n int64) bool {
	in := c.gate.intake
	claimed := false
	in.await(in.now().Add(requestWait), ctx.Done(), func(now time.Time) (bool, *Client) {
		if c.ended || c.state == stateClosed {
			return true, nil
		}
		if in.queue[0] != ticket {
			return false, nil
		}
		if in.claimed+n <= in.limits.BodyBytes {
			in.claimed += n
			c.claimed += n
			claimed = true
			return true, nil
		}
		if in.claimed-in.releasing()+n <= in.limits.BodyBytes {
			return false, nil // those that are cut off give back theirs soon
		}
		return false, in.condemnHolder(now, c)
	})
	return claimed
}

// releasing returns the bytes that clients hold who are cut off.
func (in *Intake) releasing() (sum int64) {
	for _, g := range in.gates {
		if g.leaving == 0 {
			continue
		}
		for c := range g.requests {
			if c.ended {
				sum += c.claimed
			}
		}
	}
	return sum
}

// condemnHolder condemns the client that holds room and is most behind, at any gate.
func (in *Intake) condemnHolder(now time.Time, but *Client) *Client {
	var most *Client
	var due time.Time
	for _, g := range in.gates {
		c := g.mostBehind(now, func(c *Client) bool { return c != but && c.claimed > 0 })
		if c == nil {
			continue
		}
		if d, _ := c.pace.due(); most == nil || d.Before(due) {
			most, due = c, d
		}
	}
	if most == nil {
		return nil
	}
	return most.gate.condemn(most)
}
