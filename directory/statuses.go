package directory

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

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

// Statuses is encoded as one byte string, since every replica sends the status of thousands
// of servers to each of hundreds of entries when they start.
type Statuses []Status

const (
	statusBytes = 9 // of an encoded Status: key and flags

	statusStateMask   = 0b0011
	statusOverdue     = 0b0100
	statusUnreachable = 0b1000
)

// statesByOrder holds the states at their stateOrder.
var statesByOrder = [...]instance.State{instance.StateServing, instance.StateLeaving, instance.StateGone}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l Statuses) EncodeMsgpack(enc *msgpack.Encoder) error {
	buf := make([]byte, 0, statusBytes*len(l))
	for _, status := range l {
		flags := byte(stateOrder(status.State))
		if status.Overdue {
			flags |= statusOverdue
		}
		if status.Unreachable {
			flags |= statusUnreachable
		}
		buf = append(binary.LittleEndian.AppendUint64(buf, uint64(status.Key)), flags)
	}
	return enc.EncodeBytes(buf)
}

// DecodeMsgpack implements msgpack.CustomDecoder. A truncated element or an unknown state is
// an error.
func (l *Statuses) DecodeMsgpack(dec *msgpack.Decoder) error {
	buf, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(buf)%statusBytes != 0 {
		return trace.BadParameter("statuses of %d bytes are truncated", len(buf))
	}
	*l = make(Statuses, 0, len(buf)/statusBytes)
	for part := range slices.Chunk(buf, statusBytes) {
		flags := part[statusBytes-1]
		state := int(flags & statusStateMask)
		if state >= len(statesByOrder) {
			return trace.BadParameter("state %d of a server is unknown", state)
		}
		*l = append(*l, Status{
			Key: Key(binary.LittleEndian.Uint64(part)), State: statesByOrder[state],
			Overdue: flags&statusOverdue != 0, Unreachable: flags&statusUnreachable != 0,
		})
	}
	return nil
}

// StatusesSince returns the statuses of the servers whose records changed after seq, and the
// number to pass to the next call.
func (s *Store) StatusesSince(seq uint64) (statuses Statuses, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.updates.serverChanges.Back(); e != nil; e = e.Prev() {
		stored := e.Value.(*storedServer)
		if stored.changeSeq <= seq {
			break
		}
		statuses = append(statuses, Status{stored.key, stored.State, stored.Overdue, stored.Unreachable})
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
	// of a server on which another replica has reported.
	missingGrace = 500 * time.Millisecond
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
	for _, status := range statuses {
		stored := s.serversByKey[status.Key]
		if stored == nil {
			replica.pending[status.Key] = pendingStatus{status, now}
			continue
		}
		changed = s.applyStatus(from.Replica, stored, status) || changed
	}
	return changed
}

// applyStatus applies a replica's status to a known record and reports whether the server's
// state or reachability changed. The caller holds s.mu.
func (s *Store) applyStatus(replica string, stored *storedServer, status Status) bool {
	if stateOrder(status.State) < stateOrder(stored.State) {
		return false
	}
	if stored.reports == nil {
		stored.reports = make(map[string]report)
	}
	stored.reports[replica] = report{status.Overdue, status.Unreachable}
	left := status.State != stored.State
	if left {
		stored.State = status.State
		s.recordChange(stored)
	}
	return s.applyReports(stored) || left
}

// applyPending applies the statuses that replicas sent before the record of the server. The
// caller holds s.mu.
func (s *Store) applyPending(stored *storedServer) {
	for name, replica := range s.replicas {
		if pending, found := replica.pending[stored.key]; found {
			delete(replica.pending, stored.key)
			s.applyStatus(name, stored, pending.status)
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
