package limit

import (
	"maps"
	"slices"
	"time"
)

// ShareTTL is how long a control replica counts an entry among those that may use a share
// of the limits after its last call. An entry stops using its share sooner than that without
// a word of most replicas, so that the rest may have it.
const ShareTTL = time.Minute

// ShareVote is what a replica says of an entry's share of the limits. The zero ShareVote says nothing:
// a replica that has just started without its memory knows of too few.
type ShareVote struct {
	Entries int  `msgpack:"n"` // that may use a share, this one among them
	Allowed bool `msgpack:"ok"`
}

// Registry is what a control replica knows of the entries that may use a share of the
// workspaces' limits. It says which may.
//
// The shares of all entries must not come to more than one. So an entry is counted for
// long after its last call, since it may be cut off and go on; and a new one may use a
// share only once each of the others has said that its own is small enough.
type Registry struct {
	settled time.Time // from when on all entries are known
	entries map[string]*sharer
}

// sharer is an entry that may use a share.
type sharer struct {
	heard   time.Time
	divisor int // of which its share is a part at most; 0: it uses none, unknownShare: not known
	allowed bool
}

// unknownShare is the divisor of an entry that has not called since this replica began.
const unknownShare = -1

// NewRegistry returns the roster of a replica that starts. firstStart says that the whole
// system does: there is no entry then that it doesn't know.
func NewRegistry(now time.Time, firstStart bool) *Registry {
	r := &Registry{entries: make(map[string]*sharer), settled: now}
	if !firstStart {
		r.settled = now.Add(ShareTTL)
	}
	return r
}

// Restore takes the entries that were written down before this replica started. Each may
// have called in the last moment.
func (r *Registry) Restore(names []string, now time.Time) {
	for _, name := range names {
		if r.entries[name] == nil {
			r.entries[name] = &sharer{heard: now, divisor: unknownShare, allowed: true}
		}
	}
	r.settled = now
}

// Observe takes a call of an entry, whose largest share that is in use is a part of divisor.
func (r *Registry) Observe(name string, divisor int, now time.Time) {
	s := r.entries[name]
	if s == nil || now.Sub(s.heard) > ShareTTL {
		s = &sharer{}
		r.entries[name] = s
	}
	s.heard = now
	if divisor > 0 || !s.allowed {
		s.divisor = divisor // one that may use a share and does not yet goes by what it was told
	}
}

// Vote returns what an entry is told.
func (r *Registry) Vote(name string, now time.Time) ShareVote {
	for other, s := range r.entries {
		if now.Sub(s.heard) > ShareTTL {
			delete(r.entries, other)
		}
	}
	s := r.entries[name]
	if s == nil || now.Before(r.settled) {
		return ShareVote{}
	}
	n := len(r.entries)
	s.allowed = s.allowed || r.othersLeave(name, n)
	if s.allowed && s.divisor == 0 {
		s.divisor = n // from this word on
	}
	return ShareVote{Entries: n, Allowed: s.allowed}
}

// othersLeave reports whether no other entry uses more than one share of n.
func (r *Registry) othersLeave(name string, n int) bool {
	for other, s := range r.entries {
		if other != name && s.divisor != 0 && s.divisor < n {
			return false
		}
	}
	return true
}

// AllowedEntries returns the entries that may use a share, in order.
func (r *Registry) AllowedEntries(now time.Time) []string {
	names := make([]string, 0, len(r.entries))
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if s := r.entries[name]; s.allowed && now.Sub(s.heard) <= ShareTTL {
			names = append(names, name)
		}
	}
	return names
}
