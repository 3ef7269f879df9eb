package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy"
	"savoryreel.example/savoryreel/policy/hash"
)

// conversation is a conversation whose prompt grows with each turn.
type conversation struct {
	id    uint64
	turns int
}

func (c *conversation) job(output int) *job {
	j := &job{output: output, prefixes: []uint64{1}, lengths: []int{200}}
	c.turns++
	for i := range c.turns {
		j.prefixes = append(j.prefixes, hash.Pair(c.id, uint64(i)+7))
		j.lengths = append(j.lengths, 200+400*(i+1))
	}
	return j
}

// runConversations simulates the given number of callers, each of which sends its next turn
// some time after the answer and starts a new conversation after 12 turns.
func (m *model) runConversations(callers int, think, until time.Duration) {
	for range callers {
		c := &conversation{}
		var turn func()
		turn = func() {
			if c.turns%12 == 0 {
				*c = conversation{id: m.rng.Uint64()}
			}
			j := c.job(40 + m.rng.IntN(120))
			j.onDone = func() { m.schedule(seconds(m.rng.ExpFloat64()*think.Seconds()), turn) }
			m.submit(j)
		}
		m.schedule(seconds(m.rng.Float64()*think.Seconds()), turn)
	}
	m.run(until)
}

// Routing by load alone sends each turn of a conversation to another server, which prefills
// the whole prompt again, so that each turn waits longer. Fails without r.index.match in
// Choose.
func TestConversationsPrefillAtMostHalfOfLeastLoad(t *testing.T) {
	run := func(name string, p routingPolicy, freeLoad float64) *model {
		m := newModel(11, 12, 16, 7, p)
		for _, r := range m.routers {
			r.cfg.FreeLoad = freeLoad
		}
		m.eventLoss = 0.01
		m.runConversations(150, 4*time.Second, 120*time.Second)
		t.Logf("%-15s prompt %8d uncached %8d (%4.1f%%) p50 %v p95 %v", name, m.promptTokens, m.uncachedTokens,
			100*float64(m.uncachedTokens)/float64(m.promptTokens), m.percentile(0.5), m.percentile(0.95))
		return m
	}
	run("round robin", &roundRobin{}, 0.5)
	least := run("least reported", leastLoad{}, 0.5)
	leastWithOwn := run("least, own", leastLoad{addOwn: true}, 0.5)
	run("route, no free", routerPolicy{}, 0)
	routed := run("route", routerPolicy{}, 0.5)
	require.LessOrEqual(t, 2*routed.uncachedTokens, min(least.uncachedTokens, leastWithOwn.uncachedTokens))
	require.LessOrEqual(t, routed.percentile(0.95), min(least.percentile(0.95), leastWithOwn.percentile(0.95)))
}

// All callers share one long prefix. Prefix affinity alone sends every request to the server
// that caches it, where they queue while other servers idle. Fails without the call of
// atBound in collectCandidates and, for several entries, without otherSenders in atBound.
func TestHotPrefixStaysWithinBound(t *testing.T) {
	for _, entries := range []int{1, 7} {
		m := newModel(5, 12, 32, entries, routerPolicy{})
		m.runHotPrefix(120, 30*time.Second)
		t.Logf("entries %d: mean load at most %.3f of fair, peak %.3f, %d of %d starts over the bound, uncached %.1f%%, p95 %v",
			entries, m.imbalance(), m.peakLoadRatio, m.startsOverBound, len(m.firstTokens), 100*float64(m.uncachedTokens)/float64(m.promptTokens), m.percentile(0.95))
		require.LessOrEqual(t, m.imbalance(), 1.25)
		if entries == 1 {
			require.Zero(t, m.startsOverBound)
		}
		require.Less(t, m.startsOverBound*10, len(m.firstTokens), "starts over the bound, caused by other entries between two reports")
	}
}

// Seven entries that do not see each other's starts between reports must stay within the
// load bound on average over many seeds. A single seed may deviate from the mean.
func TestHotPrefixStaysWithinBoundOnAverage(t *testing.T) {
	const draws = 20
	over := 0.0
	for seed := range uint64(draws) {
		m := newModel(seed, 12, 32, 7, routerPolicy{})
		m.runHotPrefix(120, 30*time.Second)
		require.LessOrEqual(t, m.imbalance(), 1.25)
		over += float64(m.startsOverBound) / float64(len(m.firstTokens)) / draws
	}
	t.Logf("%.3f of the starts over the bound in the mean of %d draws", over, draws)
	require.Less(t, over, 0.1)
}

