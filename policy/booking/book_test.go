package booking

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// What one asks for is what all others told last, whatever came before.
func TestLoadOfOthersUsesLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		last := make(map[string]Load)
		for i := range rapid.IntRange(1, 40).Draw(t, "words") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry")
			l := Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), Prefill: rapid.IntRange(0, 9000).Draw(t, "prefill")}
			b.Note(Teller{name, 1}, uint64(i+1), "s", l, start)
			last[name] = l
		}
		want := Load{Running: last["b"].Running + last["c"].Running, Prefill: last["b"].Prefill + last["c"].Prefill}
		require.Equal(t, want, b.Others("a", "s", 1000, start))
	})
}

// Datagrams overtake each other, and an entry starts anew while one of its old words is
// still on its way. The older word would bring back work that has long ended.
func TestOutOfOrderReportsAreDropped(t *testing.T) {
	b := NewBook()
	b.Note(Teller{"a", 1}, 2, "s", Load{}, start)
	b.Note(Teller{"a", 1}, 1, "s", Load{Running: 3, Prefill: 900}, start)
	require.Equal(t, Load{Running: 3, Prefill: 900}, b.Others("b", "s", 0, start), "nothing was known of the server before")
	b.Note(Teller{"a", 1}, 4, "s", Load{}, start)
	b.Note(Teller{"a", 1}, 3, "s", Load{Running: 5, Prefill: 100}, start)
	require.Zero(t, b.Others("b", "s", 0, start))
	b.Note(Teller{"a", 2}, 1, "s", Load{Running: 1, Prefill: 10}, start)
	b.Note(Teller{"a", 1}, 9, "s", Load{Running: 8, Prefill: 80}, start)
	require.Equal(t, Load{Running: 1, Prefill: 10}, b.Others("b", "s", 0, start))
}

// An entry is killed while it has work at a server. Its word must not keep the server
// from being used for good.
func TestReportsOfKilledEntryExpire(t *testing.T) {
	b := NewBook()
	b.Note(Teller{"a", 1}, 1, "s", Load{Running: 30, Prefill: 90_000}, start)
	b.Note(Teller{"b", 1}, 1, "s", Load{Running: 1, Prefill: 100}, start.Add(reportTTL))
	require.Equal(t, 31, b.Others("c", "s", 0, start.Add(reportTTL)).Running)
	require.Equal(t, 1, b.Others("c", "s", 0, start.Add(reportTTL+time.Millisecond)).Running)
	b.Sweep(start.Add(3 * reportTTL))
	require.Empty(t, b.servers)
}

// A server crashes, and one entry finds that nobody is at its address. All others are
// told for a moment, also if nothing was known of the server; then one may try again.
func TestServerDownIsReturnedToAllEntries(t *testing.T) {
	b := NewBook()
	b.Note(Teller{"a", 1}, 1, "s", Load{Down: true}, start)
	require.True(t, b.Others("b", "s", 0, start).Down)
	b.Sweep(start.Add(2 * reportTTL / 3))
	require.False(t, b.Others("b", "s", 0, start.Add(downTTL)).Down)
	b.Note(Teller{"b", 1}, 1, "s", Load{Down: true}, start.Add(downTTL))
	b.Note(Teller{"c", 1}, 1, "s", Load{Running: 1}, start.Add(downTTL))
	require.True(t, b.Others("a", "s", 0, start.Add(downTTL)).Down, "another one's word does not take it back")
}

// A server reads a prompt while nobody tells anything. What is left of it shrinks, but
// not to nothing: the rate may be too high for a prompt as long as this.
func TestPrefillIsEstimatedBetweenReports(t *testing.T) {
	b := NewBook()
	b.Note(Teller{"a", 1}, 1, "s", Load{Running: 1, Prefill: 50_000}, start)
	require.Equal(t, 40_000, b.Others("b", "s", 20_000, start.Add(500*time.Millisecond)).Prefill)
	require.Equal(t, 25_000, b.Others("b", "s", 20_000, start.Add(3*time.Second)).Prefill)
}

// One entry of many goes. Only its books change hands, and each has one owner.
func TestRemovedEntryMovesOnlyItsServers(t *testing.T) {
	var names []string
	for i := range 70 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	all, fewer := NewOwners(names), NewOwners(names[1:])
	count := make(map[string]int)
	for i := range 7000 {
		server := fmt.Sprintf("s%d", i)
		owner := all.Of(server)
		count[owner]++
		if owner != names[0] {
			require.Equal(t, owner, fewer.Of(server))
		}
	}
	for _, name := range names {
		require.InDelta(t, 100, count[name], 50, name)
	}
	require.Empty(t, NewOwners(nil).Of("s"))
}

// What is kept at two entries must not be lost with one of them.
func TestOwnersAtPositionsDiffer(t *testing.T) {
	o := NewOwners([]string{"a", "b", "c"})
	for i := range 100 {
		key := fmt.Sprint(i)
		require.Equal(t, o.Of(key), o.Ranked(key, 0))
		require.Len(t, map[string]bool{o.Ranked(key, 0): true, o.Ranked(key, 1): true, o.Ranked(key, 2): true}, 3)
		require.Equal(t, o.Ranked(key, 0), o.Ranked(key, 3))
	}
	require.Equal(t, "a", NewOwners([]string{"a"}).Ranked("k", 1))
}
