package booking

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a load that includes replaced reports, or those of the entry that
// queries.
func TestLoadOfOthersUsesLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewLoadTable()
		last := make(map[string]Load)
		for i := range rapid.IntRange(1, 40).Draw(t, "reports") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry")
			l := Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), Prefill: rapid.IntRange(0, 9000).Draw(t, "prefill")}
			b.Record(Reporter{name, 1}, uint64(i+1), "s", l, start)
			last[name] = l
		}
		want := Load{Running: last["b"].Running + last["c"].Running, Prefill: last["b"].Prefill + last["c"].Prefill}
		require.Equal(t, want, b.LoadOfOthers("a", "s", 1000, start))
	})
}

// Guards against a report that arrives after a newer one, or after a restart of its entry,
// and restores load of requests that have ended.
func TestOutOfOrderReportsAreDropped(t *testing.T) {
	b := NewLoadTable()
	b.Record(Reporter{"a", 1}, 2, "s", Load{}, start)
	b.Record(Reporter{"a", 1}, 1, "s", Load{Running: 3, Prefill: 900}, start)
	require.Equal(t, Load{Running: 3, Prefill: 900}, b.LoadOfOthers("b", "s", 0, start), "the empty report of an unknown server is not stored")
	b.Record(Reporter{"a", 1}, 4, "s", Load{}, start)
	b.Record(Reporter{"a", 1}, 3, "s", Load{Running: 5, Prefill: 100}, start)
	require.Zero(t, b.LoadOfOthers("b", "s", 0, start))
	b.Record(Reporter{"a", 2}, 1, "s", Load{Running: 1, Prefill: 10}, start)
	b.Record(Reporter{"a", 1}, 9, "s", Load{Running: 8, Prefill: 80}, start)
	require.Equal(t, Load{Running: 1, Prefill: 10}, b.LoadOfOthers("b", "s", 0, start))
}

// Guards against the last report of a killed entry counting forever, which would keep a
// server from being used.
func TestReportsOfKilledEntryExpire(t *testing.T) {
	b := NewLoadTable()
	b.Record(Reporter{"a", 1}, 1, "s", Load{Running: 30, Prefill: 90_000}, start)
	b.Record(Reporter{"b", 1}, 1, "s", Load{Running: 1, Prefill: 100}, start.Add(reportTTL))
	require.Equal(t, 31, b.LoadOfOthers("c", "s", 0, start.Add(reportTTL)).Running)
	require.Equal(t, 1, b.LoadOfOthers("c", "s", 0, start.Add(reportTTL+time.Millisecond)).Running)
	b.Sweep(start.Add(3 * reportTTL))
	require.Empty(t, b.servers)
}

// Guards against each entry finding out by itself that a server has crashed, also one
// without any load, and against a server that stays down.
func TestServerDownIsReturnedToAllEntries(t *testing.T) {
	b := NewLoadTable()
	b.Record(Reporter{"a", 1}, 1, "s", Load{Down: true}, start)
	require.True(t, b.LoadOfOthers("b", "s", 0, start).Down)
	b.Sweep(start.Add(2 * reportTTL / 3))
	require.False(t, b.LoadOfOthers("b", "s", 0, start.Add(downTTL)).Down)
	b.Record(Reporter{"b", 1}, 1, "s", Load{Down: true}, start.Add(downTTL))
	b.Record(Reporter{"c", 1}, 1, "s", Load{Running: 1}, start.Add(downTTL))
	require.True(t, b.LoadOfOthers("a", "s", 0, start.Add(downTTL)).Down, "the report of another entry does not clear Down")
}

// Guards against prompt tokens that stay unread until the next report, and against an
// estimate that falls to zero while a long prompt is read more slowly than the rate.
func TestPrefillIsEstimatedBetweenReports(t *testing.T) {
	b := NewLoadTable()
	b.Record(Reporter{"a", 1}, 1, "s", Load{Running: 1, Prefill: 50_000}, start)
	require.Equal(t, 40_000, b.LoadOfOthers("b", "s", 20_000, start.Add(500*time.Millisecond)).Prefill)
	require.Equal(t, 25_000, b.LoadOfOthers("b", "s", 20_000, start.Add(3*time.Second)).Prefill)
}

// Guards against servers of other entries changing owner when one entry leaves, and
// against an uneven distribution.
func TestRemovedEntryMovesOnlyItsServers(t *testing.T) {
	var names []string
	for i := range 70 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	all, fewer := NewOwners(names), NewOwners(names[1:])
	count := make(map[string]int)
	for i := range 7000 {
		server := fmt.Sprintf("s%d", i)
		owner := all.Owner(server)
		count[owner]++
		if owner != names[0] {
			require.Equal(t, owner, fewer.Owner(server))
		}
	}
	for _, name := range names {
		require.InDelta(t, 100, count[name], 50, name)
	}
	require.Empty(t, NewOwners(nil).Owner("s"))
}

// Guards against a copy that is stored at the same entry as the original and lost with it.
func TestOwnersAtPositionsDiffer(t *testing.T) {
	o := NewOwners([]string{"a", "b", "c"})
	for i := range 100 {
		key := fmt.Sprint(i)
		require.Equal(t, o.Owner(key), o.OwnerAt(key, 0))
		require.Len(t, map[string]bool{o.OwnerAt(key, 0): true, o.OwnerAt(key, 1): true, o.OwnerAt(key, 2): true}, 3)
		require.Equal(t, o.OwnerAt(key, 0), o.OwnerAt(key, 3))
	}
	require.Equal(t, "a", NewOwners([]string{"a"}).OwnerAt("k", 1))
}
