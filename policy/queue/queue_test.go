package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_700_000_000, 0)

func timeAt(d time.Duration) time.Time { return epoch.Add(d) }

func anyItem(*Item) bool { return true }

func newQueue(t testing.TB, change func(*Config)) *Queue {
	t.Helper()
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	q, err := New(cfg)
	require.NoError(t, err)
	return q
}

func fill(t testing.TB, q *Queue, now time.Time, n int, item Item) {
	t.Helper()
	for i := range n {
		item.ID = fmt.Sprintf("%s-%s-%d-%d", item.Workspace, item.Class, item.Cost, i)
		require.True(t, q.Push(now, item).Accepted)
	}
}

func TestConfigValidateNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"MaxItems":        func(c *Config) { c.MaxItems = 0 },
		"MaxPerWorkspace": func(c *Config) { c.MaxPerWorkspace = c.MaxItems + 1 },
		"Horizon":         func(c *Config) { c.Horizon = 0 },
		"LongRate":        func(c *Config) { c.LongRate = 0 },
		"LongMax":         func(c *Config) { c.LongMax = -1 },
		"AgeAfter":        func(c *Config) { c.AgeAfter = 0 },
		"AgedShare":       func(c *Config) { c.AgedShare = 0.6 },
		"MaxCredit":       func(c *Config) { c.MaxCredit = -1 },
	} {
		cfg := DefaultConfig()
		invalidate(&cfg)
		_, err := New(cfg)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
	assert.NoError(t, DefaultConfig().Validate())
}

// Without fair queueing a workspace's request waits behind all requests of another
// workspace's surge, and its first token is seconds late.
func TestSurgeDoesNotDelayOtherWorkspaces(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 500, Item{Workspace: "busy", Class: contract.ClassInteractive, Cost: 400})
	_, ok := q.Pop(timeAt(0), anyItem)
	require.True(t, ok)
	fill(t, q, timeAt(0), 1, Item{Workspace: "quiet", Class: contract.ClassInteractive, Cost: 400})
	item, _ := q.Pop(timeAt(0), anyItem)
	assert.Equal(t, "quiet", item.Workspace)
}

// If starts were counted in requests rather than tokens, a workspace with long answers
// would get many times the work of one with short answers.
func TestShareFollowsWeightInTokens(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 400, Item{Workspace: "long", Class: contract.ClassStandard, Weight: 1, Cost: 4_000})
	fill(t, q, timeAt(0), 4_000, Item{Workspace: "short", Class: contract.ClassStandard, Weight: 3, Cost: 400})
	tokensPopped := map[string]int64{}
	for range 1_000 {
		item, _ := q.Pop(timeAt(0), anyItem)
		tokensPopped[item.Workspace] += item.Cost
	}
	// About 100 of the 1,000 starts are long items; the difference is at most one of them.
	assert.InDelta(t, 3, float64(tokensPopped["short"])/float64(tokensPopped["long"]), 0.1)
}

// Without Charge a caller that understates the length of its answers gets several times
// its share.
func TestChargeCorrectsUnderstatedCost(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 1_000, Item{Workspace: "understates", Class: contract.ClassStandard, Cost: 100})
	fill(t, q, timeAt(0), 1_000, Item{Workspace: "honest", Class: contract.ClassStandard, Cost: 1_000})
	tokensRun := map[string]int{}
	for range 400 {
		item, _ := q.Pop(timeAt(0), anyItem)
		tokensRun[item.Workspace] += 1_000
		if item.Workspace == "understates" {
			q.Charge(item.Workspace, 900)
		}
	}
	assert.InDelta(t, 1, float64(tokensRun["understates"])/float64(tokensRun["honest"]), 0.05)
}

