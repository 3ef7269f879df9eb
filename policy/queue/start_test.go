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

// A surge of one workspace holds all slots but the headroom. Without headroom a
// quiet workspace's request, though first in the queue, waits until one of the
// surge's answers ends.
//
// Removing the test of Headroom in Decide makes this fail.
func TestWhoHoldsItsShareLeavesHeadroom(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	surge := &Item{Workspace: "surge", Cost: 200}
	quiet := &Item{Workspace: "quiet", Cost: 200}
	s.Seen(at(0), quiet)
	free := 100
	for s.Decide(at(0), surge, Slots{Total: 100, Free: free}).Start {
		s.Started(at(0), surge)
		free--
	}
	assert.Equal(t, 5, free, "of 100")
	assert.Equal(t, HeldForOthers, s.Decide(at(0), surge, Slots{Total: 100, Free: free}).Reason)
	assert.Equal(t, StartVerdict{Start: true, Reason: StartBelowShare}, s.Decide(at(0), quiet, Slots{Total: 100, Free: free}))
	later := at(2 * time.Minute)
	assert.True(t, s.Decide(later, surge, Slots{Total: 100, Free: free}).Start, "nobody else is left")
	s.Ended("surge")
	assert.Equal(t, NoSlot, s.Decide(at(0), quiet, Slots{Total: 100}).Reason)
}

// Answers of minutes take every slot as it comes free, and questions of a
// second wait for minutes.
//
// Removing the use of keptForShort in Decide makes this fail.
func TestLongWorkLeavesHeadroomForShort(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	long := &Item{Workspace: "w", Cost: 8_000}
	short := &Item{Workspace: "w", Cost: 200}
	slots := Slots{Total: 100, Free: 5}
	assert.True(t, s.Decide(at(0), long, slots).Start, "no short work has been seen")
	s.Seen(at(0), short)
	assert.Equal(t, HeldForShort, s.Decide(at(0), long, slots).Reason)
	assert.True(t, s.Decide(at(0), short, slots).Start)
	assert.Equal(t, "held_for_short", HeldForShort.String())
}

// A surge of 1,000 items waits while every slot is taken. Asking about each of
// them at each Pop would cost more than the requests.
func TestPopFuncAsksNoMoreThanItMust(t *testing.T) {
	q := newQueue(t, nil)
	fill(t, q, at(0), 1_000, Item{Workspace: "surge", Class: contract.ClassInteractive, Cost: 100})
	fill(t, q, at(0), 10, Item{Workspace: "quiet", Class: contract.ClassBatch, Cost: 100})
	for answer, want := range map[Eligibility]int{AllWait: 1, WorkspaceWaits: 2, Waits: 1_010} {
		asked := 0
		_, ok := q.PopFunc(at(0), func(*Item) Eligibility { asked++; return answer })
		assert.False(t, ok)
		assert.Equal(t, want, asked)
	}
	assert.Equal(t, AllWait, StartVerdict{Reason: NoSlot}.Eligibility())
	assert.Equal(t, WorkspaceWaits, StartVerdict{Reason: HeldForOthers}.Eligibility())
	assert.Equal(t, Waits, StartVerdict{Reason: HeldForShort}.Eligibility())
	assert.Equal(t, Runs, StartVerdict{Start: true}.Eligibility())
}

// A small workspace holds two slots at one entry and none at the other six. If
// only what is held here counted, it would be told that it holds its share, and
// wait behind a surge.
//
// Removing the use of elsewhere in belowShare makes this fail.
func TestShareCountsOverAllEntries(t *testing.T) {
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	quiet := &Item{Workspace: "quiet", Weight: 1, Cost: 200}
	s.Seen(at(0), &Item{Workspace: "surge", Weight: 9, Cost: 200})
	s.Started(at(0), quiet)
	s.Started(at(0), quiet)
	slots := Slots{Total: 100, Free: 3, Assigned: 1, Entries: 7}
	assert.Equal(t, StartBelowShare, s.Decide(at(0), quiet, slots).Reason)
	s.SetRemoteSlots("quiet", 8)
	assert.Equal(t, HeldForOthers, s.Decide(at(0), quiet, slots).Reason, "its share is ten")
	s.SetRemoteSlots("quiet", 7)
	assert.Equal(t, HeldForOthers, s.DecideBehind(at(0), quiet, slots, 1).Reason, "the one before it takes the last")
	quiet.Resumed = true
	s.SetRemoteSlots("quiet", 20)
	assert.True(t, s.Decide(at(0), quiet, slots).Start, "its answer has begun")
	slots.Assigned = 0
	assert.Equal(t, AssignedElsewhere, s.Decide(at(0), quiet, slots).Reason)
	assert.InDelta(t, 0.1, s.Share("quiet"), 1e-9)
}

func TestBacklogSaysWhetherAnItemWouldStart(t *testing.T) {
	q := newQueue(t, nil)
	s, err := NewStarter(DefaultStartConfig())
	require.NoError(t, err)
	item := &Item{ID: "a", Workspace: "w", Class: contract.ClassStandard, Weight: 1, Cost: 200}
	s.Seen(at(0), item)
	s.Seen(at(0), &Item{Workspace: "v", Weight: 3, Cost: 200})
	assert.Equal(t, Backlog{Share: 1, Lasting: 0.25, Starts: true}, s.Backlog(at(0), q, item, Slots{Total: 8, Free: 2}))
	for range 2 {
		s.Started(at(0), item)
	}
	fill(t, q, at(0), 1, *item)
	b := s.Backlog(at(0), q, item, Slots{Total: 8, Free: 1})
	assert.Equal(t, Backlog{Ahead: 200, Total: 200, Waiting: 1, Share: 1, Lasting: 0.25, Held: true}, b)
}

// Seven entries learn of the same free slots. If each took them all, six of
// seven requests would wait at the servers.
func TestPartsOfAllEntriesAddUp(t *testing.T) {
	for n := -20; n <= 20; n++ {
		for number := range 7 {
			sum := 0
			for entry := range 7 {
				sum += EntrySlots(n, 7, entry+number)
			}
			assert.Equal(t, n, sum)
		}
		assert.Equal(t, n, EntrySlots(n, 1, 3))
	}
}

// Two entries that take the same free slot make one request wait at the server.
func TestNoSlotIsInTwoParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.SliceOfN(rapid.IntRange(-5, 20), 1, 12).Draw(t, "free")
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		sums, least, most := make([]int, len(free)), 1<<30, 0
		for entry := range entries {
			all := 0
			for i, n := range SplitSlots(slices.Clone(free), entries, entry) {
				sums[i] += n
				all += max(0, n)
			}
			least, most = min(least, all), max(most, all)
		}
		if !slices.Equal(sums, free) || most-least > 1 {
			t.Fatalf("parts of %v add up to %v, %d to %d", free, sums, least, most)
		}
	})
}

func TestStartConfigValidateNamesTheField(t *testing.T) {
	for field, spoil := range map[string]func(*StartConfig){
		"Headroom":     func(c *StartConfig) { c.Headroom = 0.6 },
		"LongTokens":   func(c *StartConfig) { c.LongTokens = 0 },
		"LongHeadroom": func(c *StartConfig) { c.LongHeadroom = -1 },
		"Memory":       func(c *StartConfig) { c.Memory = 0 },
	} {
		cfg := DefaultStartConfig()
		spoil(&cfg)
		_, err := NewStarter(cfg)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
}

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
