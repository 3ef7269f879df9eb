package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/request"
)

// engineClient calls model engines. native.EngineClient implements it.
type engineClient interface {
	Chat(ctx context.Context, address, requestID string, req native.ChatRequest) (*native.ChatStream, error)
	Probe(ctx context.Context, address string) error
	ExportKV(ctx context.Context, address, requestID string) (native.ExportReply, error)
	ImportKV(ctx context.Context, address string, from native.ImportRequest) (native.ExportReply, error)
}

// Limits and delays of the attempts of one chat request.
const (
	// maxAttempts bounds the failed attempts of a request. An attempt that the server
	// refused, or that did not reach it, does not count.
	maxAttempts = 8
	// rerouteInterval is how often a request without a server looks for another one.
	rerouteInterval = 50 * time.Millisecond
	// probeAfterIdle is how long a stream may be idle before its server is probed on a new
	// connection.
	probeAfterIdle = 2 * time.Second
	// streamIdleTimeout is how long a stream may be idle although its server answers
	// probes, for example because a middlebox has dropped the connection without closing
	// it.
	streamIdleTimeout = 6 * time.Second
	// firstTokenTimeout applies instead before the first token, since a long prompt takes
	// long to prefill.
	firstTokenTimeout = 30 * time.Second
	probeTimeout      = 800 * time.Millisecond
	// maxOriginWaits is how many times a request looks for a server of the version that began its
	// answer while none serves: a server that restarts announces itself within a second.
	maxOriginWaits = 40
	// The backoff after a server has refused a request doubles between these bounds.
	minRefusalBackoff = 40 * time.Millisecond
	maxRefusalBackoff = time.Second
)

// runner runs chat requests on model engines.
type runner struct {
	engines engineClient
	log     *slog.Logger
	now     func() time.Time
	metrics *Metrics
	guard   *guard
	lanes   *lanes
}

// run makes attempts until w's journal has ended. granted is the server that the queue
// granted, or nil for work taken over from another entry.
func (r *runner) run(w *work, body native.ChatRequest, granted *grant) {
	g, backoff := granted, minRefusalBackoff
	for failures := 0; failures < maxAttempts; {
		ctx, cancel := w.stepContext()
		end, err := r.step(ctx, w, body, g)
		cause := context.Cause(ctx)
		cancel(nil)
		g = nil
		switch {
		case err == nil:
			w.journal.Finish(end)
			return
		case errors.Is(cause, errPaused) && w.waitForResume(), errors.Is(cause, errMoved):
			continue
		case w.ctx.Err() != nil:
			w.journal.Finish(request.End{Problem: endedProblem(w.ctx, w.request)})
			return
		}
		var final *request.Problem
		if errors.As(err, &final) {
			if failures > 0 || len(w.journal.Tokens()) > 0 {
				final = withUnknownOutcome(final)
			}
			w.journal.Finish(request.End{Problem: final})
			return
		}
		if native.NotRun(err) {
			backoff = r.waitBackoff(w, backoff)
			continue
		}
		failures++
	}
	w.journal.Finish(request.End{Problem: request.NewProblem(request.CodeServerFailed, request.Unknown,
		"%d backend servers failed on this request", maxAttempts).After(time.Second)})
}

// withUnknownOutcome returns a copy of p for a request that is refused after an earlier
// attempt has reached a server: "not run" holds for the refused attempt, but not for the
// request.
func withUnknownOutcome(p *request.Problem) *request.Problem {
	c := *p
	if c.Outcome == request.NotRun {
		c.Outcome = request.Unknown
	}
	return &c
}

// waitBackoff waits a random time up to backoff after a server has refused the request or
// could not be reached, and returns the next backoff. At saturation all servers refuse;
// without the wait, each waiting request would try all of them repeatedly.
func (r *runner) waitBackoff(w *work, backoff time.Duration) time.Duration {
	select {
	case <-w.ctx.Done():
	case <-time.After(rand.N(backoff)):
	}
	return min(2*backoff, maxRefusalBackoff)
}

// step makes one attempt, on the granted server or, if g is nil, on another one.
func (r *runner) step(ctx context.Context, w *work, body native.ChatRequest, g *grant) (request.End, error) {
	if g == nil {
		var err error
		if g, err = r.reroute(ctx, w); err != nil {
			return request.End{}, err
		}
	}
	g, err := r.guard.checkGrant(ctx, w.ticket, g)
	if err != nil {
		return request.End{}, err
	}
	w.setCurrent(g)
	end, err := r.attempt(ctx, w, body, g)
	w.setCurrent(nil)
	if err == nil {
		r.guard.finish(g.lane.key, g.quarantineRun)
		return end, nil
	}
	if ctx.Err() != nil || errors.Is(err, native.ErrWithdrawn) {
		g.cancelled()
		r.guard.end(g.lane.key, g.quarantineRun)
		return end, err
	}
	r.attemptFailed(ctx, w, g, err)
	w.ticket.failedServers = append(w.ticket.failedServers, g.verdict.Server)
	return end, err
}

// endedProblem returns the problem of a request whose context has ended, by its deadline or
// because no caller waits for it.
func endedProblem(ctx context.Context, r *request.Request) *request.Problem {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.NewProblem(request.CodeDeadlineExpired, request.Unknown, "the deadline passed while the request ran")
	}
	return request.NewProblem(request.CodeInternal, request.Unknown, "request %s was cancelled", r.ID)
}

