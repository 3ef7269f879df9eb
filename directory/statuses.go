package directory

import (
	"encoding/binary"
	"iter"
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Status is what a control replica reports on a server to the entries that receive complete
// records from another replica.
type Status struct {
	Key         Key
	State       instance.State
	Overdue     bool
	Unreachable bool
}

// Statuses is a list in the form in which it is sent: statusBytes for each. Every replica
// sends the status of thousands of servers to each of hundreds of entries when they start.
type Statuses []byte

const (
	statusBytes = 9 // of a status: key and flags

	statusStateMask   = 0b0011
	statusOverdue     = 0b0100
	statusUnreachable = 0b1000
)

// statesByOrder holds the states at their stateOrder.
var statesByOrder = [...]instance.State{instance.StateServing, instance.StateLeaving, instance.StateGone}

// append returns the list with one more status.
func (l Statuses) append(status Status) Statuses {
	flags := byte(stateOrder(status.State))
	if status.Overdue {
		flags |= statusOverdue
	}
	if status.Unreachable {
		flags |= statusUnreachable
	}
	return append(binary.LittleEndian.AppendUint64(l, uint64(status.Key)), flags)
}

// Len returns the number of statuses.
func (l Statuses) Len() int { return len(l) / statusBytes }

// All returns the statuses. It skips those of a state that this version does not know, and a
// truncated last one.
func (l Statuses) All() iter.Seq[Status] {
	return func(yield func(Status) bool) {
		for part := range slices.Chunk(l, statusBytes) {
			if len(part) < statusBytes {
				return
			}
			flags := part[statusBytes-1]
			state := int(flags & statusStateMask)
			if state >= len(statesByOrder) {
				continue
			}
			status := Status{
				Key: Key(binary.LittleEndian.Uint64(part)), State: statesByOrder[state],
				Overdue: flags&statusOverdue != 0, Unreachable: flags&statusUnreachable != 0,
			}
			if !yield(status) {
				return
			}
		}
	}
}

// StatusesSince returns the statuses of the servers whose records changed after seq, and the
// number to pass to the next call. The list must not be changed: all of seq 0 share one until
// the next change, since hundreds of entries request it at once when this process has
// restarted.
func (s *Store) StatusesSince(seq uint64) (statuses Statuses, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq == 0 && s.allStatuses != nil && s.allStatusesAt == s.lastServerChange {
		return s.allStatuses, s.lastSeq
	}
	for e := s.updates.serverChanges.Back(); e != nil; e = e.Prev() {
		stored := e.Value.(*storedServer)
		if stored.changeSeq <= seq {
			break
		}
		statuses = statuses.append(stored.status())
	}
	if seq == 0 {
		s.allStatuses, s.allStatusesAt = statuses, s.lastServerChange
	}
	return statuses, s.lastSeq
}

// Records returns the records of the servers with these keys, as far as they are known.
func (s *Store) Records(keys []Key, now time.Time) []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Server
	for _, key := range keys {
		if stored := s.serversByKey[key]; stored != nil {
			out = append(out, stored.record(now))
		}
	}
	return out
}

const (
	// maxMissing bounds how many records are requested at once from a replica that reported
	// only their statuses.
	maxMissing = 256
	// missingGrace is how long the replica that sends complete records may take to send that
	// of a server on which another replica has reported. It exceeds the time for which reports
	// of new servers are delayed: otherwise, while a site starts, entries would request most
	// records from all replicas.
	missingGrace = 4 * time.Second
	// pendingTTL is how long the record of a server is requested from a replica that has
	// reported on it. The replica may have dropped the record meanwhile.
	pendingTTL = 30 * time.Second
)

// pendingStatus is a replica's status of a server whose record this process does not have.
type pendingStatus struct {
	status     Status
	receivedAt time.Time
}

// MergeStatuses records the statuses that a replica has sent, and that it is reachable. A
// status of a server whose record is not known yet is kept for the record. It reports whether
// the state of a server changed.
func (s *Store) MergeStatuses(from Origin, statuses Statuses, now time.Time) bool {
	changed := s.recordReplica(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.replicas[from.Replica]
	if replica == nil {
		return changed
	}
	for status := range statuses.All() {
		stored := s.serversByKey[status.Key]
		if stored == nil {
			replica.pending[status.Key] = pendingStatus{status, now}
			continue
		}
		changed = s.applyStatus(replica, stored, pendingStatus{status, now}) || changed
	}
	return changed
}

// applyStatus applies a replica's status to a known record and reports whether the server's
// state or reachability changed. The caller holds s.mu.
func (s *Store) applyStatus(replica *replicaState, stored *storedServer, received pendingStatus) bool {
	status := received.status
	if stateOrder(status.State) < stateOrder(stored.State) {
		return false
	}
	s.recordReport(replica, stored, newReport(status.Overdue, status.Unreachable))
	left := status.State != stored.State
	if left {
		stored.State, stored.StateFrom, stored.StateAt = status.State, replica.address, received.receivedAt
		s.recordChange(stored)
	}
	return s.applyReports(stored) || left
}

// applyPending applies the statuses that replicas sent before the record of the server. The
// caller holds s.mu.
func (s *Store) applyPending(stored *storedServer) {
	for _, replica := range s.replicasByIndex {
		if pending, found := replica.pending[stored.key]; found {
			delete(replica.pending, stored.key)
			s.applyStatus(replica, stored, pending)
		}
	}
}

// Missing returns the keys of servers on which a replica has reported and whose records no
// other replica has sent within missingGrace: at most maxMissing.
func (s *Store) Missing(replica string, now time.Time) []Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replicas[replica]
	if state == nil {
		return nil
	}
	var keys []Key
	for key, pending := range state.pending {
		age := now.Sub(pending.receivedAt)
		if age > pendingTTL {
			delete(state.pending, key)
		}
		if age < missingGrace || age > pendingTTL {
			continue
		}
		if keys = append(keys, key); len(keys) == maxMissing {
			break
		}
	}
	slices.Sort(keys)
	return keys
}
