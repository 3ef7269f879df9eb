package entry

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
	"savoryreel.example/savoryreel/serverlimit"
)

// laneKey identifies a pool of interchangeable backend servers: all servers of one model,
// or all servers of one plain service.
type laneKey struct {
	kind contract.Kind
	name string
}

// laneKeyOf returns the key of the pool that serves s.
func laneKeyOf(s *contract.Service) laneKey {
	if s.Kind == contract.KindModel {
		return laneKey{kind: s.Kind, name: s.Model}
	}
	return laneKey{kind: s.Kind, name: s.Name}
}

// lane is the queue and the router of one pool under one lock, so that requests of
// different pools do not contend.
type lane struct {
	key      laneKey
	location entryLocation
	limits   *serverlimit.Limits // of all lanes
	log      *slog.Logger
	now      func() time.Time

	mu             sync.Mutex
	queue          *queue.Queue
	router         *route.Router
	drainEstimator *admit.DrainEstimator
	starter        *queue.Starter
	serving        map[string]uint64 // incarnations of the serving backend servers
	loggedSlow     map[string]bool   // servers that were slow when last logged
	ownSlots       map[string]int    // slots held here, by workspace

	lastPauseEnd   time.Time      // when no server pauses any more
	avoidedServers []string       // servers that run a suspect, which may crash them
	remoteSlots    map[string]int // slots held at other entries, by workspace, as last reported
	tickets        map[string]*ticket
	entryCount     int // number of entries that share the servers
	entryIndex     int // position of this entry among them, from 0

	// Buffers that slotTotals reuses.
	occupancies []route.Occupancy
	entrySlots  []int
}

// entryLocation is where the entry runs.
type entryLocation struct {
	zone, region string
}

// ticket is one request's place in a lane, from submit until it is granted a server or
// refused.
type ticket struct {
	request       *request.Request
	lane          *lane
	route         route.Request
	parts         []uint64 // fingerprints of the messages that other chats may share; see partsOf
	failedServers []string // servers on which an attempt failed
	weight        int
	latestStart   time.Time
	decision      chan decision // receives exactly one decision, unless the request is withdrawn
	sends         *sends
}

// setOrigin confines the request to servers of the version that has generated its first token.
func (l *lane) setOrigin(t *ticket, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.route.Version, t.route.SameVersion = version, true
}

// servesOrigin reports whether a server of the version that has generated the request's first token
// serves, whether or not it may take the request now.
func (l *lane) servesOrigin(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := t.route
	req.Now, req.Exclude, req.AvoidVersions = l.now(), nil, nil
	return l.router.Serves(&req)
}

// origin returns the version that has generated the request's first token; known is false before it.
func (l *lane) origin(t *ticket) (version string, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.route.Version, t.route.SameVersion
}

// decision ends the wait of a request with a grant or with the problem for the caller.
type decision struct {
	grant   *grant
	problem *request.Problem
}

// noServerRetryDelay is sent as Retry-After if the pool has no server. Servers announce
// themselves every second.
const noServerRetryDelay = 2 * time.Second

func newLane(key laneKey, location entryLocation, limits *serverlimit.Limits, log *slog.Logger, now func() time.Time) (*lane, error) {
	q, err := queue.New(queue.DefaultConfig())
	if err != nil {
		return nil, err
	}
	r, err := route.New(route.DefaultConfig())
	if err != nil {
		return nil, err
	}
	starter, err := queue.NewStarter(queue.DefaultStartConfig())
	if err != nil {
		return nil, err
	}
	return &lane{
		key: key, starter: starter, entryCount: 1, location: location, limits: limits, log: log, now: now, queue: q, router: r,
		drainEstimator: admit.NewDrainEstimator(admit.DefaultConfig().Memory),
		serving:        map[string]uint64{}, loggedSlow: map[string]bool{}, ownSlots: map[string]int{}, tickets: map[string]*ticket{},
	}, nil
}

// submit queues a request, or returns the problem with which it is refused at once.
func (l *lane) submit(t *ticket) *request.Problem {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.serving) == 0 {
		return request.NewProblem(request.CodeNoServer, request.NotRun, "no backend server serves %s", l.key.name).After(noServerRetryDelay)
	}
	if pause := l.pauseFor(t, now); pause > 0 {
		return l.pausedProblem(pause)
	}
	item := itemOf(t.request, t.weight, now)
	item.Deadline = l.latestStart(t.request, now)
	t.latestStart = item.Deadline
	l.starter.ObserveArrival(now, &item)
	verdict := l.queue.Push(now, item)
	for _, item := range verdict.Evicted {
		l.refuse(item.ID, l.queueFullProblem(item.Workspace, now))
	}
	if !verdict.Accepted {
		if verdict.Reason == queue.AlreadyExpired {
			return expiredProblem()
		}
		return l.queueFullProblem(t.request.Workspace, now)
	}
	l.tickets[string(t.request.ID)] = t
	l.dispatch(now)
	return nil
}

