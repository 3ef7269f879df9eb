package intake

import (
	"container/list"
	"context"
	"errors"
	"time"
)

// Gate bounds the clients of one listener.
type Gate struct {
	intake      *Intake
	name        string
	maxOpen     int
	maxRequests int

	// All below is guarded by intake.mu.
	open     int        // clients, also those that are cut off and not closed yet
	ending   int        // of open: those that are cut off
	idle     *list.List // of *Client, the one that is idle longest first
	headers  *list.List // of *Client whose request's header has not ended, the oldest first
	long     int        // of headers: those with more than plainHeader bytes
	requests map[*Client]struct{}
	leaving  int // of requests: those that are cut off
	counts   Counts
}

// Counts counts what a Gate has done since the start.
type Counts struct {
	Cut     int64 // clients that were cut off to make room
	Refused int64 // requests that found no room
}

// Gate returns a gate with a fraction of the connections and of the requests in progress. The fractions of all
// gates of a process must add up to 1 at most.
func (in *Intake) Gate(name string, fraction float64) *Gate {
	part := func(n int) int { return max(1, int(float64(n)*fraction)) }
	g := &Gate{
		intake: in, name: name, maxOpen: part(in.limits.Connections), maxRequests: part(in.limits.Requests),
		idle: list.New(), headers: list.New(), requests: make(map[*Client]struct{}),
	}
	in.mu.Lock()
	in.gates = append(in.gates, g)
	set := in.metrics
	in.mu.Unlock()
	if set != nil {
		g.register(set)
	}
	return g
}

// Name returns the name of the gate's listener.
func (g *Gate) Name() string { return g.name }

// MaxConnections returns how many connections may be open.
func (g *Gate) MaxConnections() int { return g.maxOpen }

// Counts returns what the gate has done since the start.
func (g *Gate) Counts() Counts {
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	return g.counts
}

// Open returns a client for a connection that has been accepted. While too many are open, it cuts one off or waits
// until one has ended; it returns nil once stop is closed. cut is called at most once and must not block; the
// client must then be closed soon.
func (g *Gate) Open(cut func(), stop <-chan struct{}) *Client {
	c := &Client{gate: g, cut: cut, pace: newPace()}
	opened := g.intake.await(time.Time{}, stop, func(now time.Time) (bool, *Client) {
		if g.open < g.maxOpen {
			g.open++
			c.place(stateHeader, now)
			return true, nil
		}
		if g.open-g.ending < g.maxOpen {
			return false, nil // one that is cut off ends soon
		}
		return false, g.condemn(g.victim(now))
	})
	if !opened {
		return nil
	}
	return c
}

// headerGrace is the age from which a header that has not ended gives its place before idle connections do.
const headerGrace = time.Second

// victim returns the client whose connection gives its place to another, nil if there is none.
func (g *Gate) victim(now time.Time) *Client {
	oldest := first(g.headers)
	if oldest != nil && now.Sub(oldest.since) >= headerGrace {
		return oldest
	}
	if c := first(g.idle); c != nil {
		return c
	}
	if c := g.mostBehind(now, func(*Client) bool { return true }); c != nil {
		return c
	}
	return oldest
}

func first(l *list.List) *Client {
	if e := l.Front(); e != nil {
		return e.Value.(*Client)
	}
	return nil
}

// mostBehind returns the client with a request in progress that has kept the process waiting longest beyond its
// pace, of those that fit; nil if there is none.
func (g *Gate) mostBehind(now time.Time, fits func(*Client) bool) *Client {
	var most *Client
	var due time.Time
	for c := range g.requests {
		d, waits := c.pace.due()
		if c.ended || !waits || d.After(now) || !fits(c) {
			continue
		}
		if most == nil || d.Before(due) {
			most, due = c, d
		}
	}
	return most
}

// condemn marks a client as cut off. The lock must be held; the caller must call end without it.
func (g *Gate) condemn(c *Client) *Client {
	if c == nil {
		return nil
	}
	c.ended = true
	g.ending++
	if c.state == stateRequest {
		g.leaving++
	}
	c.leaveList()
	g.counts.Cut++
	return c
}

// requestWait is how long a request waits for its place among those in progress, and a body for room.
const requestWait = time.Second

// errBusy reports that too many requests are in progress.
var errBusy = errors.New("too many requests in progress")

// begin gives a client's request a place among those in progress.
func (g *Gate) begin(ctx context.Context, c *Client) error {
	begun := g.intake.await(g.intake.now().Add(requestWait), ctx.Done(), func(now time.Time) (bool, *Client) {
		if len(g.requests) < g.maxRequests {
			c.place(stateRequest, now)
			return true, nil
		}
		if len(g.requests)-g.leaving < g.maxRequests {
			return false, nil
		}
		return false, g.condemn(g.mostBehind(now, func(*Client) bool { return true }))
	})
	if begun {
		return nil
	}
	g.refused()
	return errBusy
}

func (g *Gate) refused() {
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	g.counts.Refused++
}
