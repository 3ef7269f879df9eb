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

// Entry is an entry that accepts callers.
type Entry struct {
	Name    string
	Address string
	// Distance ranks the entry for the caller; the lowest is nearest.
	Distance int
}

// Choose returns the addresses of at most limit entries for a caller, nearest first. Entries
// keep their order within a distance, except at the distance at which limit is reached.
func Choose(entries []Entry, caller string, limit int) []string {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.Distance, b.Distance) })
	if len(sorted) > limit {
		sorted = cut(sorted, caller, limit)
	}
	addresses := make([]string, len(sorted))
	for i := range sorted {
		addresses[i] = sorted[i].Address
	}
	return addresses
}

// cut returns the limit nearest entries, chosen by the caller's rendezvous order among those
// at the distance of the last. entries are sorted by distance.
func cut(entries []Entry, caller string, limit int) []Entry {
	farthest := entries[limit-1].Distance
	first := slices.IndexFunc(entries, func(e Entry) bool { return e.Distance == farthest })
	nearer, choice := entries[:first], entries[first:]
	if end := slices.IndexFunc(choice, func(e Entry) bool { return e.Distance != farthest }); end >= 0 {
		choice = choice[:end]
	}
	callerHash := xxhash.Sum64String(caller)
	rank := make(map[string]uint64, len(choice))
	for _, e := range choice {
		rank[e.Name] = hash.Pair(callerHash, xxhash.Sum64String(e.Name))
	}
	slices.SortFunc(choice, func(a, b Entry) int { return cmp.Compare(rank[b.Name], rank[a.Name]) })
	return append(nearer, choice[:limit-first]...)
}
