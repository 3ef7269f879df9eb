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
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/policy/urgency"
	"savoryreel.example/savoryreel/routes"
)

// Retry-After values of refusals, by when the cause is likely to be gone.
const (
	// catalogueRetryAfter: an entry without the newest catalogue receives it within a few hundred
	// milliseconds.
	catalogueRetryAfter = 300 * time.Millisecond
	// serverRetryAfter: lost servers are replaced or reachable again within one or two
	// seconds.
	serverRetryAfter = 500 * time.Millisecond
	// fullServerRetryAfter: a full server accepts requests again when one of its requests
	// ends.
	fullServerRetryAfter = 300 * time.Millisecond
)

// maxSends bounds the sends of one request, for whatever reasons, since each costs a server
// something.
const maxSends = 5

// job is the state of one request.
type job struct {
	*Request
	gateway         *Gateway
	route           *routes.Route
	workspace       *routes.Workspace // nil on public routes without a key
	service         *service
	out             Writer
	startedAt       time.Time
	deadline        time.Time
	cost            float64
	limitDecision   decision  // by its workspace's limit
	admittedAt      time.Time // when limitDecision was made
	objectivePassed bool      // since the caller's first attempt
	prefixes        []route.CachedPrefix

	sends         int      // how often it was sent to a server
	runs          int      // sends that may have run
	triedServers  []string // excluded from further attempts
	answerStarted bool     // the answer's header was sent to the caller
	status        int      // of the answer
	// endsWithConnection: the last answer has neither length nor chunks.
	endsWithConnection bool
	usageCounted       bool
	lastEventID        string // last event sent to the caller
	lastServer         string // of the last attempt, for the log

	propertyFingerprints []uint64 // see properties
	trial                bool     // the next send has its trials; see takeTrial
	tokenRequests        int      // how often it asked for a token; see takeServerToken
	places               placeSearch

	versions        versionRule  // which of them may get the next send
	rolloutSend     *rolloutSend // the last one; nil without a rollout
	candidateFailed bool         // see rollouts.rules

	began *origin.Origin // what began the stream; nil: it has not begun

	repeatRefused string // why the retry budgets allow no repeat; empty if they have not refused one

	firstByte time.Duration // from the request's arrival to the answer's header
}

// Serve answers a request and returns nil, or returns why it was not answered. It returns
// once the answer has been written.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Writer) *Refusal {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	j := &job{Request: r, gateway: g, out: w, startedAt: g.now(), lastEventID: r.ResumeAfter}
	refusal := j.admit(ctx)
	if refusal == nil {
		runCtx, cancel := context.WithDeadline(ctx, j.deadline)
		refusal = j.run(runCtx)
		cancel()
		if refusal != nil && refusal.Reason.NotRun() && j.workspace != nil {
			g.limits.refund(j.workspace.Name, j.cost, &j.limitDecision)
		}
	}
	j.logEnd(refusal)
	g.outcomes.count(j, refusal)
	return refusal
}

// admit finds the request's route and workspace and applies the workspace's limit.
func (j *job) admit(ctx context.Context) *Refusal {
	g := j.gateway
	if refusal := j.lookUpInForce(ctx); refusal != nil {
		return refusal
	}
	j.deadline = j.startedAt.Add(j.route.Timeout)
	if callerDeadline := j.startedAt.Add(j.CallerTimeout); j.CallerTimeout > 0 && callerDeadline.Before(j.deadline) {
		j.deadline = callerDeadline
	}
	if j.takesUp() {
		if refusal := j.findOrigin(ctx); refusal != nil {
			return refusal
		}
	}
	if j.workspace != nil {
		j.cost = cost(j.workspace, j.Request)
		j.objectivePassed = g.objectivePassed(j.route, j.CallerTimeout)
		if refusal := j.admitWithinLimit(ctx); refusal != nil {
			return refusal
		}
	}
	j.service = g.service(j.chooseService())
	j.prefixes = prefixesOf(j.Model, j.PromptSegments)
	g.repeats.recordFirst(j.call())
	return nil
}

