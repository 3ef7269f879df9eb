package directory

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Holds reports whether the record of a server is at least as new as an announcement. It is not after
// Announce if another server has the address.
func (s *Store) Holds(a *instance.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, known := s.servers[a.ID]
	announced := Server{Announcement: *a}
	return known && !announced.version().newerThan(stored.version())
}

// Leave records a server's announcement that it has left and reports whether its record changed.
// incarnation 0 means that the server did not say which start of it has left: the one that is
// known, or the first that becomes known within unstatedLeaveTTL. Times of day are not compared
// with an incarnation: those of two machines may differ by seconds.
func (s *Store) Leave(id string, incarnation uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, known := s.servers[id]
	rec := Server{Announcement: instance.Announcement{ID: id, Incarnation: incarnation}, Unstated: !known && incarnation == 0}
	if known && (incarnation == 0 || incarnation == stored.Incarnation) {
		rec.Announcement, rec.Unstated = stored.Announcement, stored.Unstated
	}
	rec.State = instance.StateGone
	return s.mergeLocked(Origin{}, rec, now)
}

// unstatedLeaveTTL is how long the leave of a server that was not known then holds for the first
// start of it that becomes known. A server does not start again that soon.
const unstatedLeaveTTL = 5 * time.Second

// applyUnstatedLeave applies a leave that does not say which start of the server has left, if one of
// rec, which has been received, and the stored record is such a leave and the other one is an
// incarnation that it concerns. It reports whether the stored record has become gone. The caller holds
// s.mu.
func (s *Store) applyUnstatedLeave(stored *storedServer, rec *Server, now time.Time) bool {
	switch {
	case stored.Unstated && !rec.Unstated && now.Sub(stored.knownSince) < unstatedLeaveTTL:
		rec.State = instance.StateGone
	case rec.Unstated && !stored.Unstated && stored.State != instance.StateGone && stored.knownSince.Before(now.Add(-rec.HeartbeatAge)):
		stored.State, stored.StateFrom, stored.StateAt = instance.StateGone, "", now
		s.recordChange(stored)
		stored.recordSeq = stored.changeSeq
		return true
	}
	return false
}

// Left returns the servers that are leaving or gone, in any order.
func (s *Store) Left(now time.Time) []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Server
	for _, stored := range s.servers {
		if stored.State != instance.StateServing {
			out = append(out, stored.record(now))
		}
	}
	return out
}