// If a full queue rejected every new item, one workspace's surge would lock out all
// others for as long as it lasts.
func TestFullQueueEvictsFromWorkspaceWithMostItemsForItsWeight(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxItems, c.MaxPerWorkspace = 100, 100 })
	fill(t, q, timeAt(0), 99, Item{Workspace: "surge", Class: contract.ClassInteractive, Cost: 10})
	fill(t, q, timeAt(time.Second), 1, Item{Workspace: "surge", Class: contract.ClassBatch, Cost: 10})

	v := q.Push(timeAt(time.Second), Item{ID: "a", Workspace: "quiet", Class: contract.ClassBatch, Cost: 10})
	assert.Equal(t, QueuedByEviction, v.Reason)
	require.Len(t, v.Evicted, 1)
	assert.Equal(t, contract.ClassBatch, v.Evicted[0].Class, "the lowest class goes first")
	assert.Equal(t, "surge", v.Evicted[0].Workspace)

	v = q.Push(timeAt(time.Second), Item{ID: "b", Workspace: "surge", Class: contract.ClassInteractive, Cost: 10})
	assert.False(t, v.Accepted)
	assert.Equal(t, TotalFull, v.Reason)
	assert.Equal(t, 100, q.Len())
}

// At its bound a workspace must lose batch items rather than interactive ones.
func TestWorkspaceBoundEvictsLeastUrgent(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxPerWorkspace = 3 })
	fill(t, q, timeAt(0), 3, Item{Workspace: "w", Class: contract.ClassBatch, Cost: 10})
	v := q.Push(timeAt(0), Item{ID: "urgent", Workspace: "w", Class: contract.ClassInteractive})
	assert.Equal(t, QueuedByEviction, v.Reason)
	assert.Equal(t, "w-batch-10-2", v.Evicted[0].ID)
	v = q.Push(timeAt(0), Item{ID: "late", Workspace: "w", Class: contract.ClassBatch})
	assert.Equal(t, Verdict{Reason: WorkspaceFull}, v)
}

// A request handed over by another entry was already accepted: rejecting it would lose
// its answer.
func TestResumedItemIsNeverRejected(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxItems, c.MaxPerWorkspace = 2, 2 })
	fill(t, q, timeAt(0), 2, Item{Workspace: "w", Class: contract.ClassInteractive, Cost: 1})
	for i := range 4 {
		v := q.Push(timeAt(0), Item{ID: fmt.Sprint(i), Workspace: "w", Class: contract.ClassBatch, Resumed: true})
		assert.True(t, v.Accepted)
	}
	assert.Equal(t, 4, q.Len(), "the two other items were evicted")
	v := q.Push(timeAt(0), Item{ID: "new", Workspace: "w", Class: contract.ClassInteractive})
	assert.Equal(t, Verdict{Reason: WorkspaceFull}, v)
	item, _ := q.Pop(timeAt(0), anyItem)
	assert.Equal(t, "0", item.ID)
}

// Items of one workspace start by class, and within a class by deadline.
func TestWorkspaceOrderIsClassThenDeadline(t *testing.T) {
	q := newQueue(t, nil)
	push := func(id string, c contract.Class, deadline time.Duration) {
		q.Push(timeAt(0), Item{ID: id, Workspace: "w", Class: c, Cost: 10, Deadline: timeAt(deadline)})
	}
	push("batch", contract.ClassBatch, time.Second)
	push("standard-late", contract.ClassStandard, 20*time.Second)
	push("standard-soon", contract.ClassStandard, 10*time.Second)
	push("interactive", contract.ClassInteractive, 25*time.Second)
	var order []string
	for item, ok := q.Pop(timeAt(0), anyItem); ok; item, ok = q.Pop(timeAt(0), anyItem) {
		order = append(order, item.ID)
	}
	assert.Equal(t, []string{"interactive", "standard-soon", "standard-late", "batch"}, order)
}

// In order of arrival short questions would wait for all long documents that the same
// workspace sent shortly before.
func TestShortItemsPassSlightlyOlderLongItems(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 20, Item{Workspace: "w", Class: contract.ClassStandard, Cost: 9_000})
	fill(t, q, timeAt(time.Second), 20, Item{Workspace: "w", Class: contract.ClassStandard, Cost: 100})
	for range 20 {
		item, _ := q.Pop(timeAt(time.Second), anyItem)
		assert.EqualValues(t, 100, item.Cost)
	}
}