// runHotPrefix sends rate requests per second that share all but their last message.
func (m *model) runHotPrefix(rate float64, until time.Duration) {
	var arrive func()
	arrive = func() {
		m.submit(&job{prefixes: []uint64{1, 2, m.rng.Uint64()}, lengths: []int{200, 2000, 2050}, output: 100})
		m.schedule(seconds(m.rng.ExpFloat64()/rate), arrive)
	}
	m.schedule(0, arrive)
	m.run(until)
}

// Entries with the same load report must not all choose the server that looks idle. Otherwise
// they overload one server after the other, with late first tokens while other servers idle.
func TestSharedReportDoesNotCauseHerding(t *testing.T) {
	for _, entries := range []int{7, 100} {
		peakLoad := map[string]float64{}
		for name, p := range map[string]routingPolicy{"least reported": leastLoad{}, "least, own": leastLoad{addOwn: true}, "route": routerPolicy{}} {
			m := newModel(3, 24, 16, entries, p)
			m.runUnshared(120, 20*time.Second)
			peakLoad[name] = m.peakLoadRatio
			t.Logf("entries %3d %-15s peak load %.2f of fair, p95 %v", entries, name, m.peakLoadRatio, m.percentile(0.95))
		}
		require.Less(t, peakLoad["route"], peakLoad["least reported"])
		require.Less(t, peakLoad["route"], peakLoad["least, own"])
	}
}

// One prompt in twenty has 16000 tokens, two seconds of prefill. A router that counts only
// requests places short prompts behind them. Fails without pendingTokens in cost.
func TestShortPromptsAvoidQueuedLongPrompts(t *testing.T) {
	run := func(name string, p routingPolicy) time.Duration {
		m := newModel(9, 12, 32, 3, p)
		var short []time.Duration
		var arrive func()
		arrive = func() {
			j := &job{prefixes: []uint64{m.rng.Uint64()}, lengths: []int{300}, output: 60}
			if m.rng.IntN(20) == 0 {
				j.lengths[0] = 16_000
			} else {
				j.onFirstToken = func() { short = append(short, m.now.Sub(j.arrival)) }
			}
			m.submit(j)
			m.schedule(seconds(m.rng.ExpFloat64()/40), arrive)
		}
		m.schedule(0, arrive)
		m.run(120 * time.Second)
		m.firstTokens = short
		t.Logf("%-15s short prompts: p50 %v p95 %v", name, m.percentile(0.5), m.percentile(0.95))
		return m.percentile(0.95)
	}
	bestBaseline := min(run("round robin", &roundRobin{}), run("least reported", leastLoad{}), run("least, own", leastLoad{addOwn: true}))
	require.Less(t, run("route", routerPolicy{}), bestBaseline)
}

// Demand is 1, 2 and 5 times the capacity, so all servers are slow. Taking that for a fault
// would reduce the weight of one server after the other and overload the rest. Fails without
// slotWait in firstTokenEstimate.
func TestSaturationReducesNoWeight(t *testing.T) {
	for _, demandFactor := range []float64{1, 2, 5} {
		m := newModel(13, 12, 8, 3, routerPolicy{})
		m.runUnshared(demandFactor*12*8/2.1, 20*time.Second)
		weightSum, minWeight := 0.0, 1.0
		for _, e := range m.engines {
			share := m.routers[0].Weight(e.id, m.now)
			weightSum += share
			minWeight = min(minWeight, share)
		}
		t.Logf("%gx: answered %d, shares sum %.2f of 12, least %.2f, peak load %.2f of fair", demandFactor, len(m.firstTokens), weightSum, minWeight, m.peakLoadRatio)
		require.GreaterOrEqual(t, weightSum, 11.5)
	}
}

// runUnshared sends rate requests per second that share no prefix.
func (m *model) runUnshared(rate float64, until time.Duration) {
	var arrive func()
	arrive = func() {
		m.submit(&job{prefixes: []uint64{m.rng.Uint64()}, lengths: []int{600}, output: 100})
		m.schedule(seconds(m.rng.ExpFloat64()/rate), arrive)
	}
	m.schedule(0, arrive)
	m.run(until)
}

