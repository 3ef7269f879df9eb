package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/policy/urgency"
	"savoryreel.example/savoryreel/routes"
)

// Pauses that refused callers are told, by what is likely to have changed then.
const (
	// catalogueRetry: an entry that has just started learns the catalogue within
	// a few hundred milliseconds.
	catalogueRetry = 300 * time.Millisecond
	// serverRetry: servers that were lost are replaced or heard of again within
	// a second or two.
	serverRetry = 500 * time.Millisecond
	// fullRetry: a full server takes a request again when one of its runs ends.
	fullRetry = 300 * time.Millisecond
)

// maxSends bounds how often one request is sent, whatever the reasons: each time
// costs a server something.
const maxSends = 5

// job is a request on its way through the entry.
type job struct {
	*Request
	gateway   *Gateway
	route     *routes.Route
	workspace *routes.Workspace // nil on public routes without a key
	service   *service
	out       Writer
	began     time.Time
	deadline  time.Time
	cost      float64
	limited   decision  // on its workspace's limit
	letIn     time.Time // within its workspace's limit
	late      bool      // its objective has passed since its caller's first try
	prefixes  []route.CachedPrefix

	sends    int      // requests that went out to a server
	runs     int      // of these, those that may have run
	tried    []string // servers that are not to be tried again
	begun    bool     // the caller has the answer's head
	status   int      // of the answer
	counted  bool     // in the usage
	lastID   string   // of the last event that the caller has
	lastSent string   // server of the last run, for the log

	firstByte time.Duration // from the arrival to the answer's head
}

// Serve answers a request, or returns why it is not answered. It returns once
// the answer has been written.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Writer) *Refusal {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	j := &job{Request: r, gateway: g, out: w, began: g.now(), lastID: r.ResumeAfter}
	refusal := j.admit(ctx)
	if refusal == nil {
		runCtx, cancel := context.WithDeadline(ctx, j.deadline)
		refusal = j.run(runCtx)
		cancel()
		if refusal != nil && refusal.Reason.NotRun() && j.workspace != nil {
			g.limits.refund(j.workspace.Name, j.cost, &j.limited)
		}
	}
	j.logEnd(refusal)
	g.outcomes.count(j, refusal)
	return refusal
}

// admit finds the request's route and workspace and holds it to the limits.
func (j *job) admit(ctx context.Context) *Refusal {
	g := j.gateway
	table := g.table.Load()
	if table == nil {
		return &Refusal{Reason: NoCatalogue, RetryAfter: catalogueRetry}
	}
	if j.route = table.Route(j.Host, j.Path); j.route == nil {
		return &Refusal{Reason: NoRoute}
	}
	if j.workspace = table.Workspace(j.Key); j.workspace == nil && table.Catalogue().KeysNeeded && !j.route.Public {
		return &Refusal{Reason: UnknownKey}
	}
	j.deadline = j.began.Add(j.route.Timeout)
	if callerGone := j.began.Add(j.CallerTimeout); j.CallerTimeout > 0 && callerGone.Before(j.deadline) {
		j.deadline = callerGone
	}
	if j.workspace != nil {
		j.cost = cost(j.workspace, j.Request)
		j.late = g.late(j.route, j.CallerTimeout)
		if refusal := j.takeLimit(ctx); refusal != nil {
			return refusal
		}
	}
	j.service = g.service(j.route.Choose(rand.Float64()))
	j.prefixes = prefixesOf(j.Model, j.PromptSegments)
	g.noteFirst(j.call())
	return nil
}

// takeLimit uses up the request's cost of its workspace's limit.
func (j *job) takeLimit(ctx context.Context) *Refusal {
	g := j.gateway
	j.limited = g.limits.take(ctx, j.workspace.Name, j.cost, j.late)
	j.letIn = g.now()
	g.uses.noteDecision(j.workspace.Name, j.cost, &j.limited)
	if !j.limited.ok {
		return &Refusal{Reason: OverLimit, RetryAfter: j.limited.wait, Detail: string(j.limited.grounds)}
	}
	return nil
}

// sendWithin is for how long a request that was let in may be sent.
const sendWithin = time.Second

// renewLimit uses up the request's cost once more if it was let in long ago and has not been
// sent. An entry that stood still would send in one moment what it had let in before, beside
// what is let in now.
func (j *job) renewLimit(ctx context.Context) *Refusal {
	if j.workspace == nil || j.sends > 0 || j.gateway.now().Sub(j.letIn) <= sendWithin {
		return nil
	}
	return j.takeLimit(ctx)
}

// workspaceName is empty on public routes.
func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

func (j *job) rank() int {
	if j.workspace != nil && j.workspace.HasRank {
		return j.workspace.Rank
	}
	return j.route.Rank
}

// call is the request as the retry policy sees it.
func (j *job) call() retry.Call {
	return retry.Call{
		Workspace: j.workspaceName(), Service: j.service.name, Class: contract.ClassInteractive,
		Idempotent: j.route.Repeatable(), Deadline: j.deadline,
	}
}

