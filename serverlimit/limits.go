// Package serverlimit keeps the limits that backend servers name in their answers, at an entry of
// either kind: it asks control for the tokens that each send needs (package throttle).
package serverlimit

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/throttle"
)

const (
	// askTimeout bounds a request for tokens, during which the chosen server is held.
	askTimeout = 800 * time.Millisecond
	// retryDelay is the time after which tokens are asked for again if control did not reply.
	retryDelay = 500 * time.Millisecond
)

// Ask asks control for tokens.
type Ask func(ctx context.Context, r throttle.Request) (throttle.Reply, error)

// Limits holds the limits that servers have named to one entry. It is safe for concurrent use.
type Limits struct {
	entry string
	ask   Ask
	now   func() time.Time

	mu        sync.Mutex
	allowance *throttle.Allowance
}

// New returns Limits of the named entry without any limit.
func New(entry string, ask Ask, now func() time.Time) *Limits {
	return &Limits{entry: entry, ask: ask, now: now, allowance: throttle.NewAllowance()}
}

// Named records that an answer of a server names a limit of requests a second, and reports whether
// the server had named none.
func (l *Limits) Named(s throttle.Server, perSecond float64) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowance.Named(s, perSecond, l.now())
}

// NotNamed records that an answer to a request that was sent at a time names no limit.
func (l *Limits) NotNamed(s throttle.Server, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance.NotNamed(s, sentAt)
}

// NeedsToken reports whether Acquire would ask control.
func (l *Limits) NeedsToken(s throttle.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.allowance.HasToken(s, l.now())
}

// Acquire makes sure that a request may be sent to a server, and reports whether it may. If not, the
// server is among those of Waiting for a while.
func (l *Limits) Acquire(ctx context.Context, s throttle.Server) bool {
	req, needed := l.request(s)
	if !needed {
		return true
	}
	askedAt := l.now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.ask(ctx, req)
	if err != nil {
		reply = throttle.Reply{After: retryDelay}
	}
	return l.Record(s, reply, askedAt)
}

// request returns the request for tokens of a server; needed is false if there is one, or the server
// has named no limit.
func (l *Limits) request(s throttle.Server) (req throttle.Request, needed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	limit, limited := l.allowance.Limit(s)
	if !limited || l.allowance.HasToken(s, now) {
		return throttle.Request{}, false
	}
	return throttle.Request{Server: s, Limit: limit, Entry: l.entry, Want: l.allowance.Want(s, now)}, true
}

// Record records the reply to a request for tokens that was sent at a time, and reports whether it
// brings any.
func (l *Limits) Record(s throttle.Server, r throttle.Reply, askedAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Granted == 0 {
		l.allowance.Refused(s, l.now().Add(r.After))
		return false
	}
	l.allowance.Granted(s, r.Granted, askedAt)
	return true
}

// Spend takes the token for a request right before it is sent, and reports whether there is one.
func (l *Limits) Spend(s throttle.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowance.Spend(s, l.now())
}

// Waiting returns the servers that can't be sent a request now for their limits, and how long it
// takes until the first of them can.
func (l *Limits) Waiting() (servers []string, first time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowance.Empty() {
		return nil, 0
	}
	now := l.now()
	servers, at := l.allowance.Waiting(now)
	return servers, max(at.Sub(now), 0)
}
