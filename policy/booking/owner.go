package booking

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/hash"
)

// Owners says which entry keeps the book of which server, by rendezvous hashing: where
// an entry comes or goes only the books that it has or had change hands.
type Owners struct {
	names  []string
	hashes []uint64
}

// NewOwners returns the owners among entries of these names.
func NewOwners(names []string) *Owners {
	o := &Owners{names: names, hashes: make([]uint64, len(names))}
	for i, name := range names {
		o.hashes[i] = xxhash.Sum64String(name)
	}
	return o
}

// Of returns the name of a server's owner; empty where there are no entries.
func (o *Owners) Of(server string) string { return o.Ranked(server, 0) }

// Ranked returns the name of the entry that comes after so many others as the owner of what
// key stands for. Where there are fewer entries it begins again with the first one.
func (o *Owners) Ranked(key string, position int) string {
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