// run sends the request to servers until one has answered it, or it can't be
// sent any more.
func (j *job) run(ctx context.Context) *Refusal {
	for {
		if refusal := j.outOfTime(ctx); refusal != nil {
			return refusal
		}
		c, ok := j.choose(ctx)
		if !ok {
			return j.noServer(&c)
		}
		if refusal := j.renewLimit(ctx); refusal != nil {
			j.service.end(&c, endedByCaller, j.gateway.now())
			return refusal
		}
		j.logChoice(&c)
		result := j.runAt(ctx, &c)
		if result.refusal == nil && !result.again {
			return nil
		}
		if again := j.mayRepeat(ctx, &result); !again {
			return result.refusal
		}
	}
}

// choose asks what runs at the servers that come into question, and picks one.
func (j *job) choose(ctx context.Context) (choice, bool) {
	g := j.gateway
	req := j.routing()
	loads := g.books.ask(ctx, j.service.candidates(req))
	req.Now = g.now()
	j.service.noteAsked(loads, req.Now)
	req.Exclude = withoutDown(j.tried, loads)
	c, ok := j.service.choose(req, j.prefixes, req.Now)
	if !ok && len(req.Exclude) > len(j.tried) {
		req.Exclude = j.tried // one that was down a moment ago is better than none
		c, ok = j.service.choose(req, j.prefixes, req.Now)
	}
	c.rank = j.rank()
	if ok && !j.begun {
		c.rank, c.urgency = urgency.Decide(urgency.Request{
			Rank: c.rank, Objective: j.route.Objective, Waited: j.age(req.Now), Expected: c.verdict.Score, PrefillTime: c.read, Retried: j.late,
		})
	}
	return c, ok
}

// withoutDown adds the servers to those not to be used that another entry has just found
// not to be there any more. Each entry would find out by itself otherwise: the control
// replicas notice only after some heartbeats, and a server whose place is taken looks
// idle and draws requests until then.
func withoutDown(tried []string, loads []serverLoad) []string {
	out := slices.Clip(tried)
	for _, l := range loads {
		if l.Down {
			out = append(out, l.Server)
		}
	}
	return out
}

// routing is what the choice of a server is made from.
func (j *job) routing() *route.Request {
	node := &j.gateway.cfg.Node
	return &route.Request{
		Now: j.gateway.now(), Seed: rand.Uint64(), Prefixes: hashesOf(j.prefixes), PromptTokens: j.PromptTokens, SharedTokens: sharedTokens(j.prefixes),
		Zone: node.Zone, Region: node.Region, Exclude: j.tried, NoProbe: !j.route.Repeatable(),
	}
}

// outOfTime ends a request whose caller has gone or whose time is over.
func (j *job) outOfTime(ctx context.Context) *Refusal {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return &Refusal{Reason: CallerGone}
	case j.begun:
		return &Refusal{Reason: Truncated, Detail: "out of time"}
	case j.runs > 0:
		return &Refusal{Reason: TimedOut}
	default:
		return &Refusal{Reason: ExpiredUnsent}
	}
}

// noServer refuses a request that no server can take now.
func (j *job) noServer(c *choice) *Refusal {
	switch {
	case j.begun:
		return &Refusal{Reason: Truncated, Detail: c.verdict.Reason.String()}
	case j.runs > 0:
		return &Refusal{Reason: ServerFailed, Detail: c.verdict.Reason.String()}
	default:
		return &Refusal{Reason: NoServer, RetryAfter: serverRetry, Detail: c.verdict.Reason.String()}
	}
}

// result is what became of one run.
type result struct {
	refusal *Refusal // how the request ends if it is not sent again
	again   bool     // it may be sent again, if the rules of its route allow
	notRun  bool     // this run surely did not happen
	arrived bool     // it reached a server, so that another one counts as a repeat
	after   string   // server that was tried
}

// mayRepeat decides whether the request is sent again.
func (j *job) mayRepeat(ctx context.Context, r *result) bool {
	if !r.again || ctx.Err() != nil || j.sends >= maxSends {
		return false
	}
	if !r.notRun && (!j.route.Repeatable() || j.runs >= j.route.MaxServers) {
		return false
	}
	if r.after != "" {
		j.tried = append(j.tried, r.after)
	}
	if !r.arrived {
		return true // no server has seen it
	}
	v := j.gateway.failed(retry.Failure{Call: j.call(), Attempts: max(j.runs, 1), NotRun: r.notRun})
	event.Log(ctx, j.gateway.log, slog.LevelInfo, event.AttemptFailed, slog.String("request", j.ID), slog.String("server", r.after),
		slog.Bool("notRun", r.notRun), slog.Bool("again", v.Go), slog.String("reason", v.Reason.String()), slog.Duration("after", v.After))
	if !v.Go {
		return false
	}
	if v.After > 0 {
		daemon.Pause(ctx, v.After)
	}
	return true
}
