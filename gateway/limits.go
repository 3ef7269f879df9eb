package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// limitQuestion asks the entry that keeps a pool of a workspace's limit to let a request
// in, or gives back what one that did not run had taken.
type limitRequest struct {
	Workspace string
	Pool      int
	Cost      float64 // in the limit's unit
	Late      bool    // the request's objective has passed
}

func (r *limitRequest) key() limit.Key { return limit.Key{Workspace: r.Workspace, Number: r.Pool} }

// limitAnswer is the keeper's word.
type limitResponse struct {
	OK   bool
	Wait time.Duration // until there will be enough
}

const (
	// limitPools is how many pools a limit is divided into, each kept by another entry.
	// While one of these is lost, the rest of the limit is served.
	limitPools = 2
	// slackPart is the part of what the site's users allow beyond a limit and its burst
	// that may be used at once besides. The rest covers requests that are larger than a
	// pool, and what is sent a moment after it was let in.
	toleranceFraction = 0.6
	// lateLeaves is the part of a pool that requests whose objective has passed leave to
	// those that can still be in time. They are let in once the workspace sends less than
	// its limit, which fills the pool within seconds.
	lateReserveFraction = 0.25
	// silentFor is for how long an entry that did not answer is not asked again.
	unreachableRetryDelay = 300 * time.Millisecond
	// noAnswerRetry is what callers are told while no keeper answers: another entry takes
	// the pool over, or the lease runs out, in about that time.
	noOwnerRetryAfter = 500 * time.Millisecond
	// firstPartWait is how long after its start an entry holds requests back until it has a
	// share of the limits, and firstPartHold for how long at most.
	startupWindow  = 1500 * time.Millisecond
	maxStartupWait = 500 * time.Millisecond
	// firstLending is how long the first shares take to reach the keepers of the pools. One
	// entry's share alone is too small for many requests.
	firstLeaseDelay = 100 * time.Millisecond
	// closedPart is the part of the wait that a keeper has told for which a refusal is
	// repeated here: a workspace at many times its limit would have its keepers asked for
	// each of its requests.
	backoffFraction = 0.25
	maxBackoff      = 100 * time.Millisecond
)

// limits holds each workspace to its limit, which is over all entries together. See
// package limit.
type limits struct {
	exchange *peerExchange
	bounds   site.Bounds
	log      *slog.Logger
	now      func() time.Time

	mu               sync.Mutex
	workspaces       map[string]routes.Workspace // those with a limit
	pools            *limit.PoolSet
	backoffs         map[limit.Key]backoff
	unreachableUntil map[string]time.Time // entries that did not answer, until when they aren't asked
	shares           *shares
	start            time.Time
	hadShare         bool                         // a share, since the start
	shareReady       chan struct{}                // closed then
	lenders          map[string]lenderIncarnation // of the entries that have asked for their shares back
	renewal          leaseRenewal
	ownedWorkspaces  map[string]bool // workspaces of whose limits others' shares are here
}

// closure is a keeper's refusal that is repeated here for a moment.
type backoff struct {
	cost  float64 // of the request that was refused
	until time.Time
}

func newLimits(exchange *peerExchange, share *shares, bounds site.Bounds, log *slog.Logger, now func() time.Time) *limits {
	l := &limits{
		exchange: exchange, bounds: bounds, log: log, now: now, workspaces: make(map[string]routes.Workspace), pools: limit.NewPoolSet(exchange.self.Name),
		shares: share, lenders: make(map[string]lenderIncarnation), start: now(), shareReady: make(chan struct{}), backoffs: make(map[limit.Key]backoff), unreachableUntil: make(map[string]time.Time), ownedWorkspaces: make(map[string]bool),
	}
	l.renewal.pending = make(map[uint64]pendingLease)
	exchange.limits = l
	return l
}

// decision is whether a request was let in within its workspace's limit, and on what
// grounds.
type decision struct {
	ok     bool
	wait   time.Duration // until it may be, if it was not
	source decisionSource
	pool   int // that let it in, or refused it last
}

// grounds is what a decision on a limit was made from.
type decisionSource string

const (
	noLimit        decisionSource = "no limit"
	fromLocalPools decisionSource = "from pools kept here"
	fromOwner      decisionSource = "by the pool's keeper"
	fromBackoff    decisionSource = "by the keeper's last word"
	fromNoOwner    decisionSource = "no keeper answered"
)

