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

// A surge of one workspace puts hundreds of requests before those of another.
// In order of arrival the quiet workspace's request would wait for all of them;
// its caller would see a first token seconds late.
//
// Removing the line "f.start += ..." in serve makes this fail.
func TestSurgeDoesNotDelayOtherWorkspaces(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 500, Item{Workspace: "busy", Class: contract.ClassInteractive, Cost: 400})
	_, ok := q.Pop(timeAt(0), anyItem)
	require.True(t, ok)
	fill(t, q, timeAt(0), 1, Item{Workspace: "quiet", Class: contract.ClassInteractive, Cost: 400})
	item, _ := q.Pop(timeAt(0), anyItem)
	assert.Equal(t, "quiet", item.Workspace)
}

// Two workspaces keep the system saturated, one with long answers and one with
// short ones. If turns were counted in requests, the one with long answers
// would get ten times the work of the other.
func TestShareFollowsWeightInTokens(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 400, Item{Workspace: "long", Class: contract.ClassStandard, Weight: 1, Cost: 4_000})
	fill(t, q, timeAt(0), 4_000, Item{Workspace: "short", Class: contract.ClassStandard, Weight: 3, Cost: 400})
	tokensPopped := map[string]int64{}
	for range 1_000 {
		item, _ := q.Pop(timeAt(0), anyItem)
		tokensPopped[item.Workspace] += item.Cost
	}
	// 1,000 starts are some 100 of the long item; fair within one of them.
	assert.InDelta(t, 3, float64(tokensPopped["short"])/float64(tokensPopped["long"]), 0.1)
}

// A caller states a small answer length and takes a long one. Unless the charge
// is corrected it gets many times its share, and others wait for it.
//
// Removing the line "f.start += ..." in Charge makes this fail.
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

// The queue is full of one workspace's surge when another asks for its first
// request. If whoever comes last were turned away, the second would be shut out
// for as long as the surge lasts.
//
// Removing the use of q.load in bound makes this fail.
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

func TestWorkspaceBoundEvictsLeastUrgent(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxPerWorkspace = 3 })
	fill(t, q, timeAt(0), 3, Item{Workspace: "w", Class: contract.ClassBatch, Cost: 10})
	v := q.Push(timeAt(0), Item{ID: "urgent", Workspace: "w", Class: contract.ClassInteractive})
	assert.Equal(t, QueuedByEviction, v.Reason)
	assert.Equal(t, "w-batch-10-2", v.Evicted[0].ID)
	v = q.Push(timeAt(0), Item{ID: "late", Workspace: "w", Class: contract.ClassBatch})
	assert.Equal(t, Verdict{Reason: WorkspaceFull}, v)
}

// An entry hands its accepted requests to a peer whose queue is full. If the
// peer turned them away, callers would lose requests that had been accepted.
//
// Removing the test of Resumed in least makes this fail.
func TestResumedItemIsNeverRejected(t *testing.T) {
	q := newQueue(t, func(c *Config) { c.MaxItems, c.MaxPerWorkspace = 2, 2 })
	fill(t, q, timeAt(0), 2, Item{Workspace: "w", Class: contract.ClassInteractive, Cost: 1})
	for i := range 4 {
		v := q.Push(timeAt(0), Item{ID: fmt.Sprint(i), Workspace: "w", Class: contract.ClassBatch, Resumed: true})
		assert.True(t, v.Accepted)
	}
	assert.Equal(t, 4, q.Len(), "the two others made room")
	v := q.Push(timeAt(0), Item{ID: "new", Workspace: "w", Class: contract.ClassInteractive})
	assert.Equal(t, Verdict{Reason: WorkspaceFull}, v)
	item, _ := q.Pop(timeAt(0), anyItem)
	assert.Equal(t, "0", item.ID)
}

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

// One workspace sends long documents and then short questions. In order of
// arrival each question would wait for all the documents.
func TestShortItemsPassSlightlyOlderLongItems(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 20, Item{Workspace: "w", Class: contract.ClassStandard, Cost: 9_000})
	fill(t, q, timeAt(time.Second), 20, Item{Workspace: "w", Class: contract.ClassStandard, Cost: 100})
	for range 20 {
		item, _ := q.Pop(timeAt(time.Second), anyItem)
		assert.EqualValues(t, 100, item.Cost)
	}
}

