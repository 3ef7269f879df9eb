package entry

import (
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

// engineClient is how an entry calls model engines; native.EngineClient is one.
type engineClient interface {
	Chat(ctx context.Context, address, requestID string, req native.ChatRequest) (*native.ChatStream, error)
	Probe(ctx context.Context, address string) error
	ExportKV(ctx context.Context, address, requestID string) (native.ExportReply, error)
	ImportKV(ctx context.Context, address string, from native.ImportRequest) (native.ExportReply, error)
}

// Bounds of the attempts of one chat request.
const (
	// maxAttempts bounds how many servers one request may be sent to. An answer
	// that breaks off goes on elsewhere; eight breaks in one answer are no
	// longer a wave of reclaims.
	maxAttempts = 8
	// rerouteInterval is how often a request that lost its server looks for
	// another while none can take it.
	rerouteInterval = 50 * time.Millisecond
	// probeAfterIdle is how long a stream may bring nothing before its server is
	// probed on a new connection: over forty times the target between tokens.
	probeAfterIdle = 2 * time.Second
	// streamIdleTimeout is how long a stream may bring nothing although its server
	// answers probes. A connection that something between the ends has lost
	// track of looks just so, and would otherwise hold its caller for good.
	streamIdleTimeout = 6 * time.Second
	// firstTokenTimeout is the same before the first token, where a long prompt
	// may rightly take long.
	firstTokenTimeout = 30 * time.Second
	probeTimeout      = 800 * time.Millisecond
	// minRefusalBackoff and refusedMax bound the pause after a refusal.
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
}

// run answers w's request through to the end of its journal. first is the
// server that the queue granted, or nil for work that came from another entry.
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

// withUnknownOutcome is the problem of a request that is refused after an attempt has
// reached a server. "Not run" was right for the attempt that was refused, and
// would be a lie of the request.
func withUnknownOutcome(p *request.Problem) *request.Problem {
	c := *p
	if c.Outcome == request.NotRun {
		c.Outcome = request.Unknown
	}
	return &c
}

// waitBackoff waits before a request that a server refused, or that did not reach it,
// tries another, and returns the next waitBackoff. At saturation every server refuses
// for a while; without the waitBackoff, each waiting request would ask all of them
// over and over.
func (r *runner) waitBackoff(w *work, backoff time.Duration) time.Duration {
	select {
	case <-w.ctx.Done():
	case <-time.After(rand.N(backoff)):
	}
	return min(2*backoff, maxRefusalBackoff)
}

// step makes one attempt, on the granted server or on another one.
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
	if ctx.Err() != nil {
		g.cancelled()
		r.guard.end(g.lane.key, g.quarantineRun)
		return end, err
	}
	r.attemptFailed(ctx, w, g, err)
	w.ticket.failedServers = append(w.ticket.failedServers, g.verdict.Server)
	return end, err
}

// endedProblem is the problem of a request whose context ended: its deadline
// passed, or nobody waits for it any more.
func endedProblem(ctx context.Context, r *request.Request) *request.Problem {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return request.NewProblem(request.CodeDeadlineExpired, request.Unknown, "the deadline passed while the request ran")
	}
	return request.NewProblem(request.CodeInternal, request.Unknown, "request %s was cancelled", r.ID)
}

// reroute finds another server for a request that lost its own.
func (r *runner) reroute(ctx context.Context, w *work) (*grant, error) {
	tick := time.NewTicker(rerouteInterval)
	defer tick.Stop()
	for waits := 0; ; waits++ {
		if g, ok := w.ticket.lane.regrant(w.ticket); ok {
			return g, nil
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

// attemptFailed ends a failed attempt.
func (r *runner) attemptFailed(ctx context.Context, w *work, g *grant, err error) {
	g.failed()
	r.metrics.attemptsFailed.Inc()
	event.Log(ctx, r.log, slog.LevelWarn, event.AttemptFailed,
		slog.String("request", string(w.request.ID)), slog.String("server", g.verdict.Server),
		slog.Int("tokens", len(w.journal.Tokens())), slog.String("error", err.Error()))
	r.guard.attemptFailed(ctx, g, err)
}

// attempt sends the request to one server and appends what comes to the
// journal. It returns a nil error only for a whole answer.
func (r *runner) attempt(ctx context.Context, w *work, body native.ChatRequest, g *grant) (request.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	recomputed := 0
	if received := w.journal.Tokens(); len(received) > 0 {
		body.Resume = &native.Resume{Tokens: received, Handle: r.transferKV(ctx, w, g.verdict.Address)}
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
	stream, err := r.engines.Chat(ctx, g.verdict.Address, string(w.request.ID), body)
	if err != nil {
		return request.End{}, attemptError(ctx, err)
	}
	defer stream.Close()
	end, err := r.read(ctx, w, stream, g, watch)
	if err != nil {
		r.metrics.recomputed.Add(recomputed) // no usage comes from an attempt that broke off
	}
	return end, err
}

// read copies the stream to the journal.
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
				lastToken = r.appendToken(w, g, c.Delta.Content, sentAt, lastToken)
			}
			if c.FinishReason != "" {
				end.Finish = c.FinishReason
			}
		}
	}
}

// appendToken appends one appendToken and returns when it came.
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

func (r *runner) complete(w *work, stream *native.ChatStream, g *grant, end request.End) (request.End, error) {
	g.finished(w.cost())
	usage := stream.Usage()
	end.Prompt, end.Cached, end.Recomputed = usage.Prompt, usage.Cached, usage.Recomputed
	r.metrics.recomputed.Add(usage.Recomputed)
	r.metrics.cached.Add(usage.Cached)
	r.metrics.prompt.Add(usage.Prompt)
	return end, nil
}

// attemptError prefers the reason for which this side ended the attempt over the
// broken connection that it made.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) || errors.Is(cause, errUnreachable) {
		return cause
	}
	return err
}
