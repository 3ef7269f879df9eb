// Package referral chooses the entries that a caller is referred to. It answers the load of
// sites with more entries than a caller accepts in one list: if every caller of a zone got the
// first ones by name, those would serve the whole zone and the others nobody.
//
// Callers stop using their connections to entries that are missing from a new list, so the
// same caller keeps its entries while they live: they are chosen by rendezvous hashing.
package referral

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/hash"
)

// Distance ranks an entry for a caller; the lowest is nearest.
type Distance int

// distances is the number of distances.
const distances = 3

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	Elsewhere
)

// Entry is an entry that accepts callers.
type Entry struct {
	Address string
	Hash    uint64 // of its name
}

// Choose returns the addresses of at most limit of n entries for a caller, nearest first.
// entry returns the i-th entry and its distance. Entries keep their order within a distance,
// except at the distance at which limit is reached.
func Choose(n int, entry func(i int) (Entry, Distance), caller string, limit int) []string {
	var byDistance [distances][]Entry
	for i := range n {
		e, distance := entry(i)
		byDistance[distance] = append(byDistance[distance], e)
	}
	addresses := make([]string, 0, min(n, limit))
	for _, entries := range byDistance {
		if room := limit - len(addresses); len(entries) > room {
			entries = firstForCaller(entries, xxhash.Sum64String(caller), room)
		}
		for _, e := range entries {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// firstForCaller returns the first n entries in a caller's rendezvous order. It sorts entries.
func firstForCaller(entries []Entry, callerHash uint64, n int) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Compare(hash.Pair(callerHash, b.Hash), hash.Pair(callerHash, a.Hash))
	})
	return entries[:n]
}
