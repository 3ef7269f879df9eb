package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/throttle"
)

const (
	// maxTokenRequests bounds the servers of which a request asks for a token, each of which takes
	// a round trip.
	maxTokenRequests = 3
	// tokenRetryDelay is the time after which a token is asked for again if no control replica
	// replied.
	tokenRetryDelay = 500 * time.Millisecond
)

// serverLimits holds the limits that servers have named in their answers to this entry. It is safe
// for concurrent use.
type serverLimits struct {
	now func() time.Time

	mu        sync.Mutex
	allowance *throttle.Allowance
}

func newServerLimits(now func() time.Time) *serverLimits {
	return &serverLimits{now: now, allowance: throttle.NewAllowance()}
}

func limitedServer(c *choice) throttle.Server {
	return throttle.Server{ID: c.verdict.Server, Incarnation: c.verdict.Incarnation}
}

// heed applies what an answer to a request that was sent at a time says on its server's limit. It
// reports whether the server has begun to name one.
func (l *serverLimits) heed(s throttle.Server, n Notice, class AnswerClass, sentAt time.Time) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case n.Limited:
		return l.allowance.Named(s, n.Limit, l.now())
	case class == Answered:
		l.allowance.NotNamed(s, sentAt)
	}
	return false
}

// needsToken reports whether a token must be asked for before a request is sent to a server, with
// the server's limit and how many are wanted.
func (l *serverLimits) needsToken(s throttle.Server) (limit float64, want int, needed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.allowance.Limit(s)
	if !limited || l.allowance.HasToken(s, l.now()) {
		return 0, 0, false
	}
	return limit, l.allowance.Want(s, l.now()), true
}

// recordReply records the reply to a request for tokens that was sent at a time.
func (l *serverLimits) recordReply(s throttle.Server, r api.ServerTokensReply, askedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Granted > 0 {
		l.allowance.Granted(s, r.Granted, askedAt)
		return
	}
	l.allowance.Refused(s, l.now().Add(r.After))
}

// spend takes the token for a request right before it is sent, and reports whether it may be.
func (l *serverLimits) spend(s throttle.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowance.Spend(s, l.now())
}

// waiting returns the servers that can't be sent a request now for their limits, and how long it
// takes until the first of them can.
func (l *serverLimits) waiting() (servers []string, first time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowance.Empty() {
		return nil, 0
	}
	servers, at := l.allowance.Waiting(l.now())
	return servers, max(at.Sub(l.now()), 0)
}

func (l *serverLimits) anyWaiting() bool {
	servers, _ := l.waiting()
	return len(servers) > 0
}

// takeServerToken makes sure that there is a token if the chosen server names a limit. It reports
// false if another server is to be chosen.
func (j *job) takeServerToken(ctx context.Context, c *choice) bool {
	g := j.gateway
	s := limitedServer(c)
	limit, want, needed := g.serverLimits.needsToken(s)
	if !needed {
		return true
	}
	if j.tokenRequests++; j.tokenRequests > maxTokenRequests {
		return false
	}
	askedAt := g.now()
	req := api.ServerTokensRequest{Server: s.ID, Incarnation: s.Incarnation, Limit: limit, Entry: g.cfg.Node.Name, Want: want}
	reply, err := callReplicas[api.ServerTokensReply](ctx, g, api.MethodServerTokens, req)
	if err != nil {
		reply = api.ServerTokensReply{After: tokenRetryDelay}
	}
	g.serverLimits.recordReply(s, reply, askedAt)
	return reply.Granted > 0
}

// limitedRefusal returns the refusal of a request while servers take no more for their limits.
func (j *job) limitedRefusal() *Refusal {
	_, first := j.gateway.serverLimits.waiting()
	r := j.failureRefusal("servers limit their requests")
	if r.Reason != NoServer {
		return r
	}
	return &Refusal{Reason: Overloaded, RetryAfter: min(max(first, minPauseRetry), maxPauseRetry), Detail: r.Detail}
}

// logServerLimit logs that a server has begun to name a limit.
func (j *job) logServerLimit(ctx context.Context, c *choice, limit float64) {
	j.gateway.serverSampler.Log(ctx, event.ServerLimited, slog.String("request", j.ID), slog.String("server", c.verdict.Server),
		slog.Uint64("incarnation", c.verdict.Incarnation), slog.Float64("perSecond", limit))
}
