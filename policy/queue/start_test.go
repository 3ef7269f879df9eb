package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
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
	assert.Equal(t, 5, free)
	assert.Equal(t, HeldForOthers, s.Decide(at(0), surge, Slots{Total: 100, Free: free}).Reason)
	assert.Equal(t, StartVerdict{Start: true, Reason: StartBelowShare}, s.Decide(at(0), quiet, Slots{Total: 100, Free: free}))
	later := at(2 * time.Minute)
	assert.True(t, s.Decide(later, surge, Slots{Total: 100, Free: free}).Start, "nobody else is left")
	s.Ended("surge")
	assert.Equal(t, NoSlot, s.Decide(at(0), quiet, Slots{Total: 100}).Reason)
}

// Briefings of minutes take every slot as it comes free, and questions of a
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
		var fieldErr *FieldError
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