// latestStart returns when a request must start to be answered before its deadline, by the
// estimated duration of its answer, but no earlier than after a tenth of the time that
// remains. Without it, a long queue would start requests shortly before their deadlines;
// each would be cut off half way, and the servers would work for callers that have gone.
// The lock is held.
func (l *lane) latestStart(r *request.Request, now time.Time) time.Time {
	e := l.drainEstimator.Estimate(now, queue.Backlog{})
	expected := e.FirstToken + time.Duration(r.Answer)*e.TokenInterval
	remaining := r.Deadline.Sub(now)
	return r.Deadline.Add(-min(expected, remaining*9/10))
}

// itemOf returns the queue item of a request.
func itemOf(r *request.Request, weight int, now time.Time) queue.Item {
	return queue.Item{
		ID: string(r.ID), Workspace: r.Workspace, Service: r.Service, Class: r.Class, Weight: weight,
		Cost: int64(r.Cost), Deadline: r.Deadline, Enqueued: now,
	}
}

// estimate returns the expected wait of a request that is submitted now.
func (l *lane) estimate(r *request.Request, weight int) admit.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	item := itemOf(r, weight, now)
	return l.drainEstimator.Estimate(now, l.starter.Backlog(now, l.queue, &item, l.slotTotals(now)))
}

// slotTotals sums up the slots of the lane's servers as this entry estimates them. The lock
// is held.
func (l *lane) slotTotals(now time.Time) queue.Slots {
	rotation := l.entryIndex + int(now.Unix())
	s := queue.Slots{Entries: l.entryCount, EntryNumber: l.entryIndex, ReportNumber: int(now.Unix())}
	l.occupancies = l.router.Occupancies(l.occupancies[:0], now)
	l.entrySlots = l.entrySlots[:0]
	for _, o := range l.occupancies {
		l.entrySlots = append(l.entrySlots, o.Slots-o.Reported)
	}
	queue.SplitSlots(l.entrySlots, l.entryCount, rotation)
	for i, o := range l.occupancies {
		reportedFree := max(0, o.Slots-o.Reported)
		estimatedFree := max(0, o.Slots-o.Reported-o.OwnSinceReport)
		s.Total += o.Slots
		s.Free += reportedFree
		s.Taken += reportedFree - estimatedFree
		if estimatedFree > 0 {
			s.Assigned += max(0, l.entrySlots[i]-o.OwnSinceReport)
		}
	}
	return s
}

func expiredProblem() *request.Problem {
	return request.NewProblem(request.CodeDeadlineExpired, request.NotRun, "the deadline passed before a backend server was free")
}

// queueFullProblem returns the problem of a request that the queue has no place for. The
// lock is held.
func (l *lane) queueFullProblem(workspace string, now time.Time) *request.Problem {
	return request.NewProblem(request.CodeQueueFull, request.NotRun,
		"workspace %s has too many requests waiting for %s", workspace, l.key.name).After(l.retryDelay(now))
}

