package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxSourceDelay is how long the source may take to report a revision that another replica
	// has.
	maxSourceDelay = 700 * time.Millisecond
	// localSourceWait is how long a replica in the own zone is waited for before one in
	// another zone becomes the source.
	localSourceWait = 150 * time.Millisecond
)

// recordSource selects the one replica that sends this process complete records of servers
// and entries. The other replicas send statuses of servers. It also knows the revisions of the
// catalogue that the replicas have reported, and so which of them have the newest.
//
// If each replica sent each record, the start of a site could occupy a slow link for seconds, and
// announcements of leaving servers would queue behind it.
//
// A replica in the own zone is preferred. Another replica is selected when the source is
// unreachable, or when it has not reported within maxSourceDelay a revision that another replica
// has: it may be outdated or partitioned.
type recordSource struct {
	zone string // own zone

	mu              sync.Mutex
	addr            string            // of the source; empty: there is none
	vacantSince     time.Time         // since when there is none
	zones           map[string]string // by replica
	revisions       map[string]uint64 // last revision that each replica has reported
	highestRevision uint64            // highest of them
	failing         map[string]bool   // replicas to which the last call failed
	laggingSince    time.Time         // since when the source lacks a reported revision; zero: it lacks none
}

// shouldSend reports whether the replica that is about to be called should send complete
// records, and returns the highest reported revision. The replica becomes
// the source if there is none or if it is a better one.
func (s *recordSource) shouldSend(addr string, now time.Time) (send bool, highestRevision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.betterThanSource(addr, now) {
		s.addr = addr
	}
	return s.addr == addr, s.highestRevision
}

// betterThanSource reports whether the replica at addr should become the source. The caller
// holds s.mu.
func (s *recordSource) betterThanSource(addr string, now time.Time) bool {
	if s.addr == "" {
		return s.isLocal(addr) || now.Sub(s.vacantSince) >= localSourceWait
	}
	return !s.isLocal(s.addr) && s.isLocal(addr) && s.revisions[addr] == s.highestRevision
}

// isLocal reports whether a replica is in the own zone. The caller holds s.mu.
func (s *recordSource) isLocal(addr string) bool { return s.zones[addr] == s.zone }

// vacant reports whether there is no source.
func (s *recordSource) vacant() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr == ""
}

// observeZone records the zone of a replica.
func (s *recordSource) observeZone(addr, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zones == nil {
		s.zones = make(map[string]string)
	}
	s.zones[addr] = zone
}

// observeRevision records the revision that a replica has reported, and reports whether it is
// higher than all before, or the first. It makes that replica the source if the source lags.
func (s *recordSource) observeRevision(addr string, revision uint64, now time.Time) (higher bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revisions == nil {
		s.revisions = make(map[string]uint64)
	}
	higher = len(s.revisions) == 0 || revision > s.highestRevision
	s.revisions[addr] = revision
	delete(s.failing, addr)
	s.highestRevision = max(s.highestRevision, revision)
	switch {
	case s.revisions[s.addr] == s.highestRevision:
		s.laggingSince = time.Time{}
	case s.laggingSince.IsZero():
		s.laggingSince = now
	case revision == s.highestRevision && now.Sub(s.laggingSince) > maxSourceDelay:
		s.addr, s.laggingSince = addr, time.Time{}
	}
	return higher
}

// highest returns the highest reported revision.
func (s *recordSource) highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestRevision
}

// holders returns the replicas that have reported the highest revision: the source, then those in
// the own zone, and those to which a call has failed last.
func (s *recordSource) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for addr, revision := range s.revisions {
		if revision == s.highestRevision {
			list = append(list, addr)
		}
	}
	rank := func(addr string) int {
		switch {
		case s.failing[addr]:
			return 3 // a call may be late because this process is
		case addr == s.addr:
			return 0
		case s.isLocal(addr):
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b)) })
	return list
}

// markUnreachable records that a call to a replica has failed, and deselects the source if it is
// that one.
func (s *recordSource) markUnreachable(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing == nil {
		s.failing = make(map[string]bool)
	}
	s.failing[addr] = true
	if s.addr == addr {
		s.addr, s.vacantSince = "", now
	}
}

// forget forgets a replica that is no longer followed.
func (s *recordSource) forget(addr string, now time.Time) {
	s.markUnreachable(addr, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.revisions, addr)
	delete(s.failing, addr)
}