// reroute waits until another server can take the request, and the retry budgets allow that it
// is sent once more.
func (r *runner) reroute(ctx context.Context, w *work) (*grant, error) {
	tick := time.NewTicker(rerouteInterval)
	defer tick.Stop()
	for waits := 0; ; waits++ {
		if w.ticket.sends.allowed() {
			if g, ok := w.ticket.lane.regrant(w.ticket); ok {
				return g, nil
			}
		}
		switch {
		case len(w.journal.Tokens()) == 0:
			if p := w.ticket.lane.endlessPause(w.ticket); p != nil {
				return nil, p
			}
		case waits < maxOriginWaits:
		case !w.ticket.lane.servesOrigin(w.ticket):
			return nil, request.NewProblem(request.CodeNoServer, request.Unknown, "no backend server of the version that began the answer is left")
		}
		if waits == 0 {
			event.Log(ctx, r.log, slog.LevelWarn, event.RouteWaits,
				slog.String("request", string(w.request.ID)), slog.String("service", w.request.Service))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
	}
}

// attemptFailed records an attempt that its server has not answered.
func (r *runner) attemptFailed(ctx context.Context, w *work, g *grant, err error) {
	r.guard.entry.closeFailed(g)
	r.metrics.attemptsFailed.Inc()
	event.Log(ctx, r.log, slog.LevelWarn, event.AttemptFailed,
		slog.String("request", string(w.request.ID)), slog.String("server", g.verdict.Server),
		slog.Int("tokens", len(w.journal.Tokens())), slog.String("error", err.Error()))
	r.guard.attemptFailed(ctx, g, err)
}

// attempt sends the request to one server and appends the received tokens to the journal.
// The error is nil only if the answer is complete.
func (r *runner) attempt(ctx context.Context, w *work, body native.ChatRequest, g *grant) (request.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	recomputed := 0
	if received := w.journal.Tokens(); len(received) > 0 {
		handle, err := r.transferKV(ctx, w, g)
		if err != nil {
			return request.End{}, err
		}
		version, _ := w.ticket.lane.origin(w.ticket)
		body.Resume = &native.Resume{Tokens: received, Handle: handle, Version: version}
		if body.Resume.Handle == "" {
			recomputed = w.heldTokens()
		}
		r.metrics.resumed.Inc()
		event.Log(ctx, r.log, slog.LevelInfo, event.StreamResumed,
			slog.String("request", string(w.request.ID)), slog.String("server", g.verdict.Server),
			slog.Int("tokens", len(received)))
	}
	watch := newStreamWatch(r, g.verdict.Address, cancel)
	go watch.run(ctx)
	stream, err := r.engines.Chat(native.WithMaySend(ctx, w.ticket.maySend(g)), g.verdict.Address, string(w.request.ID), body)
	if err != nil {
		r.lanes.heedAnswer(g, native.NoticeOfError(err), false)
		return request.End{}, attemptError(ctx, err)
	}
	defer stream.Close()
	r.lanes.heedAnswer(g, stream.Notice(), true)
	end, err := r.read(ctx, w, stream, g, watch)
	if err != nil {
		r.metrics.recomputed.Add(recomputed) // a failed attempt reports no usage
	}
	return end, err
}

// read copies the stream to the journal until it ends.
func (r *runner) read(ctx context.Context, w *work, stream *native.ChatStream, g *grant, watch *streamWatch) (request.End, error) {
	var end request.End
	sentAt := r.now()
	lastToken := sentAt
	initialTokens := len(w.journal.Tokens())
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if n := len(w.journal.Tokens()) - initialTokens; n > 1 {
				g.observeTokenInterval(lastToken.Sub(sentAt) / time.Duration(n))
			}
			return r.complete(w, stream, g, end)
		}
		if err != nil {
			return request.End{}, attemptError(ctx, err)
		}
		watch.observe()
		for _, c := range chunk.Choices {
			if c.Delta.Content != "" {
				if len(w.journal.Tokens()) == 0 {
					w.ticket.lane.setOrigin(w.ticket, cmp.Or(stream.Version(), g.verdict.Version))
				}
				lastToken = r.appendToken(w, g, c.Delta.Content, sentAt, lastToken)
			}
			if c.FinishReason != "" {
				end.Finish = c.FinishReason
			}
		}
	}
}

// appendToken appends one token, updates the latency metrics and returns the time of
// receipt.
func (r *runner) appendToken(w *work, g *grant, text string, sentAt, lastToken time.Time) time.Time {
	now := r.now()
	if lastToken.Equal(sentAt) {
		g.firstToken(now.Sub(sentAt))
		r.metrics.engineFirstToken.UpdateDuration(sentAt)
	} else {
		r.metrics.betweenTokens.Update(now.Sub(lastToken).Seconds())
	}
	w.journal.Append(text)
	return now
}

// complete finishes the grant of a complete answer and returns end with the reported usage.
func (r *runner) complete(w *work, stream *native.ChatStream, g *grant, end request.End) (request.End, error) {
	g.finished(w.cost())
	usage := stream.Usage()
	end.Prompt, end.Cached, end.Recomputed = usage.Prompt, usage.Cached, usage.Recomputed
	r.metrics.recomputed.Add(usage.Recomputed)
	r.metrics.cached.Add(usage.Cached)
	r.metrics.prompt.Add(usage.Prompt)
	return end, nil
}

// attemptError returns the reason for which streamWatch ended the attempt, if it did, and
// else err.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) || errors.Is(cause, errUnreachable) {
		return cause
	}
	return err
}
