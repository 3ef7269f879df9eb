package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/route"
)

// policyRouter implements Router with policy/route.
type policyRouter struct {
	router         *route.Router
	rng            *rand.Rand
	sequence       uint64   // of announcements
	cacheSequences []uint64 // of cache events, by server
	attempts       map[int]*routedAttempt
	exclude        []string
	announced      bool
}

// routedAttempt is the router's state of a job's current attempt.
type routedAttempt struct {
	verdict  route.Verdict
	started  route.Attempt
	answered bool // the first token has arrived
}

// incarnation is the same for all servers: none restarts in the model.
const incarnation = 1

// PolicyRouter returns a Router made of route.Router with its default
// configuration, except for the scenario's number of entries, prefill rate and
// slot time, and for slow start, which is off: all servers have run for a while.
func PolicyRouter(s *Scenario, entry int) Router {
	cfg := route.DefaultConfig()
	cfg.Entries = s.Entries
	cfg.PrefillRate = s.Fleet.PrefillRate
	cfg.SlotTime = s.Fleet.slotTime(meanPromptTokens-prefixTokens, meanAnswerTokens)
	cfg.SlowStart = 0
	router, err := route.New(cfg)
	if err != nil {
		panic(err)
	}
	return &policyRouter{
		router:         router,
		rng:            rand.New(rand.NewPCG(uint64(entry), 78)),
		cacheSequences: make([]uint64, s.Fleet.Servers),
		attempts:       make(map[int]*routedAttempt),
	}
}

func (r *policyRouter) ObserveLoad(now, at time.Time, view []ServerView) {
	r.sequence++
	r.announced = true
	for i, v := range view {
		if !v.Alive {
			r.router.MarkLeaving(serverName(i), incarnation)
			continue
		}
		r.router.Announce(&instance.Announcement{
			ID: serverName(i), Incarnation: incarnation, Sequence: r.sequence, State: instance.StateServing,
			Zone: fmt.Sprint(v.Zone), Slots: v.Slots, Load: instance.Load{At: at, Running: v.ReportedLoad},
		}, at, now)
	}
}

func (r *policyRouter) ObserveCache(_ time.Time, server, source, prefix, tokens int, stored bool) {
	r.cacheSequences[server]++
	r.router.Prefixes().Apply(serverName(server), incarnation, instance.CacheEvent{
		Sequence: r.cacheSequences[server], Prefix: prefixHash(source, prefix), Stored: stored, Tokens: tokens,
	})
}

func prefixHash(source, prefix int) uint64 { return uint64(source)<<32 | uint64(prefix) + 1 }

// Route chooses among the servers with a free slot assigned to the entry, or
// among all live servers if there is none.
func (r *policyRouter) Route(now time.Time, j *Job, view []ServerView, tried []int) (int, bool) {
	if !r.announced {
		r.ObserveLoad(now, now, view)
	}
	req := &route.Request{Now: now, Seed: r.rng.Uint64(), PromptTokens: j.PromptTokens}
	if j.Prefix >= 0 {
		req.Prefixes = []uint64{prefixHash(j.sourceNumber, j.Prefix)}
	}
	for _, onlyFree := range []bool{true, false} {
		r.updateExclude(view, tried, onlyFree)
		req.Exclude = r.exclude
		if v := r.router.Choose(req); v.OK() {
			r.attempts[j.ID] = &routedAttempt{verdict: v}
			return serverNumber(v.Server), true
		}
	}
	return 0, false
}

// updateExclude sets r.exclude to the servers that Route must not choose; with
// onlyFree also those without a free slot assigned to the entry.
func (r *policyRouter) updateExclude(view []ServerView, tried []int, onlyFree bool) {
	r.exclude = r.exclude[:0]
	for i, v := range view {
		if !v.Alive || (onlyFree && (v.Assigned <= 0 || v.EstimatedLoad >= v.Slots)) {
			r.exclude = append(r.exclude, serverName(i))
		}
	}
	for _, i := range tried {
		r.exclude = append(r.exclude, serverName(i))
	}
}

func (r *policyRouter) Started(now time.Time, j *Job, _ int) {
	a := r.attempts[j.ID]
	a.started = r.router.Started(&a.verdict, now)
}

func (r *policyRouter) FirstToken(now time.Time, j *Job, _ int) {
	a := r.attempts[j.ID]
	a.answered = true
	r.router.FirstToken(&a.started, now)
}

func (r *policyRouter) Ended(now time.Time, j *Job, _ int, failed bool) {
	a := r.attempts[j.ID]
	delete(r.attempts, j.ID)
	switch {
	case failed:
		r.router.Failed(&a.started, now)
	case a.answered:
		r.router.Finished(&a.started, now)
	default:
		r.router.Cancelled(&a.started, now)
	}
}
