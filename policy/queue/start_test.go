package queue

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy"
)

// Without headroom a surge takes every slot, and the next request of another workspace
// waits for a running answer to end.
func TestWorkspaceAtItsShareLeavesHeadroom(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	surge := &Item{Workspace: "surge", Cost: 200}
	quiet := &Item{Workspace: "quiet", Cost: 200}
	s.ObserveArrival(timeAt(0), quiet)
	free := 100
	for s.Decide(timeAt(0), surge, Slots{Total: 100, Free: free}).Start {
		s.Started(timeAt(0), surge)
		free--
	}
	assert.Equal(t, 5, free, "of 100")
	assert.Equal(t, HeldForOthers, s.Decide(timeAt(0), surge, Slots{Total: 100, Free: free}).Reason)
	assert.Equal(t, StartVerdict{Start: true, Reason: StartBelowShare}, s.Decide(timeAt(0), quiet, Slots{Total: 100, Free: free}))
	later := timeAt(2 * time.Minute)
	assert.True(t, s.Decide(later, surge, Slots{Total: 100, Free: free}).Start, "no other workspace is active")
	s.Ended("surge")
	assert.Equal(t, NoSlot, s.Decide(timeAt(0), quiet, Slots{Total: 100}).Reason)
}

// Without the headroom for short items, answers of minutes take every slot, and short
// questions wait for minutes.
func TestLongItemsLeaveHeadroomForShortItems(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	long := &Item{Workspace: "w", Cost: 8_000}
	short := &Item{Workspace: "w", Cost: 200}
	slots := Slots{Total: 100, Free: 5}
	assert.True(t, s.Decide(timeAt(0), long, slots).Start, "no short item has arrived")
	s.ObserveArrival(timeAt(0), short)
	assert.Equal(t, HeldForShort, s.Decide(timeAt(0), long, slots).Reason)
	assert.True(t, s.Decide(timeAt(0), short, slots).Start)
	assert.Equal(t, "held_for_short", HeldForShort.String())
}

// While no slot is free, checking every waiting item at each Pop would cost more than the
// requests themselves.
func TestPopFuncSkipsItemsWithTheSameVerdict(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, timeAt(0), 1_000, Item{Workspace: "surge", Class: contract.ClassInteractive, Cost: 100})
	fill(t, q, timeAt(0), 10, Item{Workspace: "quiet", Class: contract.ClassBatch, Cost: 100})
	for result, want := range map[Eligibility]int{AllWait: 1, WorkspaceWaits: 2, Waits: 1_010} {
		calls := 0
		_, ok := q.PopFunc(timeAt(0), func(*Item) Eligibility { calls++; return result })
		assert.False(t, ok)
		assert.Equal(t, want, calls)
	}
	assert.Equal(t, AllWait, StartVerdict{Reason: NoSlot}.Eligibility())
	assert.Equal(t, WorkspaceWaits, StartVerdict{Reason: HeldForOthers}.Eligibility())
	assert.Equal(t, Waits, StartVerdict{Reason: HeldForShort}.Eligibility())
	assert.Equal(t, Runs, StartVerdict{Start: true}.Eligibility())
}

// A workspace that uses few slots in all, but most of them through one entry, must not
// count as at its share there.
func TestShareCountsSlotsOfAllEntries(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	quiet := &Item{Workspace: "quiet", Weight: 1, Cost: 200}
	s.ObserveArrival(timeAt(0), &Item{Workspace: "surge", Weight: 9, Cost: 200})
	s.Started(timeAt(0), quiet)
	s.Started(timeAt(0), quiet)
	slots := Slots{Total: 100, Free: 3, Assigned: 1, Entries: 7}
	assert.Equal(t, StartBelowShare, s.Decide(timeAt(0), quiet, slots).Reason)
	s.SetRemoteSlots("quiet", 8)
	assert.Equal(t, HeldForOthers, s.Decide(timeAt(0), quiet, slots).Reason, "its share is ten")
	s.SetRemoteSlots("quiet", 7)
	assert.Equal(t, HeldForOthers, s.DecideBehind(timeAt(0), quiet, slots, 1).Reason, "the waiting item takes the last slot of the share")
	quiet.Resumed = true
	s.SetRemoteSlots("quiet", 20)
	assert.True(t, s.Decide(timeAt(0), quiet, slots).Start, "resumed items may take reserved slots")
	slots.Assigned = 0
	assert.Equal(t, AssignedElsewhere, s.Decide(timeAt(0), quiet, slots).Reason)
	assert.InDelta(t, 0.1, s.Share("quiet"), 1e-9)
}

// Admission relies on Backlog to tell an item that would start at once from one that has
// to wait for reserved slots.
func TestBacklogReportsWhetherItemWouldStart(t *testing.T) {
	q := newQueue(t, nil)
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	item := &Item{ID: "a", Workspace: "w", Class: contract.ClassStandard, Weight: 1, Cost: 200}
	s.ObserveArrival(timeAt(0), item)
	s.ObserveArrival(timeAt(0), &Item{Workspace: "v", Weight: 3, Cost: 200})
	assert.Equal(t, Backlog{Share: 1, LastingShare: 0.25, Starts: true}, s.Backlog(timeAt(0), q, item, Slots{Total: 8, Free: 2}))
	for range 2 {
		s.Started(timeAt(0), item)
	}
	fill(t, q, timeAt(0), 1, *item)
	b := s.Backlog(timeAt(0), q, item, Slots{Total: 8, Free: 1})
	assert.Equal(t, Backlog{Ahead: 200, Total: 200, Waiting: 1, Share: 1, LastingShare: 0.25, Held: true}, b)
}

// If every entry took all free slots of the same report, most requests would queue at the
// servers.
func TestEntrySlotsAddUpToAllSlots(t *testing.T) {
	for n := -20; n <= 20; n++ {
		for reportNumber := range 7 {
			sum := 0
			for entry := range 7 {
				sum += EntrySlots(n, 7, entry+reportNumber)
			}
			assert.Equal(t, n, sum)
		}
		assert.Equal(t, n, EntrySlots(n, 1, 3))
	}
}

// A slot assigned to two entries makes a request queue at the server.
func TestSplitSlotsAssignsEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.SliceOfN(rapid.IntRange(-5, 20), 1, 12).Draw(t, "free")
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		sums, minTotal, maxTotal := make([]int, len(free)), 1<<30, 0
		for entry := range entries {
			total := 0
			for i, n := range SplitSlots(slices.Clone(free), entries, entry) {
				sums[i] += n
				total += max(0, n)
			}
			minTotal, maxTotal = min(minTotal, total), max(maxTotal, total)
		}
		if !slices.Equal(sums, free) || maxTotal-minTotal > 1 {
			t.Fatalf("slots %v: assigned %v in all, %d to %d per entry", free, sums, minTotal, maxTotal)
		}
	})
}

func TestStartConfigValidateNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*StartConfig){
		"Headroom":     func(c *StartConfig) { c.Headroom = 0.6 },
		"LongTokens":   func(c *StartConfig) { c.LongTokens = 0 },
		"LongHeadroom": func(c *StartConfig) { c.LongHeadroom = -1 },
		"Memory":       func(c *StartConfig) { c.Memory = 0 },
	} {
		cfg := DefaultStartConfig()
		invalidate(&cfg)
		_, err := NewStarter(cfg)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
}

// Start decisions run for every request and must not allocate.
func TestStartDecisionsDoNotAllocate(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	item := &Item{Workspace: "w", Cost: 200}
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		s.Started(epoch, item)
		s.Decide(epoch, item, Slots{Total: 100, Free: 5})
		s.Ended("w")
	}))
}
