package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/hash"
)

// View is the assignment of fingerprints and servers to entries, as one entry sees it.
// Build a new one when an entry or a backend server joins or leaves.
type View struct {
	self       string
	owners     []string // entries that own at least one server
	ownServers []Server // owned by self, sorted
}

// NewView assigns each server to one entry. entries are the IDs of all serving entries,
// including self; servers are the serving backend servers. Only the owner grants trials on a
// server: two owners could put a suspect on it at the same time, and a crash would
// quarantine both.
func NewView(self string, entries []string, servers []Server) *View {
	v := &View{self: self}
	for _, s := range servers {
		owner := highestRanked(entries, xxhash.Sum64String(s.ID))
		if owner == self {
			v.ownServers = append(v.ownServers, s)
		}
		if owner != "" && !slices.Contains(v.owners, owner) {
			v.owners = append(v.owners, owner)
		}
	}
	slices.SortFunc(v.ownServers, compareServers)
	return v
}

// Owner returns the ID of the entry that grants runs of the fingerprint, or "" if no server
// serves.
func (v *View) Owner(fingerprint uint64) string {
	return highestRanked(v.owners, fingerprint)
}

// highestRanked returns the entry for the key by rendezvous hashing.
func highestRanked(entries []string, key uint64) string {
	best, bestRank := "", uint64(0)
	for _, id := range entries {
		rank := hash.Pair(xxhash.Sum64String(id), key)
		if best == "" || rank > bestRank || rank == bestRank && id < best {
			best, bestRank = id, rank
		}
	}
	return best
}
