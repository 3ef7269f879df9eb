package follow

import (
	"sync"
	"time"
)

// patience is how long the replica that sends the catalogue may take with a revision
// that another one has told of: several times what the largest catalogue takes on an
// entry's link. More than half of the time in which a change must be in force is left then.
const maxSourceDelay = 700 * time.Millisecond

// source is the one replica that sends a process the catalogue. The others only tell
// which revision they have.
//
// A catalogue may have hundreds of kilobytes and an entry's link ten megabits a
// second. If each replica sent each revision, a few changes in a row would take the
// link for seconds: the change would not be in force in time, and news of servers that
// leave would wait behind it.
//
// The choice changes when the replica is lost, or has not sent for a while what another
// one tells of: it may be behind, or cut off from the others.
type catalogueSource struct {
	mu              sync.Mutex
	addr            string    // empty: the next one that is called
	highestRevision uint64    // highest revision that any replica told of
	lackingSince    time.Time // since when a revision that was told of is lacking; zero: none is
}

// asks reports whether a replica that is called now is to send the catalogue, and the
// highest revision that is known of.
func (s *catalogueSource) shouldSend(addr string) (send bool, highestRevision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		s.addr = addr
	}
	return s.addr == addr, s.highestRevision
}

// note takes that a replica has told of a revision, and whether the process lacks it.
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

// lost takes that a replica does not answer.
func (s *catalogueSource) markUnreachable(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == addr {
		s.addr = ""
	}
}
