package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/wallclock"
)

// An entry tells its counts again and again, restarts, and tells from nothing. A
// report that comes late must not lower what was told since.
func TestUsageTable(t *testing.T) {
	b := newUsageTable(6)
	windowUsage := func(n int64) []api.WindowUsage {
		return []api.WindowUsage{{Window: 7, Counts: map[string]int64{"w": n}}}
	}
	b.record(entryIncarnation{"e1", 1}, 7, windowUsage(5))
	b.record(entryIncarnation{"e1", 1}, 7, windowUsage(3))
	b.record(entryIncarnation{"e1", 2}, 7, windowUsage(2))
	b.record(entryIncarnation{"e2", 1}, 7, windowUsage(1))
	require.Equal(t, map[string]int64{"w": 8}, b.sum(7))
	b.record(entryIncarnation{"e1", 2}, 7+6+1, nil)
	require.Empty(t, b.sum(7), "windows that are long over are forgotten")
}

// reportsFixture is a leader with two entries, in windows of 5 s that are due 10 s after
// their end.
type reportsFixture struct {
	reports *usageReports
	now     time.Duration // since the start of window 0
}

func newReportsFixture() *reportsFixture {
	s := &reportsFixture{}
	wall := func() time.Time { return time.Unix(0, int64(s.now)) }
	s.reports = &usageReports{
		usage: newUsageTable(6), window: 5 * time.Second, dueAfter: 10 * time.Second, retention: 20 * time.Second,
		clock: wallclock.New(wall, func() time.Duration { return s.now }), now: wall, startedAt: wall(),
		liveEntries: func() []directory.Entry {
			return []directory.Entry{{Name: "e1", Incarnation: 1}, {Name: "e2", Incarnation: 1}}
		},
	}
	return s
}

// report has entries report of what they counted at a time.
func (s *reportsFixture) report(at time.Duration, entries ...entryIncarnation) {
	s.now = at
	for _, entry := range entries {
		s.reports.usage.record(entry, int64(at/s.reports.window), nil)
	}
}

var (
	e1          = entryIncarnation{"e1", 1}
	e2          = entryIncarnation{"e2", 1}
	e3          = entryIncarnation{"e3", 1}
	e3Restarted = entryIncarnation{"e3", 2}
)

// The leader stops, or is cut off, some seconds after the end of a window. Its
// successor is there only when the window's report is due, and a customer's bill
// lacks five seconds.
//
// It breaks if the report waits although all entries have told what they counted.
func TestUsageIsDecidedOnceAllHaveReported(t *testing.T) {
	s := newReportsFixture()
	s.report(9*time.Second, e1, e2)
	require.EqualValues(t, 0, s.reports.newestDecidable())
	s.report(10*time.Second+300*time.Millisecond, e1)
	require.EqualValues(t, 0, s.reports.newestDecidable(), "the other one may have counted more")
	s.report(10*time.Second+600*time.Millisecond, e2)
	require.EqualValues(t, 1, s.reports.newestDecidable())
}

// An entry freezes in a window and wakes after its end, when it is no longer named
// to callers. What it counted is to be billed too.
//
// It breaks if only the entries that are named to callers are waited for.
func TestUsageWaitsForFrozenEntry(t *testing.T) {
	s := newReportsFixture()
	s.report(6*time.Second, e3)
	s.report(10*time.Second+300*time.Millisecond, e1, e2)
	require.EqualValues(t, 0, s.reports.newestDecidable())
	s.report(13*time.Second, e3)
	require.EqualValues(t, 1, s.reports.newestDecidable())
}

// The leader is cut off from an entry, and hears from other replicas that it is well.
//
// It breaks if only the entries that told this replica something are waited for.
func TestUsageWaitsForEntryKnownThroughPeers(t *testing.T) {
	s := newReportsFixture()
	s.report(3*time.Second, e2)
	s.report(10*time.Second+300*time.Millisecond, e1)
	require.EqualValues(t, 0, s.reports.newestDecidable())
}

// An entry dies in a window. If it is not started again, the report waits for a
// while and is in time all the same; if it is, the report need not wait.
//
// It breaks if an entry that never tells again is waited for without end.
func TestUsageWaitForStoppedEntryIsBounded(t *testing.T) {
	s := newReportsFixture()
	s.report(6*time.Second, e3)
	s.report(11*time.Second, e1, e2)
	require.EqualValues(t, 0, s.reports.newestDecidable())
	s.report(10*time.Second+4500*time.Millisecond, e1, e2)
	require.EqualValues(t, 1, s.reports.newestDecidable())

	s = newReportsFixture()
	s.report(6*time.Second, e3)
	s.report(11*time.Second, e1, e2, e3Restarted)
	require.EqualValues(t, 1, s.reports.newestDecidable())
}

// A control replica starts and leads soon after. It has not heard of all entries, and
// would leave out what the others counted.
//
// It breaks if what it has heard in its first seconds is taken for all.
func TestUsageWaitsAfterReplicaStart(t *testing.T) {
	s := newReportsFixture()
	s.reports.startedAt = time.Unix(9, 0)
	s.report(10*time.Second+300*time.Millisecond, e1, e2)
	require.EqualValues(t, 0, s.reports.newestDecidable())
	s.report(12*time.Second, e1, e2)
	require.EqualValues(t, 1, s.reports.newestDecidable())
}

// The replicas have no leader for a while. The windows that ended meanwhile are to be
// reported as well.
//
// It breaks if a new leader takes up only the newest ones.
func TestUsageOfLeaderlessWindowsIsReported(t *testing.T) {
	s := newReportsFixture()
	decided := []usageWindow{{Window: 3}, {Window: 4}}
	s.report(40*time.Second+600*time.Millisecond, e1, e2)
	first, last := s.reports.undecided(decided)
	require.Equal(t, []int64{5, 7}, []int64{first, last})
	s.report(60*time.Second+600*time.Millisecond, e1, e2)
	first, last = s.reports.undecided(decided)
	require.Equal(t, []int64{8, 11}, []int64{first, last}, "those before are worthless")
	first, last = s.reports.undecided([]usageWindow{{Window: 11}})
	require.Less(t, last, first, "none is decided twice")
}

// The cloud refuses connections for ten seconds. The report is to arrive soon after
// its return, and the leader must not call four times a second all along.
//
// It breaks if a number of calls bounds them, which are used up in two seconds, and
// if they are made at each of the leader's rounds.
func TestUsageReportIsRetriedThroughOutage(t *testing.T) {
	calls, made := make(reportBackoffs), 0
	start := time.Unix(1_700_000_000, 0)
	var last time.Time
	for now := start; now.Sub(start) <= 20*time.Second; now = now.Add(tasksInterval) {
		if !calls.due(7, now) {
			continue
		}
		calls.recordAttempt(7, now)
		if !last.IsZero() {
			require.LessOrEqual(t, now.Sub(last), maxReportDelay)
		}
		last = now
		made++
	}
	require.Greater(t, last.Sub(start), 19*time.Second)
	require.LessOrEqual(t, made, 23)
	require.True(t, calls.due(8, start), "another window is not held up")
}
