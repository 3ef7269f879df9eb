package limit

import (
	"maps"
	"slices"
	"time"
)

// ShareTTL is how long a control replica counts an entry after its last call. Without votes
// of a majority of the replicas an entry stops using its share sooner, so that the others
// may divide it.
const ShareTTL = time.Minute

// ShareVote is a replica's vote on an entry's share of the limits. The zero ShareVote is an
// abstention: a replica restarted without its stored entries counts too few.
type ShareVote struct {
	Entries int  `msgpack:"n"` // number that may use a share, this one included
	Allowed bool `msgpack:"ok"`
	// First reports that no earlier incarnation of the entry has called within ShareTTL.
	First bool `msgpack:"first,omitempty"`
}

// Registry is a control replica's record of the entries that may use a share of the
// workspaces' limits, and decides which may.
//
// The shares of all entries must sum to at most 1. So an entry is counted for ShareTTL
// after its last call, since it may be partitioned and still admit requests; and a new one
// may use a share only once each of the others has reported a share that is small enough.
type Registry struct {
	completeAt time.Time // from then on all entries are known; until then Vote abstains
	// firstsKnownAt is when an entry without a record has not called within ShareTTL. Stored
	// entries do not count, since one that was first seen just before the restart is missing.
	firstsKnownAt time.Time
	entries       map[string]*member
	expiredAt     time.Time
}

// member is an entry that has or requests a share.
type member struct {
	incarnation   uint64 // 0: has not called since this replica started
	first         bool   // see ShareVote.First
	lastHeartbeat time.Time
	divisor       int // its share is at most 1/divisor; 0: it uses none, or unknownDivisor
	allowed       bool
}

// unknownDivisor is the divisor of an entry that has not called since this replica started.
const unknownDivisor = -1

// NewRegistry returns the registry of a replica that starts. firstStart says that the whole
// system starts for the first time, so that no other entry can have a share.
func NewRegistry(now time.Time, firstStart bool) *Registry {
	r := &Registry{entries: make(map[string]*member), completeAt: now, firstsKnownAt: now}
	if !firstStart {
		r.completeAt = now.Add(ShareTTL)
		r.firstsKnownAt = r.completeAt
	}
	return r
}

// Restore adds the entries that were stored before this replica restarted. Each may have
// called just before the restart.
func (r *Registry) Restore(names []string, now time.Time) {
	for _, name := range names {
		if r.entries[name] == nil {
			r.entries[name] = &member{lastHeartbeat: now, divisor: unknownDivisor, allowed: true}
		}
	}
	r.completeAt = now
}

// Observe records a call of an incarnation of an entry; divisor is that of its largest share
// that may be in use, 0 if it uses none.
func (r *Registry) Observe(name string, incarnation uint64, divisor int, now time.Time) {
	s := r.entries[name]
	if s == nil || now.Sub(s.lastHeartbeat) > ShareTTL {
		s = &member{incarnation: incarnation, first: !now.Before(r.firstsKnownAt)}
		r.entries[name] = s
	}
	if s.incarnation != incarnation {
		s.incarnation, s.first = incarnation, false
	}
	s.lastHeartbeat = now
	if divisor > 0 || !s.allowed {
		s.divisor = divisor // an allowed entry that reports 0 may be about to use the share last voted
	}
}

// expireInterval is how often expired entries are dropped. Until then they are counted, which
// makes the shares smaller.
const expireInterval = time.Second

// expire drops expired entries, at most once per expireInterval.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expireInterval {
		return
	}
	r.expiredAt = now
	for name, s := range r.entries {
		if now.Sub(s.lastHeartbeat) > ShareTTL {
			delete(r.entries, name)
		}
	}
}

// Vote returns this replica's vote on an entry's share.
func (r *Registry) Vote(name string, now time.Time) ShareVote {
	r.expire(now)
	s := r.entries[name]
	if s == nil || now.Before(r.completeAt) {
		return ShareVote{}
	}
	n := len(r.entries)
	s.allowed = s.allowed || r.othersUseAtMost(name, n)
	if s.allowed && s.divisor == 0 {
		s.divisor = n // it may use 1/n once it receives this vote
	}
	return ShareVote{Entries: n, Allowed: s.allowed, First: s.first}
}

// othersUseAtMost reports whether no other entry uses a share larger than 1/divisor.
func (r *Registry) othersUseAtMost(name string, divisor int) bool {
	for other, s := range r.entries {
		if other != name && s.divisor != 0 && s.divisor < divisor {
			return false
		}
	}
	return true
}

// AllowedEntries returns the names of the entries that may use a share, sorted.
func (r *Registry) AllowedEntries(now time.Time) []string {
	names := make([]string, 0, len(r.entries))
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if s := r.entries[name]; s.allowed && now.Sub(s.lastHeartbeat) <= ShareTTL {
			names = append(names, name)
		}
	}
	return names
}