// A server answers ten times slower but announces itself as healthy. Without a reduced weight,
// a twelfth of all requests wait ten times as long. Fails without the cut in updateWeight.
func TestSlowServerWeightFallsAndRecovers(t *testing.T) {
	m := newModel(7, 12, 16, 3, routerPolicy{})
	slow := m.engines[4]
	at := 20 * time.Second
	var before, first5s, next20s, total int
	m.schedule(at, func() { slow.slowdown = 10; before = slow.started })
	m.schedule(at+5*time.Second, func() { first5s = slow.started - before; before = slow.started; total = len(m.firstTokens) })
	m.schedule(at+25*time.Second, func() {
		next20s = slow.started - before
		total = len(m.firstTokens) - total
		slow.slowdown = 1
	})
	m.runUnshared(60, 150*time.Second)
	share := float64(next20s) / float64(total)
	t.Logf("first 5 s: %d requests; next 20 s: %d of %d (%.2f%% of all, %.1f%% of a fair share)", first5s, next20s, total, 100*share, 1200*share)
	// The load bound alone gives 0.096 here; the limit is below that, to test the weight.
	require.Less(t, share*12, 0.05, "of a fair share, from 5 s on")
	recovered := 0.0
	for _, r := range m.routers {
		recovered += r.Weight(slow.id, m.now) / 3
	}
	t.Logf("share 105 s after it has recovered: %.2f", recovered)
	require.Greater(t, recovered, 0.9)
}

// A stopped process whose address still accepts connections sends no first token, so it has
// no latency sample. Its weight must fall because of its silence.
func TestSilentServerWeightFalls(t *testing.T) {
	r, now := testRouter(t, 6, 16)
	for i := range 200 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		v := r.Choose(&Request{Now: at, Seed: uint64(i), PromptTokens: 100})
		a := r.Started(&v, at)
		if v.Server != "server-0" {
			r.FirstToken(&a, at.Add(10*time.Millisecond))
			r.Finished(&a, at.Add(15*time.Millisecond))
		}
	}
	require.LessOrEqual(t, r.Weight("server-0", now.Add(4*time.Second)), 0.1)
	require.Equal(t, 1.0, r.Weight("server-1", now.Add(4*time.Second)))
}

// A server that refuses every connection has no load and no late first token, so it looks
// best, and a sixth of all requests would be retried. Fails without FailuresInRow in isSlow.
func TestFailingServerWeightFalls(t *testing.T) {
	r, now := testRouter(t, 6, 16)
	failed := 0
	for i := range 600 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		v := r.Choose(&Request{Now: at, Seed: uint64(i), PromptTokens: 100})
		a := r.Started(&v, at)
		if v.Server != "server-0" {
			r.Finished(&a, at.Add(15*time.Millisecond))
			continue
		}
		failed++
		r.Failed(&a, at.Add(time.Millisecond))
	}
	t.Logf("%d of 600 requests in 12 s went to the failing server, 100 would be its share", failed)
	require.Less(t, failed, 20)
}

// A few first tokens are late together, then the server gets no request for a while. The same
// samples must reduce its weight only once. Fails without the check of newEvidence in
// updateWeight.
func TestOldSamplesReduceWeightOnce(t *testing.T) {
	r, now := testRouter(t, 6, 16)
	for i := range 200 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		v := r.Choose(&Request{Now: at, Seed: uint64(i), PromptTokens: 100, Exclude: []string{"server-0"}})
		if i < 3 {
			v = r.Choose(&Request{Now: at, Seed: uint64(i), PromptTokens: 100, Exclude: []string{"server-1", "server-2", "server-3", "server-4", "server-5"}})
		}
		a := r.Started(&v, at)
		elapsed := 10 * time.Millisecond
		if v.Server == "server-0" {
			elapsed = 900 * time.Millisecond
		}
		r.Finished(&a, at.Add(elapsed))
	}
	require.InDelta(t, 0.25, r.Weight("server-0", now.Add(4*time.Second)), 1e-9)
}

// A new server has no load, so that it looks best, and an empty cache. Without slow start it
// would receive the first seconds of all traffic.
func TestNewServerGetsReducedWeight(t *testing.T) {
	r, now := testRouter(t, 6, 16)
	r.Announce(&instance.Announcement{ID: "new", Incarnation: 1, Sequence: 1, State: instance.StateServing, Slots: 16}, now, now)
	count := map[string]int{}
	for i := range 600 {
		v := r.Choose(&Request{Now: now, Seed: uint64(i), PromptTokens: 100})
		count[v.Server]++
	}
	t.Logf("of 600 decisions at once: new %d, others about 100 each", count["new"])
	require.Less(t, count["new"], 30)
	require.InDelta(t, 1, r.Weight("new", now.Add(10*time.Second)), 1e-9)
}

