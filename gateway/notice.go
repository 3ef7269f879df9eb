package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/route"
)

// recordNotice heeds and logs what an answer to a request that was sent at a time says about the
// server that gave it.
func (j *job) recordNotice(ctx context.Context, c *choice, answer *backend.Answer, sentAt time.Time) {
	n := j.gateway.deps.Dialect.Notice(answer.Status, answer.Header)
	server := slog.String("server", c.verdict.Server)
	j.service.applyNotice(c, n, j.gateway.now())
	class := j.gateway.deps.Dialect.Classify(answer.Status, answer.Header)
	j.heedLimit(ctx, c, n, class, sentAt)
	j.heedBrittle(ctx, c, n, class, sentAt)
	if n.Leaving {
		j.gateway.serverSampler.Log(ctx, event.ServerLeavingByAnswer, slog.String("request", j.ID), server)
	}
	if n.Pause > 0 {
		j.gateway.serverSampler.Log(ctx, event.ServerPaused, slog.String("request", j.ID), server, slog.Duration("for", n.Pause))
	}
}

// applyNotice applies a notice of the choice's server to later choices.
func (s *service) applyNotice(c *choice, n Notice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Leaving {
		s.router.RecordLeaving(c.verdict.Server, c.verdict.Incarnation, now)
	}
	if n.Pause > 0 {
		s.router.Pause(c.verdict.Server, c.verdict.Incarnation, now.Add(n.Pause), now)
	}
}

// maySend reports whether the choice's server may still be sent a request.
func (s *service) maySend(c *choice, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.MaySend(c.verdict.Server, c.verdict.Incarnation, now)
}

// withdrawn returns the result of an attempt that was not sent, because its server has started
// to leave or asked for a pause since it was chosen, or has no token, or because the retry budgets
// have no room.
func (j *job) withdrawn(c *choice) result {
	j.service.end(c, endedByCaller, j.gateway.now())
	if j.repeatRefused != "" {
		return result{refusal: j.failureRefusal("no repeat: " + j.repeatRefused)}
	}
	r := result{retryable: true, notRun: true, server: c.verdict.Server}
	if !j.gateway.freshness.knowsLeaves() {
		r.server = "" // it may be chosen again
	}
	r.refusal = j.failureRefusal("the server takes no more requests")
	return r
}

// awaitLeaves waits for a short while until this entry knows which servers leave, and reports whether it
// does.
func (j *job) awaitLeaves(ctx context.Context) bool {
	f := j.gateway.freshness
	if f.knowsLeaves() {
		return true
	}
	timeout := time.NewTimer(j.confirmWait())
	defer timeout.Stop()
	for {
		changed, prompt := f.wait()
		if f.knowsLeaves() {
			return true
		}
		if prompt {
			j.gateway.follower.Prompt()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

const (
	// minPauseRetry and maxPauseRetry bound the Retry-After of a refusal while all servers have
	// asked for a pause. The pause is this entry's: at another one a server may have room before.
	minPauseRetry = 100 * time.Millisecond
	maxPauseRetry = time.Second
	// pauseRetrySpread is the maximum relative jitter of that Retry-After, so that callers don't
	// all return at once.
	pauseRetrySpread = 0.25
)

// pausedRefusal returns the refusal of a request while all servers have asked for a pause.
func pausedRefusal(v *route.Verdict) *Refusal {
	wait := min(max(v.RetryAfter, minPauseRetry), maxPauseRetry)
	wait = time.Duration(float64(wait) * (1 + pauseRetrySpread*rand.Float64()))
	return &Refusal{Reason: Overloaded, RetryAfter: wait, Detail: v.Reason.String()}
}