// Without LongMax a steady overload of short items would starve a long one.
func TestLongItemDoesNotStarveAmongShortItems(t *testing.T) {
	q := newQueue(t, nil)
	q.Push(timeAt(0), Item{ID: "long", Workspace: "w", Class: contract.ClassStandard, Cost: 100_000})
	// Half of the items are served, so one that arrives after 10 s starts after 20 s.
	started := startedWithin(t, q, contract.ClassStandard, 21*time.Second)
	assert.True(t, slices.Contains(started, "long"))
}

// Without aging, interactive overload would starve a batch item of the same workspace.
func TestAgedBatchItemStartsDespiteInteractiveLoad(t *testing.T) {
	q := newQueue(t, nil)
	q.Push(timeAt(0), Item{ID: "batch", Workspace: "w", Class: contract.ClassBatch, Cost: 100})
	started := startedWithin(t, q, contract.ClassInteractive, 6*time.Second)
	assert.True(t, slices.Contains(started, "batch"))
}

// startedWithin pushes two short items and pops one every 10 ms until limit. It returns the
// IDs of the popped items.
func startedWithin(t *testing.T, q *Queue, c contract.Class, limit time.Duration) []string {
	t.Helper()
	var started []string
	for now := time.Duration(0); now < limit; now += 10 * time.Millisecond {
		for i := range 2 {
			q.Push(timeAt(now), Item{ID: fmt.Sprint(now, i), Workspace: "w", Class: c, Cost: 100})
		}
		item, _ := q.Pop(timeAt(now), anyItem)
		started = append(started, item.ID)
	}
	return started
}

// If aged items always went first, interactive requests would wait for a whole backlog of
// batch work.
func TestAgedBacklogIsLimitedToAgedShare(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 500, Item{Workspace: "w", Class: contract.ClassBatch, Cost: 1_000})
	fill(t, q, timeAt(time.Minute), 500, Item{Workspace: "w", Class: contract.ClassInteractive, Cost: 1_000})
	batch := 0
	for range 400 {
		item, _ := q.Pop(timeAt(time.Minute), anyItem)
		if item.Class == contract.ClassBatch {
			batch++
		}
	}
	assert.InDelta(t, 400*DefaultConfig().AgedShare, batch, 1)
}

// Running items whose deadline has passed would spend a saturated fleet on answers that
// nobody receives.
func TestExpiredItemsAreNeverPopped(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 10, Item{Workspace: "w", Class: contract.ClassInteractive, Cost: 10, Deadline: timeAt(time.Second)})
	q.Push(timeAt(0), Item{ID: "alive", Workspace: "w", Class: contract.ClassBatch, Cost: 10})
	item, ok := q.Pop(timeAt(time.Second), anyItem)
	require.True(t, ok)
	assert.Equal(t, "alive", item.ID)
	assert.Len(t, q.Expired(timeAt(time.Second)), 10)
	assert.Empty(t, q.Expired(timeAt(time.Second)), "each expired item is returned once")
	v := q.Push(timeAt(time.Second), Item{ID: "late", Workspace: "w", Deadline: timeAt(time.Second)})
	assert.Equal(t, Verdict{Reason: AlreadyExpired}, v)
}

// If Pop waited for a first item whose service has no servers, all items after it would
// wait while servers are idle.
func TestPopSkipsIneligibleItemsWithoutLosingTheirTurn(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 50, Item{Workspace: "blocked", Service: "gone", Class: contract.ClassInteractive, Cost: 100})
	fill(t, q, timeAt(0), 50, Item{Workspace: "other", Service: "up", Class: contract.ClassBatch, Cost: 100})
	up := func(i *Item) bool { return i.Service == "up" }
	for range 20 {
		item, ok := q.Pop(timeAt(0), up)
		require.True(t, ok)
		assert.Equal(t, "other", item.Workspace)
	}
	for range 20 {
		item, _ := q.Pop(timeAt(0), anyItem)
		assert.Equal(t, "blocked", item.Workspace, "the blocked workspace catches up")
	}
}

