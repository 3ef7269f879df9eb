package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/policy/queue"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// laneKey names a pool of backend servers that can stand in for each other: all
// servers of one model, or all servers of one plain service.
type laneKey struct {
	kind contract.Kind
	name string
}

func laneOf(s *contract.Service) laneKey {
	if s.Kind == contract.KindModel {
		return laneKey{kind: s.Kind, name: s.Model}
	}
	return laneKey{kind: s.Kind, name: s.Name}
}

// lane is one pool's queue and router under one lock. It is the shard by which
// requests of different pools do not wait for each other.
type lane struct {
	key  laneKey
	self laneSelf
	log  *slog.Logger
	now  func() time.Time

	mu      sync.Mutex
	queue   *queue.Queue
	router  *route.Router
	drain   *admit.DrainEstimator
	starter *queue.Starter
	slots   map[string]int  // by backend server that serves
	slow    map[string]bool // servers that are eased off, as last logged
	held    map[string]int  // slots by workspace

	avoid     []string       // servers on which a suspect is tried: what crashes them would take new work along
	elsewhere map[string]int // slots by workspace at other entries, as last heard
	tickets   map[string]*ticket
	entries   int // how many entries share the servers
	number    int // this entry's number among them, from 0

	// Scratch space of free.
	occupancies []route.Occupancy
	parts       []int
}

// laneSelf is what a lane knows of the entry it belongs to.
type laneSelf struct {
	zone, region string
}

// ticket is one request's place in a lane, from submit until it is granted a
// server or refused.
type ticket struct {
	request  *request.Request
	lane     *lane
	route    route.Request
	failed   []string // servers that failed this request
	weight   int
	decision chan decision // receives exactly one
}

// decision ends a wait: a grant, or the problem that the caller gets.
type decision struct {
	grant   *grant
	problem *request.Problem
}

// unroutedRetry is when a caller should come back if no backend server is
// known: announcements repeat each second, so two seconds bring the next ones.
const unroutedRetry = 2 * time.Second

func newLane(key laneKey, self laneSelf, log *slog.Logger, now func() time.Time) (*lane, error) {
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
		key: key, starter: starter, entries: 1, self: self, log: log, now: now, queue: q, router: r,
		drain: admit.NewDrainEstimator(admit.DefaultConfig().Memory),
		slots: map[string]int{}, slow: map[string]bool{}, held: map[string]int{}, tickets: map[string]*ticket{},
	}, nil
}

// submit queues a new request and returns its ticket, or the problem with which
// it is refused at once.
func (l *lane) submit(t *ticket) *request.Problem {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) == 0 {
		return request.NewProblem(request.CodeNoServer, request.NotRun, "no backend server serves %s", l.key.name).After(unroutedRetry)
	}
	item := itemOf(t.request, t.weight, now)
	item.Deadline = l.latestStart(t.request, now)
	l.starter.Seen(now, &item)
	verdict := l.queue.Push(now, item)
	for _, item := range verdict.Evicted {
		l.refuse(item.ID, l.fullProblem(item.Workspace, now))
	}
	if !verdict.Accepted {
		if verdict.Reason == queue.AlreadyExpired {
			return expiredProblem()
		}
		return l.fullProblem(t.request.Workspace, now)
	}
	l.tickets[string(t.request.ID)] = t
	l.pump(now)
	return nil
}

// latestStart is when a request must start at the latest to be answered before
// its deadline, as far as is learnt of this lane. Without it, a queue that has
// stood for long starts requests just before their deadlines: each takes a slot
// and is cut off in the middle, and the fleet works for callers that have gone.
func (l *lane) latestStart(r *request.Request, now time.Time) time.Time {
	e := l.drain.Estimate(now, queue.Backlog{})
	takes := e.FirstToken + time.Duration(r.Answer)*e.TokenInterval
	left := r.Deadline.Sub(now)
	return r.Deadline.Add(-min(takes, left*9/10))
}

func itemOf(r *request.Request, weight int, now time.Time) queue.Item {
	return queue.Item{
		ID: string(r.ID), Workspace: r.Workspace, Service: r.Service, Class: r.Class, Weight: weight,
		Cost: int64(r.Cost), Deadline: r.Deadline, Enqueued: now,
	}
}

