package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/policy/quorum"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var epoch = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// voter returns the view of one of n voters, from 1 on.
func voter(self, n int) quorum.View {
	v := quorum.View{Self: uint64(self)}
	for id := range uint64(n) {
		v.Voters = append(v.Voters, id+1)
	}
	return v
}

// Guards against a process that takes the reports of a few replicas, which may lag, for those of a
// majority.
func TestMajorityConfirms(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.ConfirmedAt(0).IsZero())
	tr.Record("a", 3, at(5), voter(1, 5), at(5))
	tr.Record("b", 3, at(6), voter(2, 5), at(6))
	require.True(t, tr.ConfirmedAt(3).IsZero())
	tr.Record("c", 2, at(4), voter(3, 5), at(6))
	require.Equal(t, at(4), tr.ConfirmedAt(3))
	require.True(t, tr.ConfirmedAt(2).IsZero())
	tr.Record("d", 4, at(7), voter(4, 5), at(7))
	require.Equal(t, at(4), tr.ConfirmedAt(3))
	require.Equal(t, time.Second, tr.Behind(3, at(8)))
	require.Zero(t, tr.Behind(4, at(8)))
	tr.Record("c", 4, at(8), voter(3, 5), at(8))
	require.True(t, tr.ConfirmedAt(3).IsZero())
	require.Equal(t, 3*time.Second, tr.Behind(3, at(10)), "from the first revision above it")
	tr.Record("e", 9, at(9), voter(5, 5), at(9))
	require.Equal(t, 3*time.Second, tr.Behind(3, at(10)))
	require.Equal(t, time.Second, tr.Behind(4, at(10)))
}

// Guards against replicas that have left the group and count for its majority for ever.
func TestReportsOfReplicasThatLeftExpire(t *testing.T) {
	tr := NewTracker()
	for i := range 9 {
		tr.Record(fmt.Sprint("old", i), 3, at(1), voter(i+1, 9), at(1))
	}
	late := at(1 + reportTTL.Seconds() + 1)
	tr.Record("a", 3, late, voter(1, 3), late)
	require.True(t, tr.ConfirmedAt(3).IsZero())
	tr.Record("b", 3, late, voter(2, 3), late)
	require.Equal(t, late, tr.ConfirmedAt(3))
}

// Guards against a process that passes for up to date by replicas that have no vote, and against one that is
// never confirmed since replicas that are gone are counted.
func TestOnlyVotersConfirm(t *testing.T) {
	tr := NewTracker()
	for self := 4; self <= 9; self++ {
		tr.Record(fmt.Sprint(self), 3, at(1), voter(self, 3), at(1))
	}
	require.True(t, tr.ConfirmedAt(3).IsZero())
	tr.Record("1", 3, at(2), voter(1, 3), at(2))
	tr.Record("2", 3, at(3), voter(2, 3), at(3))
	require.Equal(t, at(2), tr.ConfirmedAt(3))
}

// Guards against a report that arrives late and takes a confirmation back.
func TestLateReportIsIgnored(t *testing.T) {
	tr := NewTracker()
	tr.Record("a", 4, at(5), voter(1, 1), at(5))
	tr.Record("a", 3, at(4), voter(1, 1), at(6))
	require.Equal(t, at(5), tr.ConfirmedAt(4))
	require.True(t, tr.ConfirmedAt(3).IsZero())
}

// Guards against a process that passes for up to date although a change was accepted before: any
// replicas may lag, and their reports may be late or lost.
func TestNoConfirmationBesideAcceptedChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5, 9}).Draw(t, "replicas")
		revisions := make([]uint64, n)
		accepted := []time.Time{epoch} // by revision
		tr := NewTracker()
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			next := uint64(len(accepted))
			if rapid.Bool().Draw(t, "spreads") {
				revisions[rapid.IntRange(0, n-1).Draw(t, "to")] = next
			}
			have := 0
			for _, r := range revisions {
				if r >= next {
					have++
				}
			}
			if have > n/2 {
				accepted = append(accepted, now)
			}
			if i := rapid.IntRange(0, n-1).Draw(t, "reports"); rapid.Bool().Draw(t, "arrives") {
				tr.Record(fmt.Sprint(i), revisions[i], now, voter(i+1, n), now)
			}
			for held := range accepted {
				confirmed := tr.ConfirmedAt(uint64(held))
				if held+1 < len(accepted) && !confirmed.IsZero() {
					require.True(t, confirmed.Before(accepted[held+1]))
				}
			}
		}
	})
}
