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

// limitRequest asks the owner of a pool to admit a request within a workspace's limit, or to
// refund the cost of a request that did not run. It is encoded by the order of its fields.
type limitRequest struct {
	Workspace string
	Pool      int
	Cost      float64 // in the limit's unit
	Late      bool    // the request's objective has passed
}

func (r *limitRequest) key() limit.Key { return limit.Key{Workspace: r.Workspace, Number: r.Pool} }

// limitResponse is the owner's decision. It is encoded by the order of its fields.
type limitResponse struct {
	OK   bool
	Wait time.Duration // until the pool will have enough tokens
}

const (
	// limitPools is the number of pools of a limit, each owned by another entry. If an owner
	// is lost, the other pools still admit requests.
	limitPools = 2
	// toleranceFraction is the fraction of the site's tolerance, that is, of what it allows
	// beyond a limit and its burst, that is added to the burst. The rest covers requests
	// larger than a pool and requests that are sent some time after they were admitted.
	toleranceFraction = 0.6
	// lateReserveFraction is the fraction of a pool that requests whose objective has passed
	// leave for those that can still meet theirs.
	lateReserveFraction = 0.25
	// unreachableRetryDelay is how long no requests go to an owner that did not respond.
	unreachableRetryDelay = 300 * time.Millisecond
	// noOwnerRetryAfter is returned to callers while no owner responds. It is about the time
	// until another entry takes the pool over or the lease expires.
	noOwnerRetryAfter = 500 * time.Millisecond
	// startupWindow is how long after its start an entry holds requests until it has a share
	// of the limits. maxStartupWait bounds the wait of one request.
	startupWindow  = 1500 * time.Millisecond
	maxStartupWait = 500 * time.Millisecond
	// firstLeaseDelay is how long the first shares take to reach the pools' owners. One
	// entry's share alone is too small for many requests.
	firstLeaseDelay = 100 * time.Millisecond
	// backoffFraction is the fraction of the wait in an owner's refusal during which this
	// entry repeats the refusal without asking, at most maxBackoff. It limits the messages
	// to owners from a workspace that sends many times its limit.
	backoffFraction = 0.25
	maxBackoff      = 100 * time.Millisecond
)

// limits enforces the workspaces' limits, which apply to all entries together. See package
// limit.
type limits struct {
	exchange *peerExchange
	bounds   site.Bounds
	log      *slog.Logger
	now      func() time.Time

	mu               sync.Mutex
	workspaces       map[string]routes.Workspace // by name, only those with a limit
	pools            *limit.PoolSet
	backoffs         map[limit.Key]backoff
	unreachableUntil map[string]time.Time // by entry; no requests go to it until then
	shares           *shares
	onShare          func(share float64) // called with the share each time that it is read; nil: not called
	start            time.Time
	hadShare         bool                         // this entry has had a share since its start
	shareReady       chan struct{}                // closed firstLeaseDelay after the first share
	lenders          map[string]lenderIncarnation // by entry
	renewal          leaseRenewal
	ownedWorkspaces  map[string]bool // workspaces of whose pools this entry has others' shares
}

// backoff is a pool owner's refusal that this entry repeats until a time.
type backoff struct {
	cost    float64 // of the refused request; cheaper ones still go to the owner
	until   time.Time
	retryAt time.Time // when the owner expects to admit such a request
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

// decision is whether a request was admitted within its workspace's limit, and its source.
type decision struct {
	ok     bool
	wait   time.Duration // until the request may be admitted, if refused
	source decisionSource
	pool   int // that admitted it, or was the last to refuse it
}

// decisionSource is what a decision was based on, as logs and metrics show it.
type decisionSource string

const (
	noLimit        decisionSource = "no limit"
	fromLocalPools decisionSource = "from pools kept here"
	fromOwner      decisionSource = "by the pool's keeper"
	fromBackoff    decisionSource = "by the keeper's last word"
	fromNoOwner    decisionSource = "no keeper answered"
)

// setWorkspaces replaces the limits by those of a catalogue.
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
	l.renewal.list = nil
}

// updateShare applies this entry's current share, by the control replicas' votes, to its
// pools.
func (l *limits) updateShare() {
	now := l.now()
	share := l.shares.share(now)
	if l.onShare != nil {
		l.onShare(share)
	}
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

// poolLimit returns the limit of each pool of a workspace. l.mu is held.
func (l *limits) poolLimit(workspace string) (limit.Limit, bool) {
	w, limited := l.workspaces[workspace]
	tolerance := l.bounds.QuotaOverrun*(w.PerSecond*l.bounds.QuotaWindow.Seconds()+w.Burst) + l.bounds.QuotaSlack
	return limit.Limit{Burst: (w.Burst + toleranceFraction*tolerance) / limitPools, Rate: w.PerSecond / limitPools, LateReserve: lateReserveFraction}, limited
}

// admit takes cost from the workspace's limit, or returns a decision with the time until it
// may succeed. objectivePassed applies to the request.
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

// waitForShare blocks until a newly started entry has a share. The share arrives within a
// few hundred milliseconds, sooner than a refused caller would retry.
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

// or returns the refusal with the shorter wait. A missing response counts only if no owner
// responded.
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

// remotePool is a pool that another entry owns, and the request to it.
type remotePool struct {
	owner   string
	request limitRequest
}

// admitLocally takes cost from the pools on this entry. It also returns the pools of other
// reachable owners, to try if the local ones have too few tokens.
func (l *limits) admitLocally(workspace string, cost float64, objectivePassed bool) (decision, []remotePool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	poolLimit, limited := l.poolLimit(workspace)
	if !limited {
		return decision{ok: true, source: noLimit}, nil // the limit was removed meanwhile
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
		wait = noOwnerRetryAfter // the local pools have no share
	}
	return decision{ok: ok, wait: wait, source: fromLocalPools, pool: firstPool}, remote
}

// decide answers another entry's request to a pool on this entry. known is false, and no
// response is sent, if this entry has no such limit.
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

// refund returns the cost of a request that did not run to the pool of its decision.
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

// refundLocal adds a refund to a pool on this entry.
func (l *limits) refundLocal(r *limitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if poolLimit, limited := l.poolLimit(r.Workspace); limited && r.Pool >= 0 && r.Pool < limitPools {
		l.pools.Pool(r.key(), poolLimit, l.now()).Refund(r.Cost, l.now())
	}
}

// inBackoff reports whether a request of this cost is refused by a pool's backoff, and the
// wait to return.
func (l *limits) inBackoff(key limit.Key, cost float64) (wait time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.backoffs[key]
	now := l.now()
	if !known || cost < b.cost || !now.Before(b.until) {
		return 0, false
	}
	return b.retryAt.Sub(now), true
}

func (l *limits) startBackoff(key limit.Key, cost float64, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	duration := min(time.Duration(backoffFraction*float64(wait)), maxBackoff)
	l.backoffs[key] = backoff{cost: cost, until: now.Add(duration), retryAt: now.Add(wait)}
}

func (l *limits) markUnreachable(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableUntil[entry] = l.now().Add(unreachableRetryDelay)
}

// logOwnership logs that this entry has started or stopped to hold the shares of others for
// pools of a workspace. l.mu is held.
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

// cost returns what a request counts against its workspace's limit.
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