// admitWithinLimit takes the request's cost from its workspace's limit.
func (j *job) admitWithinLimit(ctx context.Context) *Refusal {
	g := j.gateway
	j.limitDecision = g.limits.admit(ctx, j.workspace.Name, j.cost, j.objectivePassed)
	j.admittedAt = g.now()
	g.limitUsage.recordDecision(j.workspace.Name, j.cost, &j.limitDecision)
	if !j.limitDecision.ok {
		return &Refusal{Reason: OverLimit, RetryAfter: j.limitDecision.wait, Detail: string(j.limitDecision.source)}
	}
	return nil
}

// maxAdmissionAge is how long after its admission a request may be sent.
const maxAdmissionAge = time.Second

// renewAdmission takes the request's cost again if it was admitted more than maxAdmissionAge
// ago and not sent. Otherwise an entry that was paused would send all requests admitted
// before in addition to those admitted now, and exceed the limit.
func (j *job) renewAdmission(ctx context.Context) *Refusal {
	if j.workspace == nil || j.sends > 0 || j.gateway.now().Sub(j.admittedAt) <= maxAdmissionAge {
		return nil
	}
	return j.admitWithinLimit(ctx)
}

// workspaceName returns the workspace's name; empty if there is none.
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

// call returns the request as the retry policy sees it.
func (j *job) call() retry.Call {
	return retry.Call{
		Workspace: j.workspaceName(), Service: j.service.name, Class: contract.ClassInteractive,
		Idempotent: j.route.Repeatable(), Deadline: j.deadline,
	}
}

// run sends the request to servers until one answers it or no further attempt is allowed.
func (j *job) run(ctx context.Context) *Refusal {
	defer j.endPlaceSearch(false)
	for {
		if refusal := j.contextRefusal(ctx); refusal != nil {
			return refusal
		}
		if !j.awaitLeaves(ctx) {
			return j.failureRefusal("what is known of the servers is not confirmed")
		}
		c, ok := j.chooseVersion(ctx)
		if !ok {
			if j.awaitPlace(ctx) {
				continue
			}
			return j.noServerRefusal(&c)
		}
		if refusal := j.refuseForLackOfRoom(ctx, &c); refusal != nil {
			j.service.withdraw(&c, j.gateway.now())
			return refusal
		}
		j.service.report(&c, j.gateway.now())
		if refusal := j.renewAdmission(ctx); refusal != nil {
			j.service.end(&c, endedByCaller, j.gateway.now())
			return refusal
		}
		if !j.takePlace(ctx, &c) {
			j.service.end(&c, endedByCaller, j.gateway.now())
			if len(j.places.full) >= maxPlacesAsked && !j.awaitPlace(ctx) {
				return j.fullRefusal()
			}
			continue
		}
		if !j.takeServerToken(ctx, &c) {
			j.service.end(&c, endedByCaller, j.gateway.now())
			if j.tokenRequests > maxTokenRequests {
				return j.limitedRefusal()
			}
			continue
		}
		if refusal := j.takeTrial(ctx); refusal != nil {
			j.service.end(&c, endedByCaller, j.gateway.now())
			return refusal
		}
		j.logChoice(&c)
		result := j.runAt(ctx, &c)
		if result.refusal == nil && !result.retryable {
			return nil
		}
		if result.brokeOff {
			j.recordBreakOf(ctx, &c, &result)
		}
		if allowed := j.mayRetry(ctx, &result); !allowed {
			return result.refusal
		}
	}
}

// choose queries the load of the candidates and picks one.
func (j *job) choose(ctx context.Context) (choice, bool) {
	g := j.gateway
	req := j.routeRequest()
	loads := g.exchange.queryLoads(ctx, j.service.candidates(req))
	req.Now = g.now()
	j.service.applyOwnerLoads(loads, req.Now)
	exclude := req.Exclude
	req.Exclude = excludeDown(exclude, loads)
	c, ok := j.service.choose(req, j.prefixes, req.Now)
	if !ok && len(req.Exclude) > len(exclude) {
		req.Exclude = exclude // a server that was down a moment ago is better than none
		c, ok = j.service.choose(req, j.prefixes, req.Now)
	}
	c.rank = j.rank()
	if ok && !j.answerStarted {
		c.rank, c.urgency = urgency.Decide(urgency.Request{
			Rank: c.rank, Objective: j.route.Objective, Waited: j.age(req.Now), ExpectedWait: c.verdict.Score, PrefillTime: c.prefillTime, Retried: j.objectivePassed,
		})
	}
	return c, ok
}

