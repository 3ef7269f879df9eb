package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/hash"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// routingPolicy is a policy under test: the Router or a baseline.
type routingPolicy interface {
	choose(m *model, entry int, req *Request) (server int, v Verdict)
}

// job is one request in the model.
type job struct {
	arrival      time.Time
	prefixes     []uint64
	lengths      []int // tokens of each prefix
	output       int
	cachedTokens int
	entry        int
	attempt      Attempt
	onFirstToken func() // may be nil
	onDone       func() // may be nil
}

// engine models a server in virtual time: one prefill at a time, slots for concurrent
// decoding, and a prefix cache with least-recently-used eviction.
type engine struct {
	id            string
	slots         int
	slowdown      float64
	state         instance.State
	sequence      uint64
	running       int
	queue         []*job
	prefillFreeAt time.Time // when the prefills so far are finished
	cache         []cachedItem
	cachedTokens  int
	lastEvent     uint64 // number of the last cache event
	started       int    // requests started, in total
	reportedLoad  int    // running and queued requests as last announced
}

type cachedItem struct {
	prefix    uint64
	tokens    int // length of the whole prefix
	ownTokens int // tokens beyond the previous prefix
}

// model runs requests on engines through one or more entries, in virtual time.
type model struct {
	now       time.Time
	rng       *rand.Rand
	engines   []*engine
	routers   []*Router
	policy    routingPolicy
	events    eventHeap
	lastOrder int // tie-breaker of events at the same time

	cacheTokens int
	prefillRate float64
	tokenTime   time.Duration
	reportEvery time.Duration
	reportLag   time.Duration
	eventLoss   float64

	firstTokens     []time.Duration
	promptTokens    int
	uncachedTokens  int
	peakLoadRatio   float64   // highest load over fair load at a start
	startsOverBound int       // starts that exceeded ceil(1.25 * fair load)
	loadSums        []float64 // sum of each server's load, sampled every 100 ms
}

type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newModel(seed uint64, servers, slots, entries int, policy routingPolicy) *model {
	m := &model{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), policy: policy,
		cacheTokens: 60_000, prefillRate: 8000, tokenTime: 20 * time.Millisecond,
		reportEvery: time.Second, reportLag: 200 * time.Millisecond,
	}
	for i := range servers {
		m.engines = append(m.engines, &engine{
			id: fmt.Sprintf("server-%03d", i), slots: slots, slowdown: 1, state: instance.StateServing,
		})
	}
	for range entries {
		cfg := DefaultConfig()
		cfg.Entries = entries
		router, err := New(cfg)
		if err != nil {
			panic(err)
		}
		m.routers = append(m.routers, router)
	}
	m.loadSums = make([]float64, servers)
	m.reportLoads()
	m.sampleLoad()
	for _, r := range m.routers {
		for i := range r.servers {
			r.servers[i].firstSeen = epoch.Add(-time.Hour) // not new
		}
	}
	return m
}

func (m *model) schedule(d time.Duration, run func()) {
	m.lastOrder++
	heap.Push(&m.events, timedEvent{m.now.Add(d), m.lastOrder, run})
}

func (m *model) run(until time.Duration) {
	end := epoch.Add(until)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		next := heap.Pop(&m.events).(timedEvent)
		m.now = next.at
		next.run()
	}
}

// reportLoads announces each server's load to all entries after reportLag.
func (m *model) reportLoads() {
	at := m.now
	for _, e := range m.engines {
		e.sequence++
		a := &instance.Announcement{
			ID: e.id, Incarnation: 1, Sequence: e.sequence, Zone: "a", Region: "r",
			State: e.state, Slots: e.slots, Load: instance.Load{At: at, Running: e.running, Waiting: len(e.queue)},
		}
		deliver := func() {
			e.reportedLoad = a.Load.Running + a.Load.Waiting
			for _, r := range m.routers {
				r.Announce(a, at, m.now)
			}
		}
		if at.Equal(epoch) {
			deliver()
			continue
		}
		m.schedule(m.reportLag, deliver)
	}
	m.schedule(m.reportEvery, m.reportLoads)
}

func (m *model) sampleLoad() {
	for i, e := range m.engines {
		m.loadSums[i] += float64(e.running + len(e.queue))
	}
	m.schedule(100*time.Millisecond, m.sampleLoad)
}

// imbalance returns the ratio of the highest mean load of a server to the mean over all.
func (m *model) imbalance() float64 {
	sum := 0.0
	for _, a := range m.loadSums {
		sum += a
	}
	return slices.Max(m.loadSums) * float64(len(m.loadSums)) / sum
}

func (m *model) submit(j *job) {
	j.arrival = m.now
	j.entry = m.rng.IntN(len(m.routers))
	req := &Request{
		Now: m.now, Seed: m.rng.Uint64(), Prefixes: j.prefixes,
		PromptTokens: j.lengths[len(j.lengths)-1], Zone: "a", Region: "r",
	}
	i, v := m.policy.choose(m, j.entry, req)
	e := m.engines[i]
	j.attempt = m.routers[j.entry].Started(&v, m.now)
	e.started++
	m.promptTokens += req.PromptTokens
	m.recordLoadRatio(e)
	e.queue = append(e.queue, j)
	m.dispatch(e)
}

