package booking

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/hash"
)

// Owners assigns each server to an entry by rendezvous hashing: when an entry joins or
// leaves, only the servers that it gains or loses change owner.
type Owners struct {
	names  []string
	hashes []uint64
}

// NewOwners returns the owners among entries with these names. It retains names.
func NewOwners(names []string) *Owners {
	o := &Owners{names: names, hashes: make([]uint64, len(names))}
	for i, name := range names {
		o.hashes[i] = xxhash.Sum64String(name)
	}
	return o
}

// Owner returns the name of the entry that owns a server; empty if there are no entries.
func (o *Owners) Owner(server string) string { return o.OwnerAt(server, 0) }

// OwnerAt returns the name of the entry at a position of the key's rendezvous order, in
// which the owner has position 0. Positions beyond the last entry wrap around. The name is
// empty if there are no entries.
func (o *Owners) OwnerAt(key string, position int) string {
	if len(o.names) == 0 {
		return ""
	}
	keyHash := xxhash.Sum64String(key)
	previousScore, name := uint64(math.MaxUint64), ""
	for range position%len(o.names) + 1 {
		bestScore := uint64(0)
		name = ""
		for i, h := range o.hashes {
			if score := hash.Pair(keyHash, h); score < previousScore && (name == "" || score > bestScore) {
				bestScore, name = score, o.names[i]
			}
		}
		previousScore = bestScore
	}
	return name
}
