package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// plainClient is how an entry calls plain services; native.PlainClient is one.
type plainClient interface {
	Do(ctx context.Context, address string, req *http.Request) (*http.Response, bool, error)
	DoOnce(ctx context.Context, address string, req *http.Request) (*http.Response, bool, error)
}

// plainCost is the work of a plain call in tokens: about what one short call
// takes of a web server compared with a model's slot.
const plainCallTokens = 32

// plainCall is one accepted call of a plain service.
type plainCall struct {
	entry   *Entry
	service *contract.Service
	request *request.Request
	ticket  *ticket
	http    *http.Request
	writer  http.ResponseWriter
	ctx     context.Context
}

// handlePlain takes a call of a plain service under /svc/{service}/.
func (e *Entry) handlePlain(w http.ResponseWriter, r *http.Request) {
	c, p := e.authenticate(r)
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	call, p := e.acceptPlain(w, c)
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	defer e.release(call.request, plainCallTokens)
	ctx, cancel := context.WithDeadline(callContext(r.Context(), call.request), call.request.Deadline)
	defer cancel()
	call.ctx = ctx
	e.plainRunning.Add(1)
	defer e.plainRunning.Add(-1)
	if p := call.serve(); p != nil {
		p.RequestID = call.request.ID
		e.refuse(w, r, p)
	}
}

// callContext is the context of a call's run. A call that may run once goes on
// when its caller's connection breaks: cut off there, it would end as unknown
// although the server was about to answer, and the resend that follows a broken
// connection would get no answer, nor any later one.
func callContext(caller context.Context, r *request.Request) context.Context {
	if r.Idempotent {
		return caller
	}
	return context.WithoutCancel(caller)
}

// acceptPlain checks a plain call and has it admitted.
func (e *Entry) acceptPlain(w http.ResponseWriter, c *call) (*plainCall, *request.Problem) {
	s, p := c.service(c.http.PathValue("service"), contract.KindPlain)
	if p != nil {
		return nil, p
	}
	path := "/" + c.http.PathValue("path")
	req, p := e.newRequest(c, s, defaultPlainDeadline)
	if p != nil {
		return nil, p
	}
	req.Idempotent, req.Cost = s.Idempotent(req.Method, path), plainCallTokens
	if !req.Idempotent && req.Key == "" {
		return nil, request.NewProblem(request.CodeKeyMissing, request.NotRun, "%s %s may not be repeated", req.Method, path)
	}
	if req.Body, p = readBody(w, c.http, s.BodyLimit()); p != nil {
		return nil, p
	}
	req.Path = path
	if q := c.http.URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	l, err := e.lanes.get(laneKeyOf(s))
	if err != nil {
		return nil, request.NewProblem(request.CodeInternal, request.NotRun, "%v", err)
	}
	if p := e.admit(c.workspace, s, req); p != nil {
		return nil, p
	}
	t := &ticket{
		request: req, weight: c.workspace.Weight, lane: l, decision: make(chan decision, 1),
		route: route.Request{Key: xxhash.Sum64String(req.Path), Zone: e.cfg.Zone, Region: e.cfg.Region, NoProbe: !req.Idempotent},
	}
	return &plainCall{entry: e, service: s, request: req, ticket: t, http: c.http, writer: w}, nil
}

// serve runs the call and answers the caller, or returns its problem.
func (c *plainCall) serve() *request.Problem {
	if !c.request.Idempotent {
		return c.recordAndRun()
	}
	g, p := c.acquire()
	if p != nil {
		return p
	}
	return c.runRepeatable(g)
}

// acquire queues the call until a server is granted.
func (c *plainCall) acquire() (*grant, *request.Problem) {
	if p := c.ticket.lane.submit(c.ticket); p != nil {
		return nil, p
	}
	g, p := c.awaitGrant()
	if p != nil {
		return nil, p
	}
	c.entry.retries.firstAttempt(c.entry.deps.Now(), c.request)
	return c.checkGrant(g)
}

// await waits for the queue's grant.
func (c *plainCall) awaitGrant() (*grant, *request.Problem) {
	select {
	case d := <-c.ticket.decision:
		c.entry.metrics.queueWait.UpdateDuration(c.request.Accepted)
		return d.grant, d.problem
	case <-c.ctx.Done():
	}
	if !c.ticket.lane.withdraw(c.request.ID) {
		if d := <-c.ticket.decision; d.grant != nil {
			d.grant.cancelled()
		}
	}
	return nil, expiredProblem()
}

// cleared has the quarantine decide where the granted call may run.
func (c *plainCall) checkGrant(g *grant) (*grant, *request.Problem) {
	g, err := c.entry.guard.checkGrant(c.ctx, c.ticket, g)
	var final *request.Problem
	switch {
	case errors.As(err, &final):
		return nil, final
	case err != nil:
		return nil, expiredProblem()
	}
	return g, nil
}

// repeat runs a call that may be repeated: another server is tried for as long
// as no byte of an answer has gone to the caller.
func (c *plainCall) runRepeatable(g *grant) *request.Problem {
	outcome := request.NotRun
	for attempts := 1; ; attempts++ {
		resp, _, err := c.send(g, c.entry.plainClient.Do)
		if err == nil {
			c.relay(g, resp)
			return nil
		}
		if !native.NotRun(err) {
			outcome = request.Unknown // and stays so, whatever later attempts meet
		}
		if c.ctx.Err() != nil {
			return request.NewProblem(request.CodeDeadlineExpired, outcome, "the deadline passed while the call ran")
		}
		next, p := c.nextGrant(g, attempts, err, outcome)
		if p != nil {
			return p
		}
		g = next
	}
}