// A workspace whose servers return after an hour must not block all others until it has
// made up for that hour.
func TestCatchUpIsLimitedByMaxCredit(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxCredit = 1_000 })
	fill(t, q, timeAt(0), 1_000, Item{Workspace: "blocked", Service: "gone", Class: contract.ClassInteractive, Cost: 100})
	fill(t, q, timeAt(0), 1_000, Item{Workspace: "other", Service: "up", Class: contract.ClassInteractive, Cost: 100})
	for range 500 {
		_, ok := q.Pop(timeAt(0), func(i *Item) bool { return i.Service == "up" })
		require.True(t, ok)
	}
	popped := 0
	for item, _ := q.Pop(timeAt(0), anyItem); item.Workspace == "blocked"; item, _ = q.Pop(timeAt(0), anyItem) {
		popped++
	}
	assert.InDelta(t, 11, popped, 1)
}

// If idle time counted as credit, a workspace that was idle for hours could block all
// others for as long.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 1, Item{Workspace: "idle", Class: contract.ClassInteractive, Cost: 1})
	q.Pop(timeAt(0), anyItem)
	fill(t, q, timeAt(0), 300, Item{Workspace: "busy", Class: contract.ClassStandard, Cost: 100})
	for range 200 {
		q.Pop(timeAt(0), anyItem)
	}
	fill(t, q, timeAt(0), 100, Item{Workspace: "idle", Class: contract.ClassStandard, Cost: 100})
	got := map[string]int{}
	for range 100 {
		item, _ := q.Pop(timeAt(0), anyItem)
		got[item.Workspace]++
	}
	assert.InDelta(t, 50, got["busy"], 1)
}

// Stats and Backlog must match the queue's items after pushes and removals, since
// admission relies on them.
func TestRemoveStatsAndBacklog(t *testing.T) {
	q := newQueue(t, nil)
	q.Push(timeAt(0), Item{ID: "a", Workspace: "w", Class: contract.ClassInteractive, Weight: 3, Cost: 100})
	q.Push(timeAt(time.Second), Item{ID: "b", Workspace: "w", Class: contract.ClassBatch, Cost: 200})
	q.Push(timeAt(0), Item{ID: "c", Workspace: "v", Class: contract.ClassBatch, Cost: 400})
	assert.Equal(t, Backlog{Ahead: 100, Total: 700, Waiting: 1, OtherWorkspaces: 1, Share: 0.75}, q.Backlog("w", contract.ClassStandard, 0))
	assert.Equal(t, Backlog{Ahead: 0, Total: 700, OtherWorkspaces: 2, Share: 0.2}, q.Backlog("new", contract.ClassStandard, 1))

	stats, ok := q.Stats("w")
	require.True(t, ok)
	assert.Equal(t, WorkspaceStats{Workspace: "w", Weight: 3, Items: 2, Tokens: 300, Oldest: timeAt(0), Share: 0.75}, stats)

	item, ok := q.Remove("a")
	require.True(t, ok)
	assert.Equal(t, "a", item.ID)
	_, ok = q.Remove("a")
	assert.False(t, ok)
	assert.Equal(t, Verdict{Reason: DuplicateID}, q.Push(timeAt(0), Item{ID: "b", Workspace: "w"}))
	assert.Equal(t, Verdict{Reason: Unnamed}, q.Push(timeAt(0), Item{ID: "x"}))
	assert.Equal(t, 2, q.Len())
	assert.EqualValues(t, 600, q.Tokens())
}