// estimate judges how a request that came now would fare.
func (l *lane) estimate(r *request.Request, weight int) admit.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	item := itemOf(r, weight, now)
	return l.drain.Estimate(now, l.starter.Backlog(now, l.queue, &item, l.free(now)))
}

// free sums up the slots of the lane's servers as this entry sees them. The lock
// is held.
func (l *lane) free(now time.Time) queue.Slots {
	turn := l.number + int(now.Unix())
	s := queue.Slots{Entries: l.entries, Entry: l.number, Report: int(now.Unix())}
	l.occupancies = l.router.Occupancies(l.occupancies[:0], now)
	l.parts = l.parts[:0]
	for _, o := range l.occupancies {
		l.parts = append(l.parts, o.Slots-o.Reported)
	}
	queue.SplitSlots(l.parts, l.entries, turn)
	for i, o := range l.occupancies {
		reported := max(0, o.Slots-o.Reported)
		believed := max(0, o.Slots-o.Reported-o.OwnSinceReport)
		s.Total += o.Slots
		s.Free += reported
		s.Taken += reported - believed
		if believed > 0 {
			s.Assigned += max(0, l.parts[i]-o.OwnSinceReport)
		}
	}
	return s
}

func expiredProblem() *request.Problem {
	return request.NewProblem(request.CodeDeadlineExpired, request.NotRun, "the deadline passed before a backend server was free")
}

func (l *lane) fullProblem(workspace string, now time.Time) *request.Problem {
	return request.NewProblem(request.CodeQueueFull, request.NotRun,
		"workspace %s has too many requests waiting for %s", workspace, l.key.name).After(l.drainTime(now))
}

