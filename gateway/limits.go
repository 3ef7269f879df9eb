package gateway

import (
	"context"
	"sync"
	"time"
)

// limitQuestion asks the owner of a workspace's limit to let a request in, or tells it
// of one that was let in without asking.
type limitQuestion struct {
	Workspace string
	Cost      float64 // in the limit's unit; below 0: given back
	Late      bool    // the request's objective has passed
}

// limitAnswer is the owner's word.
type limitAnswer struct {
	OK   bool
	Wait time.Duration // until there will be enough
}

// limits asks the owners of the workspaces' limits, one entry each, and falls back to
// what this entry has heard of the others where an owner does not answer.
type limits struct {
	books  *bookkeeper
	follow *limiter
	now    func() time.Time

	mu     sync.Mutex
	closed map[string]closure // by workspace
}

// closure is an owner's refusal that is repeated here for a moment.
type closure struct {
	cost  float64 // of the request that was refused
	until time.Time
}

const (
	// closedPart is the part of the wait that an owner has told for which a refusal is
	// repeated here: a workspace at many times its limit would have its owner asked for
	// each of its requests.
	closedPart = 0.25
	closedMost = 100 * time.Millisecond
)

// grounds says for the log who decided.
func (d *decision) grounds() string {
	switch {
	case d.asked:
		return "decided by the limit's owner"
	case d.local:
		return "by the last word of the limit's owner"
	default:
		return "by what was heard of the others"
	}
}

func newLimits(books *bookkeeper, follow *limiter, now func() time.Time) *limits {
	return &limits{books: books, follow: follow, now: now, closed: make(map[string]closure)}
}

// decision is whether a request was let in within its workspace's limit, and on what
// grounds.
type decision struct {
	ok    bool
	wait  time.Duration // until it may be, if it was not
	asked bool          // by the limit's owner
	local bool          // by the last word of the owner
}

// take uses up cost of the workspace's limit, or says when there will be enough. late
// says that the request's objective has passed.
func (l *limits) take(ctx context.Context, workspace string, cost float64, late bool) decision {
	if !l.follow.limits(workspace) {
		return decision{ok: true}
	}
	if wait, closed := l.isClosed(workspace, cost); closed {
		return decision{wait: wait, local: true}
	}
	answer, asked := l.books.askLimit(ctx, limitQuestion{Workspace: workspace, Cost: cost, Late: late})
	if !asked {
		ok, wait := l.follow.take(workspace, cost, late, l.now())
		if ok {
			l.books.tellLimit(limitQuestion{Workspace: workspace, Cost: cost})
		}
		return decision{ok: ok, wait: wait}
	}
	if answer.OK {
		l.follow.noteUsed(workspace, cost, l.now())
		return decision{ok: true, asked: true}
	}
	l.close(workspace, cost, answer.Wait)
	return decision{wait: answer.Wait, asked: true}
}

// refund gives back what a request that did not run had used up.
func (l *limits) refund(workspace string, cost float64) {
	l.follow.refund(workspace, cost)
	l.books.tellLimit(limitQuestion{Workspace: workspace, Cost: -cost})
}

func (l *limits) isClosed(workspace string, cost float64) (wait time.Duration, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.closed[workspace]
	left := c.until.Sub(l.now())
	if !known || cost < c.cost || left <= 0 {
		return 0, false
	}
	return time.Duration(float64(left) / closedPart), true
}

func (l *limits) close(workspace string, cost float64, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := min(time.Duration(closedPart*float64(wait)), closedMost)
	l.closed[workspace] = closure{cost: cost, until: l.now().Add(hold)}
}

// limitKey tells a workspace's limit from a server of the same name among what entries
// own.
func limitKey(workspace string) string { return "limit/" + workspace }
