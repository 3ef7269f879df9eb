package admit

import (
	"math"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Admitter admits or refuses requests at one entry, by the leased limits of
// their workspaces and by the estimated wait. It is not safe for concurrent
// use.
type Admitter struct {
	cfg        Config
	workspaces map[string]*workspace

	standing standingQueue
	retries  retryBacklog
}

// workspace is an entry's state for one workspace.
type workspace struct {
	limits contract.Limits

	lease        Lease
	leaseExpires time.Time // when lease.Grant expires
	floorExpires time.Time // when lease.Floor expires

	requests bucket
	tokens   bucket
	allowed  Amount // amount in force, as of the last refreshAllowed
	running  int    // admitted requests, queued or running

	offeredRequests     rateMeter
	offeredTokens       rateMeter
	concurrencyRefusals rateMeter // requests refused with ConcurrencyLimit
}

// New returns an Admitter without workspaces, or a *policy.ConfigError if cfg
// is invalid. A workspace whose limits have not been set is unlimited.
func New(cfg Config) (*Admitter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Admitter{cfg: cfg, workspaces: make(map[string]*workspace)}, nil
}

// workspace returns the state of the named workspace and creates it if
// missing.
func (a *Admitter) workspace(name string) *workspace {
	w, ok := a.workspaces[name]
	if !ok {
		w = &workspace{}
		a.workspaces[name] = w
	}
	return w
}

// SetLimits sets a workspace's limits, which apply to all entries together. If
// any quantity is limited, requests are refused with NoLease until Apply has
// been called.
func (a *Admitter) SetLimits(now time.Time, name string, limits contract.Limits) {
	w := a.workspace(name)
	w.limits = limits
	a.refreshAllowed(now, w)
}

// RemoveWorkspace deletes the state of a workspace that is no longer in the
// catalogue.
func (a *Admitter) RemoveWorkspace(name string) { delete(a.workspaces, name) }

// Apply puts a lease into force, unless a newer one has been applied: the
// leader may already have granted an older lease's amount to another entry.
// reportSent is when this entry sent the report that the lease answers. The
// TTLs count from then; counted from any later time, the lease could outlast
// the leader's record of it.
func (a *Admitter) Apply(now, reportSent time.Time, lease Lease) {
	w := a.workspace(lease.Workspace)
	if !lease.newer(w.lease) {
		return
	}
	w.lease = lease
	w.leaseExpires = reportSent.Add(lease.TTL)
	w.floorExpires = reportSent.Add(lease.FloorTTL)
	a.refreshAllowed(now, w)
}

// refreshAllowed sets the amount in force at now: the grant until it expires,
// then the floor until it expires, then nothing. It never exceeds the
// workspace's limits.
func (a *Admitter) refreshAllowed(now time.Time, w *workspace) {
	allowed := w.leasedAmount(now).smaller(amountOf(w.limits))
	if allowed == w.allowed {
		return
	}
	w.allowed = allowed
	w.requests.setRate(now, allowed.RequestsPerSecond, a.cfg.Window)
	w.tokens.setRate(now, allowed.TokensPerSecond, a.cfg.Window)
}

// leasedAmount returns what the lease grants at now.
func (w *workspace) leasedAmount(now time.Time) Amount {
	if now.Before(w.leaseExpires) {
		return w.lease.Grant
	}
	if now.Before(w.floorExpires) {
		return w.lease.Floor
	}
	return Amount{}
}

// Decide admits or refuses a request. random must be uniform in [0, 1); it
// spreads RetryAfter. The caller must call Done for each admitted request,
// which counts as running until then.
func (a *Admitter) Decide(now time.Time, r Request, random float64) Verdict {
	w := a.workspace(r.Workspace)
	a.refreshAllowed(now, w)
	w.offeredRequests.add(now, 1, a.cfg.Memory)
	w.offeredTokens.add(now, float64(r.Cost), a.cfg.Memory)
	a.standing.observe(now, r, a.cfg.Standing)

	if reason, wait := a.checkWait(now, r); reason != Admitted {
		return a.refuseForLoad(now, r, reason, wait, random)
	}
	if reason, wait := w.checkLimits(now); reason != Admitted {
		if reason == ConcurrencyLimit {
			w.concurrencyRefusals.add(now, 1, a.cfg.Memory)
		}
		return a.refuseForLimit(reason, wait, random)
	}
	w.charge(1, r.Cost)
	w.running++
	return Verdict{Admit: true, Reason: Admitted}
}

// checkWait checks the estimated times against the request's deadline, its
// first-token target and the maximum wait of its class. If the request must be
// refused, wait is by how much the queue would have to shorten to admit it.
func (a *Admitter) checkWait(now time.Time, r Request) (reason Reason, wait time.Duration) {
	est := r.Estimate
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return DeadlinePassed, est.Wait
	}
	if !est.Known {
		return Admitted, 0
	}
	if !r.Deadline.IsZero() {
		answerTime := est.Wait + est.FirstToken + time.Duration(r.AnswerTokens)*est.TokenInterval
		if late := answerTime - r.Deadline.Sub(now); late > 0 {
			return DeadlineTooNear, late
		}
	}
	if r.FirstTokenTarget > 0 && r.Class == contract.ClassInteractive {
		if late := a.excessWait(now, r); late > 0 {
			a.standing.lastAbove = now // refusals for the target prolong the standing queue
			return TargetMissed, late
		}
	}
	if late := est.Wait - a.cfg.MaxWait.forClass(r.Class); late > 0 {
		return WaitTooLong, late
	}
	return Admitted, 0
}