// drainTime is a refused caller's wait before it asks again: the whole queue at
// the rate at which it drains, from one second to a minute, spread upwards by
// half so that those refused together do not come back together.
func (l *lane) drainTime(now time.Time) time.Duration {
	cfg := admit.DefaultConfig()
	rate, known := l.drain.Rate(now)
	if !known || rate <= 0 {
		return cfg.MinRetryAfter
	}
	wait := float64(l.queue.Tokens()) / rate * (1 + cfg.Jitter*rand.Float64())
	return min(max(time.Duration(wait*float64(time.Second)), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// refuse ends a waiting request's wait with a problem. The lock is held.
func (l *lane) refuse(id string, p *request.Problem) {
	t, waits := l.tickets[id]
	if !waits {
		return
	}
	delete(l.tickets, id)
	t.decision <- decision{problem: p}
}

// pump grants servers to waiting requests, in the queue's order, for as long as
// there are slots that this entry may take. The lock is held.
func (l *lane) pump(now time.Time) {
	for _, item := range l.queue.Expired(now) {
		l.refuse(item.ID, expiredProblem())
	}
	for l.startNext(now) {
	}
	slots := l.free(now)
	l.drain.SetFull(now, slots.Free <= slots.Taken || l.queue.Len() > 0)
}

// startNext grants a server to the next request that may start now.
func (l *lane) startNext(now time.Time) bool {
	slots := l.free(now)
	var chosen route.Verdict
	item, ok := l.queue.PopFunc(now, func(it *queue.Item) queue.Eligibility {
		v := l.starter.Decide(now, it, slots)
		if !v.Start {
			return v.Eligibility()
		}
		t := l.tickets[it.ID]
		t.route.Now, t.route.Seed, t.route.Exclude = now, rand.Uint64(), l.exclusions(t)
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
	t.decision <- decision{grant: l.grant(&chosen, &item, now)}
	l.logRoute(t.request, &chosen, now.Sub(item.Enqueued))
	return true
}

// exclusions lists the servers that a request is not sent to.
func (l *lane) exclusions(t *ticket) []string {
	switch {
	case len(t.failed) == 0:
		return l.avoid
	case len(l.avoid) == 0:
		return t.failed
	default:
		return slices.Concat(t.failed, l.avoid)
	}
}

// setAvoid tells the lane which servers get no new work while a suspect runs there.
func (l *lane) setAvoid(servers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoid = servers
}

// grant counts a start on the verdict's server.
func (l *lane) grant(v *route.Verdict, item *queue.Item, now time.Time) *grant {
	l.starter.Started(now, item)
	l.held[item.Workspace]++
	return &grant{lane: l, verdict: *v, attempt: l.router.Started(v, now), workspace: item.Workspace, estimate: item.Cost}
}

// again grants a server to a request that has been granted one before and lost
// it. It does not queue: its turn has come once, and behind a long queue its
// caller would see the answer stop. ok is false while no server can take it.
func (l *lane) again(t *ticket) (*grant, bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.route.Now, t.route.Seed, t.route.NoProbe = now, rand.Uint64(), true
	t.route.Exclude = l.exclusions(t)
	v := l.router.Choose(&t.route)
	if !v.OK() && v.Reason == route.ReasonAllExcluded {
		t.failed, t.route.Exclude = nil, l.avoid // better a server that failed once than none
		v = l.router.Choose(&t.route)
	}
	if !v.OK() {
		return nil, false
	}
	l.logRoute(t.request, &v, 0)
	item := itemOf(t.request, t.weight, now)
	item.Resumed = true
	return l.grant(&v, &item, now), true
}

// withdraw takes a waiting request out of the queue, because its caller left.
// It reports false when the request has been decided meanwhile.
func (l *lane) withdraw(id request.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := l.tickets[string(id)]; !waits {
		return false
	}
	delete(l.tickets, string(id))
	l.queue.Remove(string(id))
	return true
}

// tick refuses requests whose deadline has passed and grants what has room.
func (l *lane) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump(l.now())
}

// slowShare is the part of its full share below which a server counts as eased
// off in the log. A new server begins at a tenth and is not slow.
const slowShare = 0.5

// logSlow logs each server that begins or ceases to be eased off.
func (l *lane) logSlow() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.slots {
		slow := l.router.HealthWeight(id) < slowShare
		if slow == l.slow[id] {
			continue
		}
		l.slow[id] = slow
		event.Log(context.Background(), l.log, slog.LevelWarn, event.ServerSlow,
			slog.String("server", id), slog.Bool("slow", slow), slog.Float64("share", l.router.Weight(id, now)))
	}
}

// announce takes in a backend server's announcement.
func (l *lane) announce(a *instance.Announcement, loadAt time.Time) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.router.Announce(a, loadAt, now) {
		return
	}
	if a.State == instance.StateServing {
		l.slots[a.ID] = max(a.Slots, 1)
	} else {
		delete(l.slots, a.ID)
	}
	l.pump(now)
}

// leave stops new work to a server, whatever it last said of itself.
func (l *lane) leave(id string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router.MarkLeaving(id, incarnation)
	delete(l.slots, id)
}

// restore gives work again to a server whose planned stop was cancelled. The
// router takes a server that has begun to leave back only as a new one.
func (l *lane) restore(a *instance.Announcement, loadAt time.Time) {
	l.remove(a.ID)
	l.announce(a, loadAt)
}

// remove forgets a server.
func (l *lane) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.router.Remove(id)
	delete(l.slots, id)
	delete(l.slow, id)
}

// setEntries tells how many entries share the servers and which this one is.
func (l *lane) setEntries(n, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.number = n, number
	l.router.SetEntries(n)
}

// logRoute writes one line per routing decision, with the runners-up.
func (l *lane) logRoute(r *request.Request, v *route.Verdict, waited time.Duration) {
	ctx := context.Background()
	if !l.log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	others := make([]string, 0, len(v.RunnersUp()))
	for _, c := range v.RunnersUp() {
		others = append(others, c.Server+":"+strconv.FormatInt(c.Score.Milliseconds(), 10)+"ms")
	}
	event.Log(ctx, l.log, slog.LevelInfo, event.RouteChosen,
		slog.String("request", string(r.ID)), slog.String("workspace", r.Workspace),
		slog.String("service", r.Service), slog.String("class", string(r.Class)),
		slog.String("server", v.Server), slog.String("reason", v.Reason.String()),
		slog.Duration("score", v.Score), slog.Int("load", v.Load), slog.Int("cachedTokens", v.CachedTokens),
		slog.Duration("waited", waited), slog.Any("runnersUp", others))
}