// recordLoadRatio records the server's load, including this request, relative to the fair
// load, for fair loads of at least 4, and counts starts over the bound.
func (m *model) recordLoadRatio(e *engine) {
	total := 1
	for _, other := range m.engines {
		total += other.running + len(other.queue)
	}
	fair := float64(total) / float64(len(m.engines))
	load := e.running + len(e.queue) + 1
	if load > max(int(math.Ceil(1.25*fair)), 2) {
		m.startsOverBound++
	}
	if fair >= 4 {
		m.peakLoadRatio = max(m.peakLoadRatio, float64(load)/fair)
	}
}

func (m *model) dispatch(e *engine) {
	for e.running < e.slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		m.startPrefill(e, j)
	}
}

func (m *model) startPrefill(e *engine, j *job) {
	for i := len(j.prefixes) - 1; i >= 0 && j.cachedTokens == 0; i-- {
		at := slices.IndexFunc(e.cache, func(c cachedItem) bool { return c.prefix == j.prefixes[i] })
		if at >= 0 {
			j.cachedTokens = j.lengths[i]
		}
	}
	uncached := j.lengths[len(j.lengths)-1] - j.cachedTokens
	m.uncachedTokens += uncached
	if e.prefillFreeAt.Before(m.now) {
		e.prefillFreeAt = m.now
	}
	duration := seconds((float64(uncached)/m.prefillRate + 0.02) * e.slowdown)
	e.prefillFreeAt = e.prefillFreeAt.Add(duration)
	m.schedule(e.prefillFreeAt.Sub(m.now), func() {
		m.store(e, j)
		m.firstTokens = append(m.firstTokens, m.now.Sub(j.arrival))
		m.routers[j.entry].FirstToken(&j.attempt, m.now)
		if j.onFirstToken != nil {
			j.onFirstToken()
		}
		m.schedule(seconds(float64(j.output)*m.tokenTime.Seconds()*e.slowdown), func() {
			m.routers[j.entry].Finished(&j.attempt, m.now)
			e.running--
			m.dispatch(e)
			if j.onDone != nil {
				j.onDone()
			}
		})
	})
}

// store adds the job's prefixes to the cache, newest last, and publishes the cache events.
func (m *model) store(e *engine, j *job) {
	for i, prefix := range j.prefixes {
		item := cachedItem{prefix, j.lengths[i], j.lengths[i]}
		if i > 0 {
			item.ownTokens -= j.lengths[i-1]
		}
		at := slices.IndexFunc(e.cache, func(c cachedItem) bool { return c.prefix == prefix })
		if at >= 0 {
			e.cache = append(slices.Delete(e.cache, at, at+1), item)
			continue
		}
		e.cache = append(e.cache, item)
		e.cachedTokens += item.ownTokens
		m.publish(e, instance.CacheEvent{Prefix: prefix, Stored: true, Tokens: j.lengths[i]})
	}
	for e.cachedTokens > m.cacheTokens {
		m.publish(e, instance.CacheEvent{Prefix: e.cache[0].prefix})
		e.cachedTokens -= e.cache[0].ownTokens
		e.cache = e.cache[1:]
	}
}

func (m *model) publish(e *engine, event instance.CacheEvent) {
	e.lastEvent++
	event.Sequence = e.lastEvent
	for _, r := range m.routers {
		if m.rng.Float64() < m.eventLoss {
			continue
		}
		m.schedule(300*time.Millisecond, func() {
			if r.Prefixes().Apply(e.id, 1, event) == Gap {
				r.Prefixes().Replace(e.id, e.listing())
			}
		})
	}
}

func (e *engine) listing() Listing {
	l := Listing{Incarnation: 1, Sequence: e.lastEvent}
	for _, c := range e.cache {
		l.Prefixes = append(l.Prefixes, CachedPrefix{c.prefix, c.tokens})
	}
	return l
}

func (m *model) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(m.firstTokens))
	return sorted[int(float64(len(sorted)-1)*p)]
}

// routerPolicy is the Router as a routingPolicy.
type routerPolicy struct{}

func (routerPolicy) choose(m *model, entry int, req *Request) (int, Verdict) {
	v := m.routers[entry].Choose(req)
	return slices.IndexFunc(m.engines, func(e *engine) bool { return e.id == v.Server }), v
}

// roundRobin selects the servers in turn, per entry.
type roundRobin struct{ next []int }

func (p *roundRobin) choose(m *model, entry int, _ *Request) (int, Verdict) {
	for len(p.next) <= entry {
		p.next = append(p.next, len(p.next))
	}
	p.next[entry]++
	return p.next[entry] % len(m.engines), Verdict{}
}

// leastLoad selects the server with the lowest reported load. With addOwn it uses the
// estimate that includes the requests of this entry.
type leastLoad struct{ addOwn bool }

func (p leastLoad) choose(m *model, entry int, req *Request) (int, Verdict) {
	best, bestLoad := 0, 1e9
	for i, e := range m.engines {
		load := float64(e.reportedLoad)
		if p.addOwn {
			slot := m.routers[entry].index.slotByID[e.id]
			load = m.routers[entry].servers[slot].load()
		}
		load += hash.Unit(hash.Pair(req.Seed, uint64(i))) // ties at random
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	e := m.engines[best]
	return best, Verdict{Candidate: Candidate{Server: e.id}, Incarnation: 1, uncachedTokens: req.PromptTokens}
}
