package referral

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const limit = 64

// site returns n entries in three zones, the first of which is the caller's.
func site(n int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{Address: fmt.Sprintf("10.0.%d.%d:80", i%3, i), Hash: xxhash.Sum64String(fmt.Sprintf("edge-%03d", i))})
	}
	return entries
}

func choose(entries []Entry, caller string) []string {
	return Choose(len(entries), func(i int) (Entry, Distance) {
		if strings.HasPrefix(entries[i].Address, "10.0.0.") {
			return entries[i], SameZone
		}
		return entries[i], SameRegion
	}, caller, limit)
}

// A zone has 97 entries and its callers take 64 from a list. Guards against referring all of
// them to the same 64, which would be overloaded while the others idle.
func TestCallersSpreadOverAllEntriesOfTheirZone(t *testing.T) {
	entries := site(291)
	callers := make(map[string]int)
	for i := range 300 {
		list := choose(entries, fmt.Sprintf("10.9.0.%d", i))
		require.Len(t, list, limit)
		for _, addr := range list {
			callers[addr]++
		}
	}
	require.Len(t, callers, 97, "only entries of the zone, and all of them")
	for addr, n := range callers {
		require.InDelta(t, 300*limit/97, n, 50, addr)
	}
}

// Guards against lists that change from call to call: callers would close most of their
// connections each time.
func TestLossOfOneEntryChangesOneAddress(t *testing.T) {
	entries := site(291)
	before := choose(entries, "10.9.0.1")
	require.Equal(t, before, choose(entries, "10.9.0.1"))
	lost := slices.IndexFunc(entries, func(e Entry) bool { return e.Address == before[0] })
	after := choose(slices.Delete(slices.Clone(entries), lost, lost+1), "10.9.0.1")
	kept := 0
	for _, addr := range after {
		if slices.Contains(before, addr) {
			kept++
		}
	}
	require.Equal(t, limit-1, kept)
}

// Guards against leaving out near entries while farther ones are named.
func TestNearEntriesComeFirst(t *testing.T) {
	list := choose(site(96), "10.9.0.1")
	require.Len(t, list, limit)
	for i, addr := range list {
		require.Equal(t, i < 32, addr[:7] == "10.0.0.", "%d: %s", i, addr)
	}
	require.Len(t, choose(site(30), "10.9.0.1"), 30)
	require.Empty(t, choose(nil, "10.9.0.1"))
}