// Requests must run in another region, tens of milliseconds away, only if the servers of the
// own region are slower by that. Fails without distanceCost in cost.
func TestOwnRegionPreferredUntilLoaded(t *testing.T) {
	r, err := New(DefaultConfig())
	require.NoError(t, err)
	for _, region := range []string{"here", "there"} {
		a := announcement(region, 1, 1)
		a.Region, a.Slots = region, 100
		r.Announce(a, epoch, epoch)
	}
	now := epoch.Add(time.Minute)
	chosen := ""
	for i := range 60 {
		v := r.Choose(&Request{Now: now, Seed: uint64(i), Region: "here"})
		r.Started(&v, now)
		chosen += v.Server[:1]
	}
	require.Equal(t, "h", chosen[:1])
	require.Contains(t, chosen, "t", "the load bound sends the rest to the other region")
	require.Greater(t, strings.Count(chosen, "h"), strings.Count(chosen, "t"))
}

func testRouter(t require.TestingT, servers, slots int) (*Router, time.Time) {
	r, err := New(DefaultConfig())
	require.NoError(t, err)
	for i := range servers {
		a := announcement(fmt.Sprintf("server-%d", i), 1, 1)
		a.Slots = slots
		r.Announce(a, epoch, epoch)
	}
	return r, epoch.Add(time.Minute)
}

func announcement(id string, incarnation, sequence uint64) *instance.Announcement {
	return &instance.Announcement{ID: id, Incarnation: incarnation, Sequence: sequence, State: instance.StateServing, Slots: 8}
}

// For any order of announcements, leave notices and requests, the chosen server is serving,
// not excluded and has the adapter, and equal calls give equal verdicts. Otherwise requests
// are cut off on a leaving server or refused. Fails without the serving check in eligible, or
// if a later announcement reverts the leaving state.
func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := testRouter(t, 5, 4)
		b, _ := testRouter(t, 5, 4)
		leaving := map[string]bool{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("server-%d", rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				leaving[id] = true
				a.MarkLeaving(id, 1)
				b.MarkLeaving(id, 1)
			case 1:
				ann := announcement(id, 1, uint64(step+2))
				ann.Adapters = []string{"x"}
				a.Announce(ann, now, now)
				b.Announce(ann, now, now)
			default:
				req := &Request{Now: now, Seed: rapid.Uint64().Draw(t, "seed"), Prefixes: []uint64{1, 2}, PromptTokens: 50}
				req.Exclude = []string{"server-4"}
				if rapid.Bool().Draw(t, "adapter") {
					req.Adapter = "x"
				}
				v := a.Choose(req)
				require.Equal(t, v, b.Choose(req))
				if !v.OK() {
					require.GreaterOrEqual(t, v.Reason, ReasonNoServer)
					continue
				}
				require.False(t, leaving[v.Server])
				require.NotEqual(t, "server-4", v.Server)
				if req.Adapter != "" {
					require.Contains(t, a.servers[a.index.slotByID[v.Server]].adapters, "x")
				}
				a.Started(&v, now)
				b.Started(&v, now)
			}
		}
	})
}

// The error for an invalid Config must name the field.
func TestConfigNamesTheField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.LoadFactor = 1
	_, err := New(cfg)
	var configErr *policy.ConfigError
	require.ErrorAs(t, err, &configErr)
	require.Equal(t, "LoadFactor", configErr.Field)
}

func BenchmarkChoose600Servers64Prefixes(b *testing.B) {
	r, req := largeRouter(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		req.Seed = uint64(i)
		req.Now = req.Now.Add(time.Millisecond)
		r.Choose(req)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r, req := largeRouter(t)
	require.Zero(t, testing.AllocsPerRun(200, func() {
		req.Now = req.Now.Add(100 * time.Millisecond)
		req.Seed++
		r.Choose(req)
	}))
}

func largeRouter(t require.TestingT) (*Router, *Request) {
	r, now := testRouter(t, 600, 8)
	req := &Request{Now: now, PromptTokens: 6500}
	for i := range 64 {
		req.Prefixes = append(req.Prefixes, hash.Pair(uint64(i), 3))
	}
	for i := range 600 {
		for n := range 64 {
			if hash.Pair(uint64(i), uint64(n))%3 == 0 {
				r.index.store(i, req.Prefixes[n], 100*(n+1))
			}
		}
	}
	return r, req
}

// Guards against a history of own requests for each of thousands of servers, of which an entry
// uses few: it would take most of the entry's memory.
func TestOnlyUsedServersHaveAHistory(t *testing.T) {
	var s server
	start := time.Unix(1_700_000_000, 0)
	s.update(&instance.Announcement{ID: "s", Incarnation: 1, State: instance.StateServing, Slots: 4}, start, start)
	require.Nil(t, s.history)
	s.started(start.Add(time.Second))
	s.update(&instance.Announcement{ID: "s", Incarnation: 1, Sequence: 1, State: instance.StateServing, Slots: 4}, start, start.Add(2*time.Second))
	require.Equal(t, 1, s.netStarts)
}