// excludeDown returns tried and the servers that another entry has just found gone. Control
// replicas notice only after missing heartbeats; until then such a server looks idle and
// draws requests from every entry.
func excludeDown(tried []string, loads []serverLoad) []string {
	out := slices.Clip(tried)
	for _, l := range loads {
		if l.Down {
			out = append(out, l.Server)
		}
	}
	return out
}

// routeRequest returns the input for the choice of a server.
func (j *job) routeRequest() *route.Request {
	node := &j.gateway.cfg.Node
	limited, _ := j.gateway.serverLimits.Waiting()
	return &route.Request{
		Now: j.gateway.now(), Seed: rand.Uint64(), Prefixes: hashesOf(j.prefixes), PromptTokens: j.PromptTokens, SharedTokens: sharedTokens(j.prefixes),
		Zone: node.Zone, Region: node.Region, Exclude: slices.Concat(j.triedServers, j.places.full, limited), NoProbe: !j.route.Repeatable(),
		Version: j.versions.only, AvoidVersions: j.versions.avoid, SameVersion: j.began != nil,
	}
}

// contextRefusal returns the refusal of a request whose caller has disconnected or whose
// deadline has passed; otherwise nil.
func (j *job) contextRefusal(ctx context.Context) *Refusal {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return &Refusal{Reason: CallerGone}
	case j.answerStarted:
		return &Refusal{Reason: Truncated, Detail: "out of time"}
	case j.runs > 0:
		return &Refusal{Reason: TimedOut}
	default:
		return &Refusal{Reason: ExpiredUnsent}
	}
}

// noServerRefusal returns the refusal of a request that no server can take.
func (j *job) noServerRefusal(c *choice) *Refusal {
	switch {
	case j.answerStarted:
		return &Refusal{Reason: Truncated, Detail: c.verdict.Reason.String()}
	case j.runs > 0:
		return &Refusal{Reason: ServerFailed, Detail: c.verdict.Reason.String()}
	case c.verdict.Reason == route.ReasonAllPaused:
		return pausedRefusal(&c.verdict)
	}
	switch {
	case j.began != nil && (c.verdict.Reason == route.ReasonNoVersion || c.verdict.Reason == route.ReasonNoServer):
		return &Refusal{Reason: VersionNotServed, RetryAfter: serverRetryAfter, Detail: c.verdict.Reason.String()}
	case len(j.places.full) > 0:
		return j.fullRefusal()
	case j.awaitsTokens():
		return j.limitedRefusal()
	}
	return &Refusal{Reason: NoServer, RetryAfter: serverRetryAfter, Detail: c.verdict.Reason.String()}
}

// result is the outcome of one attempt.
type result struct {
	refusal       *Refusal // returned if the request is not sent again
	retryable     bool     // it may be sent again if its route's rules allow
	notRun        bool     // this attempt certainly has not run
	reachedServer bool     // the retry policy decides on another attempt
	server        string   // excluded from further attempts; empty: none
	brokeOff      bool     // the server ended the connection without a complete answer
}

// mayRetry reports whether the request is to be sent again, after the backoff, which it
// waits for.
func (j *job) mayRetry(ctx context.Context, r *result) bool {
	if !r.retryable || ctx.Err() != nil || j.sends >= maxSends {
		return false
	}
	if !r.notRun && (!j.route.Repeatable() || j.runs >= j.route.MaxServers) {
		return false
	}
	if r.server != "" {
		j.triedServers = append(j.triedServers, r.server)
	}
	if !r.reachedServer {
		return true // nothing was tried
	}
	v := j.gateway.repeats.decide(retry.Failure{Call: j.call(), Attempts: max(j.runs, 1), NotRun: r.notRun})
	again := v.Go
	event.Log(ctx, j.gateway.log, slog.LevelInfo, event.AttemptFailed, slog.String("request", j.ID), slog.String("server", r.server),
		slog.Bool("notRun", r.notRun), slog.Bool("again", again), slog.String("reason", v.Reason.String()), slog.Duration("after", v.After))
	if !again {
		return false
	}
	if v.After > 0 {
		daemon.Pause(ctx, v.After)
	}
	return true
}
