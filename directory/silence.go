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
type report struct {
	overdue, unreachable bool
}

// source is a replica whose words this process holds.
type replicaState struct {
	incarnation uint64
	unreachable bool
}

// judges reports whether this process hears the servers itself.
func (s *Store) observesHeartbeats() bool { return s.cfg.OverdueAfter > 0 }

// judge marks a server as unheard or heard by the time of its last heartbeat, and
// reports whether that is new. confirmed says that this replica is in touch with
// most others.
func (s *Store) updateOverdue(stored *storedServer, now time.Time, confirmed bool) bool {
	overdue := stored.State == instance.StateServing && now.Sub(stored.lastHeartbeat) > s.cfg.OverdueAfter
	unreachable := overdue && (confirmed || stored.Unreachable)
	if overdue == stored.Overdue && unreachable == stored.Unreachable {
		return false
	}
	stored.Overdue, stored.Unreachable = overdue, unreachable
	s.recordChange(stored)
	return true
}

// silenceOf says whether the replicas' words make a server silent: one says so, and
// none that answers hears it. Without a word that counts it stays as it was.
func (s *Store) unreachableByReports(stored *storedServer) bool {
	if stored.State != instance.StateServing {
		return false
	}
	reporting, unreachable := 0, false
	for replica, r := range stored.reports {
		if state := s.replicas[replica]; state == nil || state.unreachable {
			continue
		}
		if !r.overdue {
			return false
		}
		reporting++
		unreachable = unreachable || r.unreachable
	}
	if reporting == 0 {
		return stored.Unreachable
	}
	return unreachable
}

// weigh applies the replicas' words to a server and reports whether that is new.
func (s *Store) applyReports(stored *storedServer) bool {
	unreachable := s.unreachableByReports(stored)
	if unreachable == stored.Unreachable {
		return false
	}
	stored.Unreachable = unreachable
	s.recordChange(stored)
	return true
}

// noteSource takes a sign of life of a replica. Words of an earlier start no longer
// count: it may have forgotten what it said.
func (s *Store) recordReplica(from Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observesHeartbeats() || from.Replica == "" {
		return false
	}
	state := s.replicas[from.Replica]
	switch {
	case state != nil && state.incarnation == from.Incarnation && !state.unreachable:
		return false
	case state != nil && state.incarnation != from.Incarnation:
		for _, stored := range s.servers {
			delete(stored.reports, from.Replica)
		}
	}
	s.replicas[from.Replica] = &replicaState{incarnation: from.Incarnation}
	return s.applyAllReports()
}

// MarkUnreachable notes that a replica no longer answers: it may be dead, and what it heard last
// must not keep a dead server in use. It reports whether that changed what is known.
func (s *Store) MarkUnreachable(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replicas[replica]
	if state == nil || state.unreachable {
		return false
	}
	state.unreachable = true
	return s.applyAllReports()
}

func (s *Store) applyAllReports() bool {
	changed := false
	for _, stored := range s.servers {
		changed = s.applyReports(stored) || changed
	}
	return changed
}
