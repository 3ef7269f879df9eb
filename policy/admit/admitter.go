package admit

import (
	"math"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Admitter decides at one entry which requests are let in. It answers load
// above a workspace's limits and load above capacity; see the package's
// comment. It is not safe for concurrent use.
type Admitter struct {
	cfg        Config
	workspaces map[string]*workspace

	standing standingQueue
	retries  retryBacklog
}

// workspace is the state of one workspace at this entry.
type workspace struct {
	limits contract.Limits

	lease        Lease
	leaseExpires time.Time // of the lease's grant
	floorExpires time.Time

	requests bucket
	tokens   bucket
	allowed  Amount // what holds now
	running  int

	offeredRequests     rateMeter // requests
	offeredTokens       rateMeter
	concurrencyRefusals rateMeter // requests, for want of concurrency
}

// New returns an Admitter that knows no workspace; one it does not know has no
// limits. It returns the *policy.ConfigError of an invalid cfg.
func New(cfg Config) (*Admitter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Admitter{cfg: cfg, workspaces: make(map[string]*workspace)}, nil
}

func (a *Admitter) workspace(name string) *workspace {
	w, ok := a.workspaces[name]
	if !ok {
		w = &workspace{}
		a.workspaces[name] = w
	}
	return w
}

// SetLimits sets a workspace's limits over all entries, as the catalogue has
// them. What is limited needs a lease from then on.
func (a *Admitter) SetLimits(now time.Time, name string, limits contract.Limits) {
	w := a.workspace(name)
	w.limits = limits
	a.refreshAllowed(now, w)
}

// RemoveWorkspace drops a workspace that the catalogue no longer has.
func (a *Admitter) RemoveWorkspace(name string) { delete(a.workspaces, name) }

// Apply takes a lease in force. asked is when this entry sent the report that
// the lease answers: counting from any later instant, the entry could still use
// what the leader has given to another. A lease older than the one in force is
// ignored, since the leader may have counted it as given up.
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

// refreshAllowed sets what holds at now: the lease, after it the floor, then nothing.
func (a *Admitter) refreshAllowed(now time.Time, w *workspace) {
	allowed := w.leasedAmount(now).smaller(amountOf(w.limits))
	if allowed == w.allowed {
		return
	}
	w.allowed = allowed
	w.requests.setRate(now, allowed.RequestsPerSecond, a.cfg.Window)
	w.tokens.setRate(now, allowed.TokensPerSecond, a.cfg.Window)
}

func (w *workspace) leasedAmount(now time.Time) Amount {
	if now.Before(w.leaseExpires) {
		return w.lease.Grant
	}
	if now.Before(w.floorExpires) {
		return w.lease.Floor
	}
	return Amount{}
}

// Decide admits or refuses a request; random is uniform in [0, 1) and spreads
// RetryAfter. An admitted request counts as running until Done.
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

// checkWait judges whether the answer would come in time. wait is how much
// shorter the queue would have to be.
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
			a.standing.lastAbove = now // it goes on while anything is refused for it
			return TargetMissed, late
		}
	}
	if late := est.Wait - a.cfg.MaxWait.forClass(r.Class); late > 0 {
		return WaitTooLong, late
	}
	return Admitted, 0
}

// excessWait is how much too long an interactive request would wait. A burst may
// wait for Burst times the target, since a late answer is worth more than none.
// Once the queue stands, waiting gains nobody anything: as many are answered in a
// second from a short queue as from a long one, and from the short one in time.
// Since the target is meant for 95 in 100, that many of those let in have to meet
// it: at a small entry, where a slot comes free every few hundred milliseconds,
// that leaves no room to wait at all, and at a large one room for several.
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

// forClass returns the wait for a class.
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

// checkLimits judges the workspace's limits, by what is leased to this entry.
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

// refuseForLoad answers a request that the load leaves no room for. It is told when
// the queue will have drained far enough, those told before it included.
func (a *Admitter) refuseForLoad(now time.Time, r Request, reason Reason, wait time.Duration, random float64) Verdict {
	wait += a.retries.drainTime(now, r.Estimate.Rate)
	a.retries.add(r.Cost, a.cfg.MaxRetryAfter)
	return Verdict{Reason: reason, RetryAfter: a.retryAfter(wait, random)}
}

func (a *Admitter) refuseForLimit(reason Reason, wait time.Duration, random float64) Verdict {
	return Verdict{Reason: reason, RetryAfter: a.retryAfter(wait, random)}
}

// retryAfter spreads wait upwards by the jitter and rounds it up to whole
// seconds, the unit of the Retry-After field (RFC 9110, section 10.2.3).
func (a *Admitter) retryAfter(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, a.cfg.MinRetryAfter), a.cfg.MaxRetryAfter)
	jitter := max(float64(wait), float64(time.Second)) * a.cfg.Jitter * random
	wholeSeconds := math.Ceil((wait + time.Duration(jitter)).Seconds())
	return min(time.Duration(wholeSeconds)*time.Second, a.cfg.MaxRetryAfter)
}

// Done ends an admitted request that turned out to cost actual tokens instead
// of estimated.
func (a *Admitter) Done(now time.Time, name string, estimated, actual int64) {
	w := a.workspace(name)
	w.running = max(0, w.running-1)
	w.tokens.refill(now)
	w.charge(0, actual-estimated)
}

// charge takes from the buckets of what is limited. A bucket without a limit
// would only gather debt, which a limit set later would have to work off.
func (w *workspace) charge(requests float64, tokens int64) {
	if w.limits.RequestsPerSecond > 0 {
		w.requests.take(requests)
	}
	if w.limits.TokensPerSecond > 0 {
		w.tokens.take(float64(tokens))
	}
}

// Resume counts a request that another entry had admitted and handed over. It
// is let in whatever the limits: it has been accepted.
func (a *Admitter) Resume(name string) { a.workspace(name).running++ }

// Demands reports what callers ask of this entry, for the control leader, for
// each workspace that has limits, by name. term is the leader's, as its last
// reply gave it.
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
