package booking

import (
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
func (o *Owners) Of(server string) string {
	key := xxhash.Sum64String(server)
	best, owner := uint64(0), ""
	for i, h := range o.hashes {
		if rank := hash.Pair(key, h); owner == "" || rank > best {
			best, owner = rank, o.names[i]
		}
	}
	return owner
}
