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
type limitQuestion struct {
	Workspace string
	Pool      int
	Cost      float64 // in the limit's unit
	Late      bool    // the request's objective has passed
}

func (q *limitQuestion) key() limit.Key { return limit.Key{Workspace: q.Workspace, Number: q.Pool} }

// limitAnswer is the keeper's word.
type limitAnswer struct {
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
	slackPart = 0.6
	// lateLeaves is the part of a pool that requests whose objective has passed leave to
	// those that can still be in time. They are let in once the workspace sends less than
	// its limit, which fills the pool within seconds.
	lateLeaves = 0.25
	// silentFor is for how long an entry that did not answer is not asked again.
	silentFor = 300 * time.Millisecond
	// noAnswerRetry is what callers are told while no keeper answers: another entry takes
	// the pool over, or the lease runs out, in about that time.
	noAnswerRetry = 500 * time.Millisecond
	// firstPartWait is how long after its start an entry holds requests back until it has a
	// share of the limits, and firstPartHold for how long at most.
	firstPartWait = 1500 * time.Millisecond
	firstPartHold = 500 * time.Millisecond
	// firstLending is how long the first shares take to reach the keepers of the pools. One
	// entry's share alone is too small for many requests.
	firstLending = 100 * time.Millisecond
	// closedPart is the part of the wait that a keeper has told for which a refusal is
	// repeated here: a workspace at many times its limit would have its keepers asked for
	// each of its requests.
	closedPart = 0.25
	closedMost = 100 * time.Millisecond
)

// limits holds each workspace to its limit, which is over all entries together. See
// package limit.
type limits struct {
	books  *bookkeeper
	bounds site.Bounds
	log    *slog.Logger
	now    func() time.Time

	mu         sync.Mutex
	workspaces map[string]routes.Workspace // those with a limit
	keeper     *limit.PoolSet
	closed     map[limit.Key]closure
	silent     map[string]time.Time // entries that did not answer, until when they aren't asked
	shares     *shares
	start      time.Time
	hadPart    bool                  // a share, since the start
	first      chan struct{}         // closed then
	lives      map[string]lenderLife // of the entries that have asked for their shares back
	asking     asking
	kept       map[string]bool // workspaces of whose limits others' shares are here
}

// closure is a keeper's refusal that is repeated here for a moment.
type closure struct {
	cost  float64 // of the request that was refused
	until time.Time
}

func newLimits(books *bookkeeper, own *shares, bounds site.Bounds, log *slog.Logger, now func() time.Time) *limits {
	l := &limits{
		books: books, bounds: bounds, log: log, now: now, workspaces: make(map[string]routes.Workspace), keeper: limit.NewPoolSet(books.self.Name),
		shares: own, lives: make(map[string]lenderLife), start: now(), first: make(chan struct{}), closed: make(map[limit.Key]closure), silent: make(map[string]time.Time), kept: make(map[string]bool),
	}
	l.asking.open = make(map[uint64]askedShares)
	books.limits = l
	return l
}

// decision is whether a request was let in within its workspace's limit, and on what
// grounds.
type decision struct {
	ok      bool
	wait    time.Duration // until it may be, if it was not
	grounds grounds
	pool    int // that let it in, or refused it last
}

// grounds is what a decision on a limit was made from.
type grounds string

const (
	noLimit      grounds = "no limit"
	fromHere     grounds = "from pools kept here"
	fromKeeper   grounds = "by the pool's keeper"
	fromLastWord grounds = "by the keeper's last word"
	fromNobody   grounds = "no keeper answered"
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
	l.keeper.Retain(func(workspace string) bool { return l.workspaces[workspace].PerSecond > 0 }, l.now())
	l.asking.listed = time.Time{}
}

