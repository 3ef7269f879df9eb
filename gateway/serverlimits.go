package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/throttle"
)

// maxTokenRequests bounds the servers of which a request asks for a token, each of which takes a
// round trip.
const maxTokenRequests = 3

func limitedServer(c *choice) throttle.Server {
	return throttle.Server{ID: c.verdict.Server, Incarnation: c.verdict.Incarnation}
}

// askForTokens asks the control replicas for tokens of a server that names a limit.
func (g *Gateway) askForTokens(ctx context.Context, r throttle.Request) (throttle.Reply, error) {
	return callReplicas[throttle.Reply](ctx, g, api.MethodServerTokens, r)
}

// heedLimit applies what an answer to a request that was sent at a time says on its server's limit.
// Only an answer with which the server has served the request ends a limit.
func (j *job) heedLimit(ctx context.Context, c *choice, n Notice, class AnswerClass, sentAt time.Time) {
	limits := j.gateway.serverLimits
	switch {
	case n.Limited:
		if limits.Named(limitedServer(c), n.Limit) {
			j.gateway.serverSampler.Log(ctx, event.ServerLimited, slog.String("request", j.ID), slog.String("server", c.verdict.Server),
				slog.Uint64("incarnation", c.verdict.Incarnation), slog.Float64("perSecond", n.Limit))
		}
	case class == Answered:
		limits.NotNamed(limitedServer(c), sentAt)
	}
}

// takeServerToken makes sure that there is a token if the chosen server names a limit. It reports
// false if another server is to be chosen, unless this was asked for too often.
func (j *job) takeServerToken(ctx context.Context, c *choice) bool {
	if !j.gateway.serverLimits.NeedsToken(limitedServer(c)) {
		return true
	}
	if j.tokenRequests++; j.tokenRequests > maxTokenRequests {
		return false
	}
	return j.gateway.serverLimits.Acquire(ctx, limitedServer(c))
}

// awaitsTokens reports whether a server of the request's service takes no requests now for its
// limit.
func (j *job) awaitsTokens() bool {
	servers, _ := j.gateway.serverLimits.Waiting()
	return slices.ContainsFunc(servers, j.service.has)
}

// limitedRefusal returns the refusal of a request while servers take no more for their limits.
func (j *job) limitedRefusal() *Refusal {
	_, first := j.gateway.serverLimits.Waiting()
	r := j.failureRefusal("servers limit their requests")
	if r.Reason != NoServer {
		return r
	}
	return &Refusal{Reason: Overloaded, RetryAfter: min(max(first, minPauseRetry), maxPauseRetry), Detail: r.Detail}
}
