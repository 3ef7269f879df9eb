package follow

import (
	"sync"
	"time"
)

// maxSourceDelay is how long the source may take to send a revision that another replica
// has. It exceeds the transfer time of the largest catalogue over an entry's link, and leaves
// time for another replica to send the revision before it must be in force.
const maxSourceDelay = 700 * time.Millisecond

// catalogueSource selects the one replica that sends this process the catalogue. The other
// replicas send only the number of their revision.
//
// If each replica sent each revision, a few changes in a row could occupy a slow link for
// seconds. A change would miss its deadline, and announcements of leaving servers would queue
// behind it.
//
// Another replica is selected when the source is unreachable, or when it has not sent within
// maxSourceDelay a revision that another replica has: it may be outdated or partitioned.
type catalogueSource struct {
	mu              sync.Mutex
	addr            string    // of the source; empty: the next replica that is called becomes the source
	highestRevision uint64    // highest revision that any replica has reported
	lackingSince    time.Time // since when the process lacks a reported revision; zero: it lacks none
}

// shouldSend reports whether the replica that is about to be called should send the
// catalogue, and returns the highest reported revision. If there is no source, the replica
// becomes the source.
func (s *catalogueSource) shouldSend(addr string) (send bool, highestRevision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		s.addr = addr
	}
	return s.addr == addr, s.highestRevision
}

// observeRevision records the revision that a replica has reported and whether the process
// lacks it. It makes that replica the source if the source has been too slow.
func (s *catalogueSource) observeRevision(addr string, revision uint64, lacks bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
func (s *catalogueSource) markUnreachable(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		s.addr = ""
	}
}