// excessWait returns by how much the wait of an interactive request is too
// long; zero or less means acceptable.
//
// During a burst, the mean wait may reach Config.Burst times the target,
// because a late answer is better than a refusal. Once the queue is standing,
// a longer queue no longer increases throughput. The target is meant for 95 of
// 100 requests, so the 95th percentile of the time to the first token must
// meet it if the request has to wait, and held requests are refused. Small
// entries, whose slots become free only every few hundred milliseconds, may
// then admit no request that has to wait.
func (a *Admitter) excessWait(now time.Time, r Request) time.Duration {
	if a.standing.duration(now) < a.cfg.Standing {
		return r.Estimate.Wait - time.Duration(a.cfg.Burst*float64(r.FirstTokenTarget))
	}
	if r.Estimate.Held {
		return max(r.Estimate.Wait, a.cfg.MinRetryAfter)
	}
	if r.Estimate.Wait == 0 {
		return 0
	}
	return r.Estimate.WaitP95 + r.Estimate.FirstToken - r.FirstTokenTarget
}

// forClass returns the wait of class c.
func (w ClassWaits) forClass(c contract.Class) time.Duration {
	switch c {
	case contract.ClassInteractive:
		return w.Interactive
	case contract.ClassStandard:
		return w.Standard
	default:
		return w.Batch
	}
}

// checkLimits checks the workspace's use at this entry against the leased
// amounts. If a rate limit refuses the request, wait is the time until the
// rate allows another one.
func (w *workspace) checkLimits(now time.Time) (reason Reason, wait time.Duration) {
	if !hasLimit(w.limits) {
		return Admitted, 0
	}
	if !now.Before(w.leaseExpires) && !now.Before(w.floorExpires) {
		return NoLease, 0
	}
	if w.limits.RequestsPerSecond > 0 && !w.requests.available(now) {
		return RequestRateLimit, w.requests.availableIn()
	}
	if w.limits.TokensPerSecond > 0 && !w.tokens.available(now) {
		return TokenRateLimit, w.tokens.availableIn()
	}
	if w.limits.Concurrency > 0 && w.running >= w.allowed.Concurrency {
		return ConcurrencyLimit, 0
	}
	return Admitted, 0
}

// refuseForLoad refuses a request because of the load. RetryAfter also covers
// the work of callers refused earlier, so that they do not all retry together.
func (a *Admitter) refuseForLoad(now time.Time, r Request, reason Reason, wait time.Duration, random float64) Verdict {
	wait += a.retries.drainTime(now, r.Estimate.Rate)
	a.retries.add(r.Cost, a.cfg.MaxRetryAfter)
	return Verdict{Reason: reason, RetryAfter: a.retryAfter(wait, random)}
}

// refuseForLimit refuses a request because of its workspace's limits.
func (a *Admitter) refuseForLimit(reason Reason, wait time.Duration, random float64) Verdict {
	return Verdict{Reason: reason, RetryAfter: a.retryAfter(wait, random)}
}

// retryAfter adds jitter to wait and rounds it up to whole seconds, the unit
// of the Retry-After field (RFC 9110, section 10.2.3). The result lies between
// MinRetryAfter and MaxRetryAfter.
func (a *Admitter) retryAfter(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, a.cfg.MinRetryAfter), a.cfg.MaxRetryAfter)
	jitter := max(float64(wait), float64(time.Second)) * a.cfg.Jitter * random
	wholeSeconds := math.Ceil((wait + time.Duration(jitter)).Seconds())
	return min(time.Duration(wholeSeconds)*time.Second, a.cfg.MaxRetryAfter)
}

// Done ends an admitted request and corrects the charged tokens from the
// estimated to the actual cost.
func (a *Admitter) Done(now time.Time, name string, estimated, actual int64) {
	w := a.workspace(name)
	w.running = max(0, w.running-1)
	w.tokens.refill(now)
	w.charge(0, actual-estimated)
}

// charge takes requests and tokens from the buckets whose quantity is limited.
// An unlimited bucket is not charged: it would accumulate a debt that blocks
// requests once a limit is set.
func (w *workspace) charge(requests float64, tokens int64) {
	if w.limits.RequestsPerSecond > 0 {
		w.requests.take(requests)
	}
	if w.limits.TokensPerSecond > 0 {
		w.tokens.take(float64(tokens))
	}
}

// Resume counts a request that another entry admitted and handed over as
// running here. It is not checked against the limits, because it has already
// been admitted.
func (a *Admitter) Resume(name string) { a.workspace(name).running++ }

// Demands returns the demand at this entry of each workspace that has limits,
// sorted by name, for the report to the control leader. term is the leader's
// term from its last reply.
func (a *Admitter) Demands(now time.Time, term uint64) []Demand {
	var out []Demand
	for name, w := range a.workspaces {
		if hasLimit(w.limits) {
			out = append(out, a.demand(now, term, name, w))
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

func (a *Admitter) demand(now time.Time, term uint64, name string, w *workspace) Demand {
	timeConstant := a.cfg.Memory
	d := Demand{
		Workspace: name,
		Wanted: Amount{
			RequestsPerSecond: w.offeredRequests.rate(now, timeConstant),
			Concurrency:       w.running + int(math.Ceil(w.concurrencyRefusals.decayed(now, timeConstant)-0.5)),
			TokensPerSecond:   w.offeredTokens.rate(now, timeConstant),
		},
		Running:  w.running,
		HasFloor: now.Before(w.floorExpires),

		LastLeaseConcurrency: w.lease.Grant.Concurrency - w.lease.Floor.Concurrency,
	}
	if w.lease.Term == term {
		d.Applied = w.lease.Number
	}
	if now.Before(w.leaseExpires) {
		d.Held = w.lease.Grant
	}
	return d
}