// setWorkspaces takes the limits of a catalogue.
func (l *limits) setWorkspaces(list []routes.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.workspaces)
	for _, w := range list {
		if w.PerSecond > 0 {
			l.workspaces[w.Name] = w
		}
	}
	l.pools.Retain(func(workspace string) bool { return l.workspaces[workspace].PerSecond > 0 }, l.now())
	l.renewal.ownersListedAt = time.Time{}
}

// takePart takes this entry's share of each limit as the control replicas say it.
func (l *limits) updateShare() {
	now := l.now()
	share := l.shares.share(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now
	if share > 0 && !l.hadShare {
		since, l.hadShare = l.shares.unusedSince(), true
		time.AfterFunc(firstLeaseDelay, func() { close(l.shareReady) })
	}
	if share != l.pools.Share() {
		event.Log(context.Background(), l.log, slog.LevelInfo, event.ShareChanged,
			slog.Float64("part", share), slog.Float64("before", l.pools.Share()), slog.String("words", l.shares.String()))
	}
	l.pools.SetShare(share, since, now)
}

// limitOf returns what each pool of a workspace's limit may have. l.mu is held.
func (l *limits) poolLimit(workspace string) (limit.Limit, bool) {
	w, limited := l.workspaces[workspace]
	tolerance := l.bounds.QuotaOverrun*(w.PerSecond*l.bounds.QuotaWindow.Seconds()+w.Burst) + l.bounds.QuotaSlack
	return limit.Limit{Burst: (w.Burst + toleranceFraction*tolerance) / limitPools, Rate: w.PerSecond / limitPools, LateReserve: lateReserveFraction}, limited
}

// take uses up cost of the workspace's limit, or says when there will be enough. late
// says that the request's objective has passed.
func (l *limits) admit(ctx context.Context, workspace string, cost float64, objectivePassed bool) decision {
	if !l.hasLimit(workspace) {
		return decision{ok: true, source: noLimit}
	}
	l.waitForShare(ctx)
	d, remote := l.admitLocally(workspace, cost, objectivePassed)
	if d.ok {
		return d
	}
	for _, r := range remote {
		if wait, refused := l.inBackoff(r.request.key(), cost); refused {
			d = d.or(decision{wait: wait, source: fromBackoff, pool: r.request.Pool})
			continue
		}
		response, answered := l.exchange.requestAdmission(ctx, r.owner, r.request)
		switch {
		case !answered:
			l.markUnreachable(r.owner)
			d = d.or(decision{wait: noOwnerRetryAfter, source: fromNoOwner, pool: r.request.Pool})
		case response.OK:
			return decision{ok: true, source: fromOwner, pool: r.request.Pool}
		default:
			l.startBackoff(r.request.key(), cost, response.Wait)
			d = d.or(decision{wait: response.Wait, source: fromOwner, pool: r.request.Pool})
		}
	}
	return d.or(decision{wait: noOwnerRetryAfter, source: fromNoOwner})
}

func (l *limits) hasLimit(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.workspaces[workspace]
	return limited
}

// waitForPart returns once this entry has a share, if it has just started: it has one
// within a few hundred milliseconds, and a caller that is refused comes back later than that.
func (l *limits) waitForShare(ctx context.Context) {
	remaining := startupWindow - l.now().Sub(l.start)
	if remaining <= 0 {
		return
	}
	timeout := time.NewTimer(min(remaining, maxStartupWait))
	defer timeout.Stop()
	select {
	case <-l.shareReady:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// or returns the refusal that a caller is told: the one that ends first. That nobody
// answered counts only if nobody did.
func (d decision) or(next decision) decision {
	switch {
	case d.source == "", d.source == fromNoOwner:
		return next
	case next.source == fromNoOwner, d.wait <= next.wait:
		return d
	default:
		return next
	}
}

// remotePool is a pool that another entry keeps.
type remotePool struct {
	owner   string
	request limitRequest
}

// takeHere takes from the pools that are kept here, and returns those of others that may
// be asked if they have not enough.
func (l *limits) admitLocally(workspace string, cost float64, objectivePassed bool) (decision, []remotePool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	poolLimit, limited := l.poolLimit(workspace)
	if !limited {
		return decision{ok: true, source: noLimit}, nil // since this moment
	}
	now := l.now()
	var local []*limit.Pool
	var remote []remotePool
	firstPool := 0
	for i, offset := 0, rand.IntN(limitPools); i < limitPools; i++ {
		key := limit.Key{Workspace: workspace, Number: (offset + i) % limitPools}
		owner := l.pools.Borrower(key, now)
		if owner == "" {
			if len(local) == 0 {
				firstPool = key.Number
			}
			local = append(local, l.pools.Pool(key, poolLimit, now))
			owner = l.exchange.poolOwner(key)
		}
		if owner != "" && owner != l.exchange.self.Name && now.After(l.unreachableUntil[owner]) {
			remote = append(remote, remotePool{owner, limitRequest{Workspace: workspace, Pool: key.Number, Cost: cost, Late: objectivePassed}})
		}
	}
	if len(local) == 0 {
		return decision{}, remote
	}
	ok, wait := limit.Allow(local, cost, objectivePassed, now)
	if wait <= 0 {
		wait = noOwnerRetryAfter // nothing is here
	}
	return decision{ok: ok, wait: wait, source: fromLocalPools, pool: firstPool}, remote
}

// decide answers another entry for a pool that is kept here. A limit that is not known
// here yet goes without an answer.
func (l *limits) decide(r *limitRequest) (response limitResponse, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	poolLimit, limited := l.poolLimit(r.Workspace)
	if !limited || r.Pool < 0 || r.Pool >= limitPools {
		return limitResponse{}, false
	}
	now := l.now()
	ok, wait := limit.Allow([]*limit.Pool{l.pools.Pool(r.key(), poolLimit, now)}, r.Cost, r.Late, now)
	return limitResponse{OK: ok, Wait: wait}, true
}

// refund gives back what a request that did not run had used up.
func (l *limits) refund(workspace string, cost float64, d *decision) {
	r := limitRequest{Workspace: workspace, Pool: d.pool, Cost: cost}
	l.mu.Lock()
	owner := l.pools.Borrower(r.key(), l.now())
	l.mu.Unlock()
	if owner == "" {
		l.refundLocal(&r)
		return
	}
	l.exchange.sendRefund(owner, r)
}

// putBack takes what is given back of a pool that is kept here.
func (l *limits) refundLocal(r *limitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if poolLimit, limited := l.poolLimit(r.Workspace); limited && r.Pool >= 0 && r.Pool < limitPools {
		l.pools.Pool(r.key(), poolLimit, l.now()).Refund(r.Cost, l.now())
	}
}

func (l *limits) inBackoff(key limit.Key, cost float64) (wait time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.backoffs[key]
	remaining := b.until.Sub(l.now())
	if !known || cost < b.cost || remaining <= 0 {
		return 0, false
	}
	return time.Duration(float64(remaining) / backoffFraction), true
}

func (l *limits) startBackoff(key limit.Key, cost float64, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	duration := min(time.Duration(backoffFraction*float64(wait)), maxBackoff)
	l.backoffs[key] = backoff{cost: cost, until: l.now().Add(duration)}
}

func (l *limits) markUnreachable(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableUntil[entry] = l.now().Add(unreachableRetryDelay)
}

// logKept writes that this entry has begun to keep pools of a limit for others, or no
// longer does. l.mu is held.
func (l *limits) logOwnership(workspace string, shareSum float64) {
	owned := shareSum > l.pools.Share()
	if owned == l.ownedWorkspaces[workspace] {
		return
	}
	if owned {
		l.ownedWorkspaces[workspace] = true
	} else {
		delete(l.ownedWorkspaces, workspace)
	}
	event.Log(context.Background(), l.log, slog.LevelInfo, event.LimitOwned,
		slog.String("workspace", workspace), slog.Bool("owned", owned), slog.Float64("parts", shareSum), slog.Float64("ownPart", l.pools.Share()))
}

// cost is what a request counts against its workspace's limit.
func cost(w *routes.Workspace, r *Request) float64 {
	switch {
	case w.Unit == routes.Requests:
		return 1
	case r.HasSize:
		return float64(r.PromptTokens + r.AnswerTokens)
	default:
		return w.DefaultTokens
	}
}
