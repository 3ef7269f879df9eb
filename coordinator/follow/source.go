package follow

import (
	"sync"
	"time"
)

const (
	// maxSourceDelay is how long the source may take to send a revision that another replica
	// has. It exceeds the transfer time of the largest catalogue over an entry's link, and
	// leaves time for another replica to send the revision before it must be in force.
	maxSourceDelay = 700 * time.Millisecond
	// localSourceWait is how long a replica in the own zone is waited for before one in
	// another zone becomes the source.
	localSourceWait = 150 * time.Millisecond
)

// recordSource selects the one replica that sends this process complete records of servers
// and entries, and the catalogue. The other replicas send statuses of servers and the number
// of their revision.
//
// If each replica sent each record and revision, a few changes in a row, or the start of a
// site, could occupy a slow link for seconds. A change would miss its deadline, and
// announcements of leaving servers would queue behind it.
//
// A replica in the own zone is preferred. Another replica is selected when the source is
// unreachable, or when it has not sent within maxSourceDelay a revision that another replica
// has: it may be outdated or partitioned.
type recordSource struct {
	zone string // own zone

	mu              sync.Mutex
	addr            string            // of the source; empty: there is none
	vacantSince     time.Time         // since when there is none
	zones           map[string]string // by replica
	revisions       map[string]uint64 // last revision that each replica has reported
	highestRevision uint64            // highest of them
	lackingSince    time.Time         // since when the process lacks a reported revision; zero: it lacks none
}

// shouldSend reports whether the replica that is about to be called should send complete
// records and the catalogue, and returns the highest reported revision. The replica becomes
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

// observeRevision records the revision that a replica has reported and whether the process
// lacks it. It makes that replica the source if the source has been too slow.
func (s *recordSource) observeRevision(addr string, revision uint64, lacks bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revisions == nil {
		s.revisions = make(map[string]uint64)
	}
	s.revisions[addr] = revision
	s.highestRevision = max(s.highestRevision, revision)
	switch {
	case !lacks:
		if revision == s.highestRevision {
			s.lackingSince = time.Time{}
		}
	case s.lackingSince.IsZero():
		s.lackingSince = now
	case addr != s.addr && now.Sub(s.lackingSince) > maxSourceDelay:
		s.addr, s.lackingSince = addr, now
	}
}

// markUnreachable deselects the source if it is the replica at addr.
func (s *recordSource) markUnreachable(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		s.addr, s.vacantSince = "", now
	}
}
