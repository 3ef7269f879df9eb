package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/hash"
)

// View is one entry's picture of who owns what. Build a new one when an entry
// or a backend server comes or goes.
type View struct {
	self       string
	owners     []string // entries that own at least one server
	ownServers []Server // servers that self owns, sorted
}

// NewView shares the servers out among the entries. entries are the ids of all
// serving entries, self among them; servers are those that serve. Each server
// has one owner, which alone grants trials on it: with two, both could put a
// suspect on it at once, and a crash would quarantine both.
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

// Owner returns the entry that grants runs of the fingerprint, empty when no
// server serves.
func (v *View) Owner(fingerprint uint64) string {
	return highestRanked(v.owners, fingerprint)
}

// highestRanked returns the entry that comes highestRanked for the key by rendezvous hashing.
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
