package directory

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Replicas hear the servers' heartbeats and judge by them which server is silent;
// other processes go by what the replicas say. A server reports at one replica, which
// passes its heartbeats on to the others. When replicas are cut off from each other,
// most of them may hear nothing of a server that is well and reports at one of the
// rest. The word of the one that hears it counts then: a process that believed the
// others would refuse requests for want of servers while some stand idle.
//
// A replica that hears nothing of a server may be the one that is cut off, so it says
// two things apart: that it hears nothing, and whether that is to be believed.

// Origin says which replica told something.
type Origin struct {
	Replica     string // link address
	Incarnation uint64 // of that start of the replica
}

// word is what one replica said last of a server.
type word struct {
	unheard, silent bool
}

// source is a replica whose words this process holds.
type source struct {
	life uint64
	lost bool
}

// judges reports whether this process hears the servers itself.
func (s *Store) judges() bool { return s.cfg.OverdueAfter > 0 }

// judge marks a server as unheard or heard by the time of its last heartbeat, and
// reports whether that is new. confirmed says that this replica is in touch with
// most others.
func (s *Store) judge(held *heldServer, now time.Time, confirmed bool) bool {
	unheard := held.State == instance.StateServing && now.Sub(held.heard) > s.cfg.OverdueAfter
	silent := unheard && (confirmed || held.Unreachable)
	if unheard == held.Overdue && silent == held.Unreachable {
		return false
	}
	held.Overdue, held.Unreachable = unheard, silent
	s.changeServer(held)
	return true
}

// silenceOf says whether the replicas' words make a server silent: one says so, and
// none that answers hears it. Without a word that counts it stays as it was.
func (s *Store) silenceOf(held *heldServer) bool {
	if held.State != instance.StateServing {
		return false
	}
	counted, silent := 0, false
	for replica, w := range held.words {
		if src := s.sources[replica]; src == nil || src.lost {
			continue
		}
		if !w.unheard {
			return false
		}
		counted++
		silent = silent || w.silent
	}
	if counted == 0 {
		return held.Unreachable
	}
	return silent
}

// weigh applies the replicas' words to a server and reports whether that is new.
func (s *Store) weigh(held *heldServer) bool {
	silent := s.silenceOf(held)
	if silent == held.Unreachable {
		return false
	}
	held.Unreachable = silent
	s.changeServer(held)
	return true
}

// noteSource takes a sign of life of a replica. Words of an earlier start no longer
// count: it may have forgotten what it said.
func (s *Store) noteSource(from Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.judges() || from.Replica == "" {
		return false
	}
	src := s.sources[from.Replica]
	switch {
	case src != nil && src.life == from.Incarnation && !src.lost:
		return false
	case src != nil && src.life != from.Incarnation:
		for _, held := range s.servers {
			delete(held.words, from.Replica)
		}
	}
	s.sources[from.Replica] = &source{life: from.Incarnation}
	return s.weighAll()
}

// MarkUnreachable notes that a replica no longer answers: it may be dead, and what it heard last
// must not keep a dead server in use. It reports whether that changed what is known.
func (s *Store) MarkUnreachable(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	src := s.sources[replica]
	if src == nil || src.lost {
		return false
	}
	src.lost = true
	return s.weighAll()
}

func (s *Store) weighAll() bool {
	changed := false
	for _, held := range s.servers {
		changed = s.weigh(held) || changed
	}
	return changed
}