// takePart takes this entry's share of each limit as the control replicas say it.
func (l *limits) takePart() {
	now := l.now()
	part := l.shares.part(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	since := now
	if part > 0 && !l.hadPart {
		since, l.hadPart = l.shares.freeSince(), true
		time.AfterFunc(firstLending, func() { close(l.first) })
	}
	if part != l.keeper.Share() {
		event.Log(context.Background(), l.log, slog.LevelInfo, event.ShareChanged,
			slog.Float64("part", part), slog.Float64("before", l.keeper.Share()), slog.String("words", l.shares.String()))
	}
	l.keeper.SetShare(part, since, now)
}

// limitOf returns what each pool of a workspace's limit may have. l.mu is held.
func (l *limits) limitOf(workspace string) (limit.Limit, bool) {
	w, limited := l.workspaces[workspace]
	allowed := l.bounds.QuotaOverrun*(w.PerSecond*l.bounds.QuotaWindow.Seconds()+w.Burst) + l.bounds.QuotaSlack
	return limit.Limit{Burst: (w.Burst + slackPart*allowed) / limitPools, Rate: w.PerSecond / limitPools, LateReserve: lateLeaves}, limited
}

// take uses up cost of the workspace's limit, or says when there will be enough. late
// says that the request's objective has passed.
func (l *limits) take(ctx context.Context, workspace string, cost float64, late bool) decision {
	if !l.limited(workspace) {
		return decision{ok: true, grounds: noLimit}
	}
	l.waitForPart(ctx)
	d, remote := l.takeHere(workspace, cost, late)
	if d.ok {
		return d
	}
	for _, r := range remote {
		if wait, closed := l.isClosed(r.question.key(), cost); closed {
			d = d.or(decision{wait: wait, grounds: fromLastWord, pool: r.question.Pool})
			continue
		}
		answer, asked := l.books.askLimit(ctx, r.keeper, r.question)
		switch {
		case !asked:
			l.noteSilent(r.keeper)
			d = d.or(decision{wait: noAnswerRetry, grounds: fromNobody, pool: r.question.Pool})
		case answer.OK:
			return decision{ok: true, grounds: fromKeeper, pool: r.question.Pool}
		default:
			l.close(r.question.key(), cost, answer.Wait)
			d = d.or(decision{wait: answer.Wait, grounds: fromKeeper, pool: r.question.Pool})
		}
	}
	return d.or(decision{wait: noAnswerRetry, grounds: fromNobody})
}

func (l *limits) limited(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.workspaces[workspace]
	return limited
}

// waitForPart returns once this entry has a share, if it has just started: it has one
// within a few hundred milliseconds, and a caller that is refused comes back later than that.
func (l *limits) waitForPart(ctx context.Context) {
	left := firstPartWait - l.now().Sub(l.start)
	if left <= 0 {
		return
	}
	timeout := time.NewTimer(min(left, firstPartHold))
	defer timeout.Stop()
	select {
	case <-l.first:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// or returns the refusal that a caller is told: the one that ends first. That nobody
// answered counts only if nobody did.
func (d decision) or(next decision) decision {
	switch {
	case d.grounds == "", d.grounds == fromNobody:
		return next
	case next.grounds == fromNobody, d.wait <= next.wait:
		return d
	default:
		return next
	}
}

// remotePool is a pool that another entry keeps.
type remotePool struct {
	keeper   string
	question limitQuestion
}

// takeHere takes from the pools that are kept here, and returns those of others that may
// be asked if they have not enough.
func (l *limits) takeHere(workspace string, cost float64, late bool) (decision, []remotePool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of, limited := l.limitOf(workspace)
	if !limited {
		return decision{ok: true, grounds: noLimit}, nil // since this moment
	}
	now := l.now()
	var here []*limit.Pool
	var remote []remotePool
	first := 0
	for i, start := 0, rand.IntN(limitPools); i < limitPools; i++ {
		key := limit.Key{Workspace: workspace, Number: (start + i) % limitPools}
		keeper := l.keeper.Borrower(key, now)
		if keeper == "" {
			if len(here) == 0 {
				first = key.Number
			}
			here = append(here, l.keeper.Pool(key, of, now))
			keeper = l.books.ownerOf(key)
		}
		if keeper != "" && keeper != l.books.self.Name && now.After(l.silent[keeper]) {
			remote = append(remote, remotePool{keeper, limitQuestion{Workspace: workspace, Pool: key.Number, Cost: cost, Late: late}})
		}
	}
	if len(here) == 0 {
		return decision{}, remote
	}
	ok, wait := limit.Allow(here, cost, late, now)
	if wait <= 0 {
		wait = noAnswerRetry // nothing is here
	}
	return decision{ok: ok, wait: wait, grounds: fromHere, pool: first}, remote
}

// decide answers another entry for a pool that is kept here. A limit that is not known
// here yet goes without an answer.
func (l *limits) decide(q *limitQuestion) (answer limitAnswer, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of, limited := l.limitOf(q.Workspace)
	if !limited || q.Pool < 0 || q.Pool >= limitPools {
		return limitAnswer{}, false
	}
	now := l.now()
	ok, wait := limit.Allow([]*limit.Pool{l.keeper.Pool(q.key(), of, now)}, q.Cost, q.Late, now)
	return limitAnswer{OK: ok, Wait: wait}, true
}

// refund gives back what a request that did not run had used up.
func (l *limits) refund(workspace string, cost float64, d *decision) {
	q := limitQuestion{Workspace: workspace, Pool: d.pool, Cost: cost}
	l.mu.Lock()
	keeper := l.keeper.Borrower(q.key(), l.now())
	l.mu.Unlock()
	if keeper == "" {
		l.putBack(&q)
		return
	}
	l.books.tellRefund(keeper, q)
}

// putBack takes what is given back of a pool that is kept here.
func (l *limits) putBack(q *limitQuestion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if of, limited := l.limitOf(q.Workspace); limited && q.Pool >= 0 && q.Pool < limitPools {
		l.keeper.Pool(q.key(), of, l.now()).Refund(q.Cost, l.now())
	}
}

func (l *limits) isClosed(key limit.Key, cost float64) (wait time.Duration, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.closed[key]
	left := c.until.Sub(l.now())
	if !known || cost < c.cost || left <= 0 {
		return 0, false
	}
	return time.Duration(float64(left) / closedPart), true
}

func (l *limits) close(key limit.Key, cost float64, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := min(time.Duration(closedPart*float64(wait)), closedMost)
	l.closed[key] = closure{cost: cost, until: l.now().Add(hold)}
}

func (l *limits) noteSilent(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[entry] = l.now().Add(silentFor)
}

// logKept writes that this entry has begun to keep pools of a limit for others, or no
// longer does. l.mu is held.
func (l *limits) logKept(workspace string, parts float64) {
	kept := parts > l.keeper.Share()
	if kept == l.kept[workspace] {
		return
	}
	if kept {
		l.kept[workspace] = true
	} else {
		delete(l.kept, workspace)
	}
	event.Log(context.Background(), l.log, slog.LevelInfo, event.LimitOwned,
		slog.String("workspace", workspace), slog.Bool("owned", kept), slog.Float64("parts", parts), slog.Float64("ownPart", l.keeper.Share()))
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