// Memory must not grow with every workspace name that has ever been used.
func TestIdleFlowsAreDropped(t *testing.T) {
	q := newQueue(t, nil)
	for i := range 10_000 {
		q.Push(timeAt(0), Item{ID: "x", Workspace: fmt.Sprint(i)})
		q.Pop(timeAt(0), anyItem)
	}
	assert.LessOrEqual(t, len(q.flows), minIdleToDrop+1)
}

// model drives a queue with random calls and checks its invariants after each.
type model struct {
	q       *Queue
	now     time.Time
	lastID  int
	waiting map[string]Item
}

func (m *model) push(t *rapid.T) {
	m.lastID++
	item := Item{
		ID:        fmt.Sprint(m.lastID),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Service:   rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
		Class:     rapid.SampledFrom([]contract.Class{contract.ClassInteractive, contract.ClassStandard, contract.ClassBatch}).Draw(t, "class"),
		Weight:    rapid.IntRange(0, 4).Draw(t, "weight"),
		Cost:      rapid.Int64Range(0, 5_000).Draw(t, "cost"),
		Resumed:   rapid.IntRange(0, 20).Draw(t, "resumed") == 0,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		item.Deadline = m.now.Add(time.Duration(rapid.IntRange(-1, 60).Draw(t, "deadline")) * time.Second)
	}
	v := m.q.Push(m.now, item)
	if v.Accepted {
		m.waiting[item.ID] = item
	}
	if item.Resumed && !v.Accepted && v.Reason != AlreadyExpired {
		t.Fatalf("resumed item rejected: %v", v.Reason)
	}
	for _, e := range v.Evicted {
		m.recordLeaving(t, e)
	}
}

func (m *model) recordLeaving(t *rapid.T, item Item) {
	if _, ok := m.waiting[item.ID]; !ok {
		t.Fatalf("%s left the queue twice or was never in it", item.ID)
	}
	delete(m.waiting, item.ID)
}

func (m *model) pop(t *rapid.T) {
	m.expire(t)
	service := rapid.SampledFrom([]string{"x", "y", "none"}).Draw(t, "eligible")
	anyEligible := false
	for _, item := range m.waiting {
		anyEligible = anyEligible || item.Service == service
	}
	item, ok := m.q.Pop(m.now, func(i *Item) bool {
		if i.expired(m.now) {
			t.Fatalf("%s passed to eligible after its deadline", i.ID)
		}
		return i.Service == service
	})
	if ok != anyEligible {
		t.Fatalf("not work-conserving: popped %v, eligible item waiting %v", ok, anyEligible)
	}
	if ok {
		m.recordLeaving(t, item)
	}
}

func (m *model) expire(t *rapid.T) {
	for _, item := range m.q.Expired(m.now) {
		m.recordLeaving(t, item)
	}
}

func (m *model) check(t *rapid.T) {
	m.expire(t)
	if m.q.Len() != len(m.waiting) {
		t.Fatalf("queue has %d items, want %d", m.q.Len(), len(m.waiting))
	}
	var tokens int64
	for _, item := range m.waiting {
		tokens += max(1, item.Cost)
	}
	if m.q.Tokens() != tokens {
		t.Fatalf("queue has %d tokens, want %d", m.q.Tokens(), tokens)
	}
}

// Every item leaves the queue exactly once, Pop returns an item whenever an eligible one
// waits, and the totals match: otherwise requests would be lost or answered twice.
func TestPropertyItemsLeaveOnceAndPopIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxItems, cfg.MaxPerWorkspace = 12, 8
		q, _ := New(cfg)
		m := &model{q: q, now: epoch, waiting: map[string]Item{}}
		t.Repeat(map[string]func(*rapid.T){
			"push":   m.push,
			"pop":    m.pop,
			"tick":   func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second) },
			"charge": func(t *rapid.T) { q.Charge("a", rapid.Int64Range(-5_000, 5_000).Draw(t, "extra")) },
			"weigh":  func(t *rapid.T) { q.SetWeight("b", rapid.IntRange(0, 9).Draw(t, "weight")) },
			"": func(t *rapid.T) {
				m.check(t)
			},
		})
	})
}