// another grants the next server after a failed attempt, if the retry budgets
// allow one, or returns the call's final problem.
func (c *plainCall) nextGrant(g *grant, attempts int, err error, outcome request.Outcome) (*grant, *request.Problem) {
	failed := request.NewProblem(request.CodeServerFailed, outcome, "%v", err).After(time.Second)
	v := c.entry.retries.attemptFailed(c.entry.deps.Now(), g.verdict.Server, retry.Failure{
		Call: retryCall(c.request), Attempts: attempts, NotRun: native.NotRun(err), Reclaimed: c.entry.onLeavingServer(g),
	})
	if !v.Go {
		failed.Detail += " (" + v.Reason.String() + ")"
		return nil, failed
	}
	select {
	case <-time.After(v.After):
	case <-c.ctx.Done():
		return nil, failed
	}
	c.ticket.failedServers = append(c.ticket.failedServers, g.verdict.Server)
	next, ok := c.ticket.lane.regrant(c.ticket)
	if !ok {
		return nil, failed
	}
	next, p := c.checkGrant(next)
	if p != nil && outcome != request.NotRun {
		p = withUnknownOutcome(p)
	}
	return next, p
}

// send makes one attempt and closes its grant if it failed.
func (c *plainCall) send(g *grant, do func(context.Context, string, *http.Request) (*http.Response, bool, error)) (*http.Response, bool, error) {
	out, err := c.backendRequest()
	if err != nil {
		c.cancelAttempt(g)
		return nil, false, err
	}
	started := c.entry.deps.Now()
	resp, sent, err := do(c.ctx, g.verdict.Address, out)
	if err == nil {
		g.firstToken(c.entry.deps.Now().Sub(started))
		return resp, sent, nil
	}
	if c.ctx.Err() != nil {
		c.cancelAttempt(g)
		return nil, sent, err
	}
	g.failed()
	c.entry.guard.attemptFailed(c.ctx, g, err)
	c.entry.metrics.attemptsFailed.Inc()
	event.Log(c.ctx, c.entry.deps.Log, slog.LevelWarn, event.AttemptFailed,
		slog.String("request", string(c.request.ID)), slog.String("server", g.verdict.Server),
		slog.Bool("sent", sent), slog.String("error", err.Error()))
	return nil, sent, err
}

// hopByHop lists the headers that belong to one connection (RFC 9110 section
// 7.6.1) and those that are between the caller and this system.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", request.HeaderKeep, request.HeaderClass,
}

// outgoing is the request as the backend server gets it.
func (c *plainCall) backendRequest() (*http.Request, error) {
	out, err := http.NewRequestWithContext(c.ctx, c.request.Method, "http://backend"+c.request.Path, bytes.NewReader(c.request.Body))
	if err != nil {
		return nil, err
	}
	out.Header = c.http.Header.Clone()
	removeHopByHop(out.Header)
	out.Header.Set(request.HeaderRequestID, string(c.request.ID))
	out.Header.Set("Savoryreel-Workspace", c.request.Workspace)
	return out, nil
}

func removeHopByHop(h http.Header) {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// relay streams a server's answer to the caller. An answer that breaks off half
// way breaks the caller's connection too: a clean end would pass a part of the
// answer off as the whole.
func (c *plainCall) relay(g *grant, resp *http.Response) {
	defer resp.Body.Close()
	c.writeHeader(resp)
	_, err := io.Copy(flushWriter{c.writer}, resp.Body)
	c.closeGrant(g, err)
	if err != nil {
		c.entry.logEnd(c.request, request.Unknown, request.CodeServerFailed, 0)
		panic(http.ErrAbortHandler)
	}
	c.entry.logEnd(c.request, request.Answered, "", 0)
}

// settle closes the attempt's grant by how the answer's body ended.
func (c *plainCall) closeGrant(g *grant, err error) {
	var callErr *native.CallError
	switch {
	case err == nil:
		g.finished(plainCallTokens)
		c.entry.guard.finish(g.lane.key, g.quarantineRun)
	case errors.As(err, &callErr) && c.ctx.Err() == nil:
		g.failed()
		c.entry.guard.attemptFailed(c.ctx, g, err)
	default:
		c.cancelAttempt(g) // the caller left or its deadline passed
	}
}

// cancelled closes an attempt that was given up here.
func (c *plainCall) cancelAttempt(g *grant) {
	g.cancelled()
	c.entry.guard.end(g.lane.key, g.quarantineRun)
}

func (c *plainCall) writeHeader(resp *http.Response) {
	h := c.writer.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHop(h)
	h.Set(request.HeaderRequestID, string(c.request.ID))
	h.Set(request.HeaderOutcome, string(request.Answered))
	c.writer.WriteHeader(resp.StatusCode)
}

// flushWriter pushes each piece of a streamed answer out as it comes.
type flushWriter struct{ http.ResponseWriter }

// Write writes and flushes p.
func (w flushWriter) Write(p []byte) (int, error) {
	rc := http.NewResponseController(w.ResponseWriter)
	_ = rc.SetWriteDeadline(time.Now().Add(flushTimeout)) // not every writer has one; then the kernel's bound holds
	n, err := w.ResponseWriter.Write(p)
	if err == nil {
		err = rc.Flush()
	}
	return n, err
}

// maxHeldAnswer bounds what of a once-only call's answer is held back until it
// is whole, so that a small answer, as a statement credit's, is all or nothing.
const maxBufferedAnswerBytes = ledger.MaxAnswerBytes