// Short questions come without a pause, faster than they are served. If they
// always went first, the document would never start and its caller would wait
// until the deadline for nothing.
//
// Removing the bound by LongMax in urgency makes this fail.
func TestLongItemDoesNotStarveAmongShortItems(t *testing.T) {
	q := newQueue(t, nil)
	q.Push(timeAt(0), Item{ID: "long", Workspace: "w", Class: contract.ClassStandard, Cost: 100_000})
	// Half of what comes is served, so what came after 10 s starts after 20 s.
	started := startedWithin(t, q, contract.ClassStandard, 21*time.Second)
	assert.True(t, slices.Contains(started, "long"))
}

// Interactive requests keep a workspace's whole share busy. A batch job of the
// same workspace would wait for as long as that lasts.
//
// Removing the call of pickAged makes this fail.
func TestAgedBatchItemStartsDespiteInteractiveLoad(t *testing.T) {
	q := newQueue(t, nil)
	q.Push(timeAt(0), Item{ID: "batch", Workspace: "w", Class: contract.ClassBatch, Cost: 100})
	started := startedWithin(t, q, contract.ClassInteractive, 6*time.Second)
	assert.True(t, slices.Contains(started, "batch"))
}

// startedWithin pushes two short items and pops one every 10 ms.
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

// A large backlog of batch work has aged when interactive work comes. If aged
// work simply went first, people would wait for the whole backlog.
//
// Removing the test of f.repay in pick makes this fail.
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

// Callers give up while their requests wait. If those were still run, a
// saturated fleet would spend its time on answers that nobody reads.
//
// Removing the call of sweep in Pop makes this fail.
func TestExpiredItemsAreNeverPopped(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 10, Item{Workspace: "w", Class: contract.ClassInteractive, Cost: 10, Deadline: timeAt(time.Second)})
	q.Push(timeAt(0), Item{ID: "alive", Workspace: "w", Class: contract.ClassBatch, Cost: 10})
	item, ok := q.Pop(timeAt(time.Second), anyItem)
	require.True(t, ok)
	assert.Equal(t, "alive", item.ID)
	assert.Len(t, q.Expired(timeAt(time.Second)), 10)
	assert.Empty(t, q.Expired(timeAt(time.Second)), "each is named once")
	v := q.Push(timeAt(time.Second), Item{ID: "late", Workspace: "w", Deadline: timeAt(time.Second)})
	assert.Equal(t, Verdict{Reason: AlreadyExpired}, v)
}

// The backend servers of one service are gone, and its requests head the queue.
// If the queue waited for the head, everything behind it would stand still
// while servers are idle.
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
		assert.Equal(t, "blocked", item.Workspace, "it catches up")
	}
}

// A workspace whose servers were away for an hour comes back. If it could make
// up for the whole hour, all others would get nothing for minutes.
//
// Removing the use of earliest in Pop makes this fail.
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

// A workspace is idle for hours while another works. If idle time counted as
// credit, the other would get nothing for as long afterwards.
//
// Removing the use of q.virtual in activate makes this fail.
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

func TestIdleFlowsAreDropped(t *testing.T) {
	q := newQueue(t, nil)
	for i := range 10_000 {
		q.Push(timeAt(0), Item{ID: "x", Workspace: fmt.Sprint(i)})
		q.Pop(timeAt(0), anyItem)
	}
	assert.LessOrEqual(t, len(q.flows), minIdleToDrop+1)
}

// model drives a queue with random calls and checks what must hold after each.
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
		t.Fatalf("resumed item turned away: %v", v.Reason)
	}
	for _, e := range v.Evicted {
		m.recordLeaving(t, e)
	}
}

func (m *model) recordLeaving(t *rapid.T, item Item) {
	if _, ok := m.waiting[item.ID]; !ok {
		t.Fatalf("%s left twice or was never in", item.ID)
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
			t.Fatalf("%s offered after its deadline", i.ID)
		}
		return i.Service == service
	})
	if ok != anyEligible {
		t.Fatalf("not work-conserving: popped %v, an eligible item waits %v", ok, anyEligible)
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
		t.Fatalf("holds %d, want %d", m.q.Len(), len(m.waiting))
	}
	var tokens int64
	for _, item := range m.waiting {
		tokens += max(1, item.Cost)
	}
	if m.q.Tokens() != tokens {
		t.Fatalf("holds %d tokens, want %d", m.q.Tokens(), tokens)
	}
}

// Every item leaves once, by one way; Pop is work-conserving; the sums agree.
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

// With all workspaces backlogged, what two of them have been given for their
// weights never differs by more than their two largest items, as Goyal, Vin and
// Cheng prove for start-time fair queueing.
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

// No item waits for ever: whatever its class and cost, it starts within the
// bound that Horizon, LongMax and AgedShare set, under a load twice what is
// served.
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

// Pushing and popping allocates nothing once the queue has reached its size.
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