// While all workspaces are backlogged, the work of two of them per unit of weight differs
// by at most their two largest items (Goyal, Vin and Cheng, 1996).
func TestPropertyFairWithinLargestItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, _ := New(DefaultConfig())
		names := []string{"a", "b", "c"}
		weights := map[string]int{}
		for _, name := range names {
			weights[name] = rapid.IntRange(1, 10).Draw(t, "weight")
			for i := range 200 {
				cost := rapid.Int64Range(1, 3_000).Draw(t, "cost")
				q.Push(epoch, Item{ID: fmt.Sprint(name, i), Workspace: name, Class: contract.ClassStandard, Weight: weights[name], Cost: cost})
			}
		}
		got := map[string]float64{}
		for range 150 {
			item, _ := q.Pop(epoch, anyItem)
			got[item.Workspace] += float64(item.Cost) / float64(weights[item.Workspace])
			for _, x := range names {
				for _, y := range names {
					bound := 3_000/float64(weights[x]) + 3_000/float64(weights[y])
					if got[x]-got[y] > bound {
						t.Fatalf("%s is %f ahead of %s, bound %f", x, got[x]-got[y], y, bound)
					}
				}
			}
		}
	})
}

// At twice the capacity every item starts within the bound given by Horizon, LongMax and
// AgedShare, whatever its class and cost.
func TestPropertyNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxItems, cfg.MaxPerWorkspace = 100_000, 100_000
		q, _ := New(cfg)
		class := rapid.SampledFrom([]contract.Class{contract.ClassInteractive, contract.ClassStandard, contract.ClassBatch})
		q.Push(epoch, Item{ID: "watched", Workspace: "w", Class: class.Draw(t, "class"), Cost: rapid.Int64Range(1, 1_000_000).Draw(t, "cost")})
		load, deadline := class.Draw(t, "load"), time.Duration(rapid.IntRange(1, 30).Draw(t, "deadline"))*time.Second
		for step := range 1_000 {
			now := timeAt(time.Duration(step) * 100 * time.Millisecond)
			for i := range 2 {
				q.Push(now, Item{ID: fmt.Sprint(step, "/", i), Workspace: "w", Class: load, Cost: 100, Deadline: now.Add(deadline)})
			}
			q.Expired(now)
			if item, _ := q.Pop(now, anyItem); item.ID == "watched" {
				return
			}
		}
		t.Fatal("the watched item did not start within 100 s")
	})
}

func benchmarkQueue(workspaces int) (*Queue, []Item) {
	q, _ := New(DefaultConfig())
	items := make([]Item, 8*workspaces)
	for i := range items {
		items[i] = Item{
			ID:        fmt.Sprint(i),
			Workspace: fmt.Sprint("workspace-", i%workspaces),
			Class:     contract.ClassInteractive,
			Weight:    1 + i%5,
			Cost:      int64(100 + i%900),
			Deadline:  timeAt(30 * time.Second),
		}
		q.Push(epoch, items[i])
	}
	return q, items
}

func BenchmarkPushPop(b *testing.B) {
	for _, workspaces := range []int{10, 1_000} {
		b.Run(fmt.Sprint(workspaces, " workspaces"), func(b *testing.B) {
			q, _ := benchmarkQueue(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				item, _ := q.Pop(epoch, anyItem)
				q.Push(epoch, item)
			}
		})
	}
}

// Push and Pop must not allocate once the queue has reached its size.
func TestPushPopDoNotAllocate(t *testing.T) {
	for _, workspaces := range []int{10, 1_000} {
		q, _ := benchmarkQueue(workspaces)
		allocs := testing.AllocsPerRun(1_000, func() {
			item, _ := q.Pop(epoch, anyItem)
			q.Push(epoch, item)
		})
		assert.Zero(t, allocs, "%d workspaces", workspaces)
	}
}
