package directory

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Control replicas receive the servers' heartbeats and derive from them which servers are
// unreachable; other processes use the replicas' reports. A server sends its heartbeats to
// one replica, which forwards them to the others. During a partition most replicas may
// receive no heartbeats of a healthy server that reports at a replica of the minority. The
// report of that replica then has precedence: otherwise requests would be refused for lack of
// capacity while servers are idle.
//
// A replica that receives no heartbeats of a server may itself be isolated, so it reports two
// conditions separately: the heartbeat is overdue, and the server is judged unreachable.

// Origin identifies the replica that sent a record. It is zero for a record that did not
// come from a followed replica.
type Origin struct {
	Replica     string // link address
	Incarnation uint64
}

// report is a replica's last report on a server; 0: none. An entry stores one of each replica
// for each of thousands of servers.
type report uint8

const (
	reportReceived report = 1 << iota
	reportOverdue
	reportUnreachable
)

func newReport(overdue, unreachable bool) report {
	r := reportReceived
	if overdue {
		r |= reportOverdue
	}
	if unreachable {
		r |= reportUnreachable
	}
	return r
}

// replicaState is the state of a replica whose reports this process stores.
type replicaState struct {
	address     string
	index       int // in Store.replicasByIndex and storedServer.reports
	incarnation uint64
	unreachable bool
	pending     map[Key]pendingStatus // of servers whose records are not known
}

// recordReport stores a replica's report on a server. The caller holds s.mu.
func (s *Store) recordReport(replica *replicaState, stored *storedServer, r report) {
	if missing := len(s.replicasByIndex) - len(stored.reports); missing > 0 {
		stored.reports = append(stored.reports, make([]report, missing)...)
	}
	stored.reports[replica.index] = r
}

// observesHeartbeats reports whether this process receives the servers' heartbeats itself.
func (s *Store) observesHeartbeats() bool { return s.cfg.OverdueAfter > 0 }

// updateOverdue sets Overdue and Unreachable by the time of the last heartbeat and reports
// whether either changed. confirmed means that this replica is in contact with most others
// or that another replica reports the server unreachable. The caller holds s.mu.
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

// unreachableByReports reports whether a server is unreachable by the replicas' reports: at
// least one judges it unreachable, and its heartbeat is overdue at every replica that has
// reported on it. Reports of unreachable replicas are ignored. Without any report the
// previous state stays. The caller holds s.mu.
func (s *Store) unreachableByReports(stored *storedServer) bool {
	if stored.State != instance.StateServing {
		return false
	}
	reporting, unreachable := 0, false
	for i, r := range stored.reports {
		if r == 0 || s.replicasByIndex[i].unreachable {
			continue
		}
		if r&reportOverdue == 0 {
			return false
		}
		reporting++
		unreachable = unreachable || r&reportUnreachable != 0
	}
	if reporting == 0 {
		return stored.Unreachable
	}
	return unreachable
}

// applyReports sets Unreachable by the replicas' reports and reports whether it changed. The
// caller holds s.mu.
func (s *Store) applyReports(stored *storedServer) bool {
	unreachable := s.unreachableByReports(stored)
	if unreachable == stored.Unreachable {
		return false
	}
	stored.Unreachable = unreachable
	s.recordChange(stored)
	return true
}

// recordReplica marks a replica as reachable and reports whether a server's state changed.
// It drops reports of an earlier incarnation, since a restarted replica may have lost the
// heartbeats that they were based on.
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
	case state != nil && state.incarnation == from.Incarnation:
		state.unreachable = false
		return s.applyAllReports()
	case state != nil:
		for _, stored := range s.servers {
			s.recordReport(state, stored, 0)
		}
		state.incarnation, state.unreachable = from.Incarnation, false
		clear(state.pending)
	default:
		state = &replicaState{address: from.Replica, index: len(s.replicasByIndex), incarnation: from.Incarnation, pending: make(map[Key]pendingStatus)}
		s.replicas[from.Replica] = state
		s.replicasByIndex = append(s.replicasByIndex, state)
	}
	return s.applyAllReports()
}

// MarkUnreachable records that a replica does not answer, and reports whether the state of a
// server changed. Reports of the replica are ignored until it answers again: an outdated
// report must not keep a server that has ended in use.
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

// applyAllReports calls applyReports for all servers and reports whether any changed. The
// caller holds s.mu.
func (s *Store) applyAllReports() bool {
	changed := false
	for _, stored := range s.servers {
		changed = s.applyReports(stored) || changed
	}
	return changed
}
