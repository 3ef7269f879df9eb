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
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// plainClient calls plain services. native.PlainClient implements it. The bool is
// false only if the error proves that the request did not run.
type plainClient interface {
	Do(ctx context.Context, address string, req *http.Request) (*http.Response, bool, error)
	DoOnce(ctx context.Context, address string, req *http.Request) (*http.Response, bool, error)
}

// plainCallTokens is the nominal cost of a plain call in tokens.
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

	reclaimed bool // the server of the last failed attempt was leaving
}

// handlePlain handles a call of a plain service under /svc/{service}/.
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
	ctx, cancel := e.callContext(r.Context(), call.request)
	defer cancel()
	call.ctx = ctx
	e.plainRunning.Add(1)
	defer e.plainRunning.Add(-1)
	if p := call.serve(); p != nil {
		p.RequestID = call.request.ID
		e.refuse(w, r, p)
	}
}

// callContext returns the context in which a call runs, until its deadline and the end of this
// entry. A call that may run only once continues after its caller has disconnected. If it were
// cancelled, its outcome would be unknown although the server may be about to answer, and no
// resend could get the answer.
func (e *Entry) callContext(caller context.Context, r *request.Request) (context.Context, context.CancelFunc) {
	if !r.Idempotent {
		caller = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithDeadline(caller, r.Deadline)
	stop := context.AfterFunc(e.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// acceptPlain validates and admits a plain call.
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
	if req.Body, p = e.readBody(c.http, s.BodyLimit()); p != nil {
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
		request: req, weight: c.workspace.Weight, lane: l, decision: make(chan decision, 1), sends: &sends{retries: e.retries, request: req},
		route: route.Request{Key: xxhash.Sum64String(req.Path), Zone: e.cfg.Zone, Region: e.cfg.Region, NoProbe: !req.Idempotent},
	}
	return &plainCall{entry: e, service: s, request: req, ticket: t, http: c.http, writer: w}, nil
}

// serve runs the call and answers the caller, or returns the problem to answer with.
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

// acquire queues the call until a server is granted and the quarantine admits it there.
func (c *plainCall) acquire() (*grant, *request.Problem) {
	if p := c.ticket.lane.submit(c.ticket); p != nil {
		return nil, p
	}
	g, p := c.awaitGrant()
	if p != nil {
		return nil, p
	}
	return c.checkGrant(g)
}

// awaitGrant waits for the queue's decision.
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

// checkGrant waits for the quarantine's decision and returns the grant, perhaps on another
// server, or the call's final problem.
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

// runRepeatable runs a call that may be repeated. It tries other servers until one answers,
// or returns the call's final problem. No byte has been sent to the caller by then.
func (c *plainCall) runRepeatable(g *grant) *request.Problem {
	outcome := request.NotRun
	for attempts := 1; ; {
		resp, _, err := c.send(g, c.entry.plainClient.Do)
		if err == nil {
			c.relay(g, resp)
			return nil
		}
		if !native.NotRun(err) {
			outcome = request.Unknown // even if a later attempt does not run
		}
		if c.ctx.Err() != nil {
			return request.NewProblem(request.CodeDeadlineExpired, outcome, "the deadline passed while the call ran")
		}
		next, p := c.nextGrant(g, attempts, err, outcome)
		if p != nil {
			return p
		}
		g = next
		attempts += countedAttempts(err)
	}
}

// send makes one attempt, and closes its grant if it fails. The bool is false only if the error
// proves that the request did not run.
func (c *plainCall) send(g *grant, do func(context.Context, string, *http.Request) (*http.Response, bool, error)) (*http.Response, bool, error) {
	out, err := c.backendRequest()
	if err != nil {
		c.cancelAttempt(g)
		return nil, false, err
	}
	started := c.entry.deps.Now()
	resp, sent, err := do(native.WithMaySend(c.ctx, c.ticket.maySend(g)), g.verdict.Address, out)
	if err == nil {
		c.entry.lanes.heedAnswer(g, native.NoticeOf(resp.StatusCode, resp.Header), resp.StatusCode < http.StatusInternalServerError)
		g.firstToken(c.entry.deps.Now().Sub(started))
		return resp, sent, nil
	}
	if c.ctx.Err() != nil || errors.Is(err, native.ErrWithdrawn) {
		c.cancelAttempt(g)
		return nil, sent, err
	}
	c.entry.closeFailed(g)
	c.entry.guard.attemptFailed(c.ctx, g, err)
	c.entry.metrics.attemptsFailed.Inc()
	event.Log(c.ctx, c.entry.deps.Log, slog.LevelWarn, event.AttemptFailed,
		slog.String("request", string(c.request.ID)), slog.String("server", g.verdict.Server),
		slog.Bool("sent", sent), slog.String("error", err.Error()))
	return nil, sent, err
}

// hopByHopHeaders lists the headers that apply to one connection (RFC 9110 section 7.6.1)
// and those that only this system reads.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", request.HeaderKeep, request.HeaderClass,
	native.HeaderLeaving, native.HeaderLimit,
}

// backendRequest returns the request that is sent to the backend server.
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

// relay streams a server's answer to the caller. If the answer is truncated, it aborts the
// caller's connection, so that the caller does not take the answer for a complete one.
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

// closeGrant closes the attempt's grant. err is the error that ended the answer's body, or
// nil if the body is complete.
func (c *plainCall) closeGrant(g *grant, err error) {
	var callErr *native.CallError
	switch {
	case err == nil:
		g.finished(plainCallTokens)
		c.entry.guard.finish(g.lane.key, g.quarantineRun)
	case errors.As(err, &callErr) && c.ctx.Err() == nil:
		c.entry.closeFailed(g)
		c.entry.guard.attemptFailed(c.ctx, g, err)
	default:
		c.cancelAttempt(g) // the caller has disconnected or the deadline has passed
	}
}

// cancelAttempt closes an attempt that ended here, without a fault of the server.
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

// flushWriter flushes after each write, so that a streamed answer is sent without delay.
type flushWriter struct{ http.ResponseWriter }

// Write writes and flushes p.
func (w flushWriter) Write(p []byte) (int, error) {
	rc := http.NewResponseController(w.ResponseWriter)
	_ = rc.SetWriteDeadline(time.Now().Add(flushTimeout)) // if the writer supports no deadline, the kernel's retransmission timeout applies
	n, err := w.ResponseWriter.Write(p)
	if err == nil {
		err = rc.Flush()
	}
	return n, err
}

// maxBufferedAnswerBytes bounds the answer of an at-most-once call that is buffered until it
// is complete, so that the caller gets all of a small answer or a problem.
const maxBufferedAnswerBytes = ledger.MaxAnswerBytes