// retryDelay returns the Retry-After of a refused request: the time in which the whole
// queue drains, within the bounds of admit.Config, plus jitter so that the refused callers
// do not all return at once. The lock is held.
func (l *lane) retryDelay(now time.Time) time.Duration {
	cfg := admit.DefaultConfig()
	rate, known := l.drainEstimator.Rate(now)
	if !known || rate <= 0 {
		return cfg.MinRetryAfter
	}
	wait := float64(l.queue.Tokens()) / rate * (1 + cfg.Jitter*rand.Float64())
	return min(max(time.Duration(wait*float64(time.Second)), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// refuse ends the wait of a request with a problem. The lock is held.
func (l *lane) refuse(id string, p *request.Problem) {
	t, waiting := l.tickets[id]
	if !waiting {
		return
	}
	delete(l.tickets, id)
	t.decision <- decision{problem: p}
}

// dispatch refuses expired requests and grants servers to waiting ones, in the queue's
// order, while this entry may take slots. The lock is held.
func (l *lane) dispatch(now time.Time) {
	for _, item := range l.queue.Expired(now) {
		l.refuse(item.ID, expiredProblem())
	}
	for l.dispatchNext(now) {
	}
	slots := l.slotTotals(now)
	l.drainEstimator.SetFull(now, slots.Free <= slots.Taken || l.queue.Len() > 0)
}

// dispatchNext grants a server to the next request that may start, and reports whether
// there was one. The lock is held.
func (l *lane) dispatchNext(now time.Time) bool {
	slots := l.slotTotals(now)
	var chosen route.Verdict
	item, ok := l.queue.PopFunc(now, func(it *queue.Item) queue.Eligibility {
		v := l.starter.Decide(now, it, slots)
		if !v.Start {
			return v.Eligibility()
		}
		t := l.tickets[it.ID]
		t.route.Now, t.route.Seed, t.route.Exclude = now, rand.Uint64(), l.excludedServers(t)
		if chosen = l.router.Choose(&t.route); !chosen.OK() {
			return queue.Waits
		}
		return queue.Runs
	})
	if !ok {
		return false
	}
	t := l.tickets[item.ID]
	delete(l.tickets, item.ID)
	t.decision <- decision{grant: l.newGrant(&chosen, &item, now)}
	l.logRoute(t.request, &chosen, now.Sub(item.Enqueued))
	return true
}

// excludedServers lists the servers that a request is not sent to. The lock is held.
func (l *lane) excludedServers(t *ticket) []string {
	avoided := l.avoidedNow()
	switch {
	case len(t.failedServers) == 0:
		return avoided
	case len(avoided) == 0:
		return t.failedServers
	default:
		return slices.Concat(t.failedServers, avoided)
	}
}

// avoidedNow lists the servers that get no new work: they run a suspect, or have no token left of
// what their limits allow. The lock is held.
func (l *lane) avoidedNow() []string {
	limited, _ := l.limits.Waiting()
	if len(limited) == 0 {
		return l.avoidedServers
	}
	return slices.Concat(l.avoidedServers, limited)
}

// setAvoidedServers sets the servers that get no new work while a suspect runs there.
func (l *lane) setAvoidedServers(servers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidedServers = servers
}

// newGrant counts a start on the verdict's server and returns its grant. The lock is held.
func (l *lane) newGrant(v *route.Verdict, item *queue.Item, now time.Time) *grant {
	l.starter.Started(now, item)
	l.ownSlots[item.Workspace]++
	return &grant{lane: l, verdict: *v, attempt: l.router.Started(v, now), workspace: item.Workspace, chargedTokens: item.Cost}
}

// regrant grants another server to a request that has lost its first one. The request does
// not queue again, since its answer would stall behind a long queue. ok is false while no
// server can take it.
func (l *lane) regrant(t *ticket) (*grant, bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.route.Now, t.route.Seed, t.route.NoProbe = now, rand.Uint64(), true
	t.route.Exclude = l.excludedServers(t)
	v := l.router.Choose(&t.route)
	if !v.OK() && v.Reason == route.ReasonAllExcluded {
		t.failedServers, t.route.Exclude = nil, l.avoidedNow() // prefer a server that has failed to none
		v = l.router.Choose(&t.route)
	}
	if !v.OK() {
		return nil, false
	}
	l.logRoute(t.request, &v, 0)
	item := itemOf(t.request, t.weight, now)
	item.Resumed = true
	return l.newGrant(&v, &item, now), true
}

// withdraw removes a waiting request from the queue. It reports false if the request has
// been decided already.
func (l *lane) withdraw(id request.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.tickets[string(id)]; !waiting {
		return false
	}
	delete(l.tickets, string(id))
	l.queue.Remove(string(id))
	return true
}

// tick refuses requests that can't start in time, and dispatches waiting ones.
func (l *lane) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.refusePaused(now)
	l.dispatch(now)
}

// announce applies a backend server's announcement, whose load was measured at loadAt, and
// dispatches waiting requests.
func (l *lane) announce(a *instance.Announcement, loadAt time.Time) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.router.Announce(a, loadAt, now) {
		return
	}
	if a.State == instance.StateServing {
		l.serving[a.ID] = a.Incarnation
	} else {
		delete(l.serving, a.ID)
	}
	l.dispatch(now)
}

// markLeaving stops new work to a server, whatever state it announces.
func (l *lane) markLeaving(id string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router.MarkLeaving(id, incarnation)
	delete(l.serving, id)
}

// restore resumes work to a server whose planned stop was cancelled. The server is removed
// first, because the router accepts one that was leaving only as a new server.
func (l *lane) restore(a *instance.Announcement, loadAt time.Time) {
	l.remove(a.ID)
	l.announce(a, loadAt)
}

// remove removes a server.
func (l *lane) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router.Remove(id)
	delete(l.serving, id)
	delete(l.loggedSlow, id)
}

// setEntries sets the number of entries that share the servers and the position of this one
// among them.
func (l *lane) setEntries(count, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryCount, l.entryIndex = count, index
	l.router.SetEntries(count)
}
