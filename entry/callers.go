package entry

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/request"
)

// Deadlines of requests, by default and at most.
const (
	defaultChatDeadline  = 5 * time.Minute
	defaultPlainDeadline = 60 * time.Second
	maxDeadline          = 30 * time.Minute
)

// maxKeyBytes bounds an Idempotency-Key, which the ledger stores for a day.
const maxKeyBytes = 255

// staleRetryDelay is sent as Retry-After by an entry that cannot confirm its catalogue.
// Another entry may accept the request meanwhile.
const staleRetryDelay = 2 * time.Second

// emptyRetryDelay is sent as Retry-After until the first catalogue has arrived.
const emptyRetryDelay = time.Second

// call is a caller's request that has been authenticated but not accepted yet.
type call struct {
	http      *http.Request
	arrived   time.Time
	catalogue *catalogue
	workspace *contract.Workspace
}

// authenticate finds the workspace of the request's bearer key. It refuses the request
// unless this entry accepts requests and its catalogue is confirmed.
func (e *Entry) authenticate(r *http.Request) (*call, *request.Problem) {
	c := &call{http: r, arrived: e.deps.Now()}
	if !e.acceptsRequests() {
		return nil, e.drainingProblem()
	}
	if c.catalogue = e.follower.inForce(); c.catalogue == nil {
		return nil, request.NewProblem(request.CodeCatalogueStale, request.NotRun,
			"no majority of control replicas has confirmed this entry's catalogue; other entries: %s", e.otherEntryAddresses()).After(staleRetryDelay)
	}
	if c.catalogue.empty() {
		return nil, request.NewProblem(request.CodeCatalogueStale, request.NotRun, "no catalogue has been accepted yet").After(emptyRetryDelay)
	}
	key, _ := request.BearerKey(r.Header)
	var known bool
	if c.workspace, known = c.catalogue.workspaceOf(key); !known {
		return nil, request.NewProblem(request.CodeUnauthorized, request.NotRun, "send the workspace's key as Authorization: Bearer")
	}
	return c, nil
}

// service returns the service of this name and kind if the workspace may call it and no
// planned stop covers it.
func (c *call) service(name string, kind contract.Kind) (*contract.Service, *request.Problem) {
	s, known := c.catalogue.services[name]
	switch {
	case !known || s.Kind != kind:
		return nil, request.NewProblem(request.CodeUnknownService, request.NotRun, "no %s service %q", kind, name)
	case !s.Allows(c.workspace.Name):
		return nil, request.NewProblem(request.CodeForbidden, request.NotRun, "workspace %s may not call %q", c.workspace.Name, name)
	case c.catalogue.serviceStopped(name, c.arrived):
		return nil, request.NewProblem(request.CodeStopped, request.NotRun, "service %q has a planned stop", name).After(stoppedRetryDelay)
	}
	return s, nil
}

// stoppedRetryDelay is sent as Retry-After by a stopped service. A stop takes minutes, and
// its end is not known.
const stoppedRetryDelay = 30 * time.Second

// newRequest builds a request from the headers that chat and plain calls have in common.
// fallback is the time to the deadline if the caller sets none.
func (e *Entry) newRequest(c *call, s *contract.Service, fallback time.Duration) (*request.Request, *request.Problem) {
	h := c.http.Header
	deadline, p := parseDeadline(h, c.arrived, fallback)
	if p != nil {
		return nil, p
	}
	key := h.Get(request.HeaderKey)
	if len(key) > maxKeyBytes {
		return nil, request.NewProblem(request.CodeBadRequest, request.NotRun, "%s is longer than %d bytes", request.HeaderKey, maxKeyBytes)
	}
	e.trafficShares.add(c.workspace.Name, c.arrived)
	return &request.Request{
		ID: request.NewID(e.cfg.Region), Workspace: c.workspace.Name, Service: s.Name,
		Class:  c.workspace.Class.Lower(contract.Class(h.Get(request.HeaderClass))),
		Method: c.http.Method, ContentType: h.Get("Content-Type"), Accept: h.Get("Accept"),
		Key: key, Keep: h.Get(request.HeaderKeep) == "true",
		Deadline: deadline, Accepted: c.arrived,
	}, nil
}

// parseDeadline reads the caller's deadline, in milliseconds from now, and limits it to
// maxDeadline. fallback applies if the caller sets none.
func parseDeadline(h http.Header, now time.Time, fallback time.Duration) (time.Time, *request.Problem) {
	text := h.Get(request.HeaderDeadline)
	if text == "" {
		return now.Add(fallback), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, request.NewProblem(request.CodeBadRequest, request.NotRun, "%s: %q is not a count of milliseconds", request.HeaderDeadline, text)
	}
	if ms <= 0 {
		return time.Time{}, request.NewProblem(request.CodeDeadlineExpired, request.NotRun, "the deadline has passed already")
	}
	return now.Add(min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline)), nil
}

// readBody reads a whole request body of at most limit bytes. It refuses the request if this
// entry has closed meanwhile: its requests may have been handed over already, and this one
// would be cut off.
func (e *Entry) readBody(r *http.Request, limit int64) ([]byte, *request.Problem) {
	body, p := readBody(r, limit)
	if p == nil && !e.acceptsRequests() {
		return nil, e.drainingProblem()
	}
	return body, p
}

// readBody reads a whole request body of at most limit bytes. Nothing is sent to a backend
// server before the body is complete, so a request whose body breaks off has not run and
// occupies no server.
func readBody(r *http.Request, limit int64) ([]byte, *request.Problem) {
	body, err := intake.ReadAll(r, limit)
	if err != nil {
		return nil, request.BodyProblem(err)
	}
	return body, nil
}

// refuseBusy refuses a request for which this process has no place.
func (e *Entry) refuseBusy(w http.ResponseWriter, r *http.Request, refused error) {
	e.refuse(w, r, request.BodyProblem(refused))
}

func tooLargeProblem(limit int64) *request.Problem {
	return request.NewProblem(request.CodeTooLarge, request.NotRun, "the body is larger than %d bytes", limit)
}

// refuse counts, logs and writes the final problem of a request.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, p *request.Problem) {
	e.metrics.requestEnded(p.Outcome, p.Code)
	event.Log(r.Context(), e.deps.Log, slog.LevelInfo, event.RequestRefused,
		slog.String("request", string(p.RequestID)), slog.String("method", r.Method), slog.String("path", r.URL.Path),
		slog.String("code", string(p.Code)), slog.String("outcome", string(p.Outcome)),
		slog.Duration("retryAfter", p.RetryAfter), slog.String("detail", p.Detail))
	p.Write(w)
}

// logEnd counts and logs the end of an accepted request. It is called once per request.
func (e *Entry) logEnd(r *request.Request, o request.Outcome, c request.Code, tokens int) {
	e.metrics.requestEnded(o, c)
	event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.RequestEnded,
		slog.String("request", string(r.ID)), slog.String("workspace", r.Workspace), slog.String("service", r.Service),
		slog.String("outcome", string(o)), slog.String("code", string(c)), slog.Int("tokens", tokens),
		slog.Duration("took", e.deps.Now().Sub(r.Accepted)))
}
