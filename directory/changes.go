package directory

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// updateLists hold the records in the order of their last update, oldest first, so that the
// records that were updated after a sequence number are found without a scan of all records.
type updateLists struct {
	serverChanges, serverHeartbeats *list.List // of *storedServer, by changeSeq and by heartbeatSeq
	entryChanges, entryHeartbeats   *list.List // of *storedEntry
}

func newUpdateLists() updateLists {
	return updateLists{list.New(), list.New(), list.New(), list.New()}
}

// moveLast moves a record to the end of l and returns its element; e is nil if it is not in
// l yet.
func moveLast(l *list.List, e *list.Element, record any) *list.Element {
	if e == nil {
		return l.PushBack(record)
	}
	l.MoveToBack(e)
	return e
}

// recordChange gives the record a new sequence number and wakes those who wait for a change.
// The caller holds s.mu.
func (s *Store) recordChange(stored *storedServer) {
	s.recordHeartbeat(stored)
	stored.changeSeq, s.lastServerChange = s.lastSeq, s.lastSeq
	stored.inChanges = moveLast(s.updates.serverChanges, stored.inChanges, stored)
	if stored.State != instance.StateServing || stored.Unreachable {
		s.lastUrgentChange = s.lastSeq
		close(s.urgentlyChanged)
		s.urgentlyChanged = make(chan struct{})
	}
	s.notify()
}

// recordHeartbeat gives a new sequence number to a heartbeat that changes nothing else. It
// does not wake waiting calls: entries need no message for it, and replicas receive it with
// the next message. The caller holds s.mu.
func (s *Store) recordHeartbeat(stored *storedServer) {
	s.lastSeq++
	stored.heartbeatSeq = s.lastSeq
	stored.inHeartbeats = moveLast(s.updates.serverHeartbeats, stored.inHeartbeats, stored)
}

// notify closes s.changed and replaces it. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordEntryHeartbeat gives a new sequence number to an entry's heartbeat. The caller holds
// s.mu.
func (s *Store) recordEntryHeartbeat(stored *storedEntry) {
	s.lastSeq++
	stored.heartbeatSeq = s.lastSeq
	stored.inHeartbeats = moveLast(s.updates.entryHeartbeats, stored.inHeartbeats, stored)
}

// recordEntryChange gives the record a new sequence number and wakes those who wait for a
// change. The caller holds s.mu.
func (s *Store) recordEntryChange(stored *storedEntry) {
	s.recordEntryHeartbeat(stored)
	stored.changeSeq, s.lastEntryChange = s.lastSeq, s.lastSeq
	stored.inChanges = moveLast(s.updates.entryChanges, stored.inChanges, stored)
	s.notify()
}

// Changes holds the records that changed after a sequence number. Seq is the number to pass
// to the next call of Since.
type Changes struct {
	Seq     uint64
	Servers []Server
	Entries []Entry
}

// Since returns the records that changed after seq, sorted by id and name. Heartbeats without
// a change are left out; see HeartbeatsSince.
func (s *Store) Since(seq uint64, now time.Time) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Changes{Seq: s.lastSeq}
	for e := s.updates.serverChanges.Back(); e != nil && e.Value.(*storedServer).changeSeq > seq; e = e.Prev() {
		out.Servers = append(out.Servers, e.Value.(*storedServer).record(now))
	}
	for e := s.updates.entryChanges.Back(); e != nil && e.Value.(*storedEntry).changeSeq > seq; e = e.Prev() {
		out.Entries = append(out.Entries, e.Value.(*storedEntry).record(now))
	}
	slices.SortFunc(out.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record returns the record with the present age of its last heartbeat.
func (r *storedServer) record(now time.Time) Server {
	rec := r.Server
	rec.HeartbeatAge = now.Sub(r.lastHeartbeat)
	return rec
}

func (r *storedEntry) record(now time.Time) Entry {
	rec := r.Entry
	rec.HeartbeatAge = now.Sub(r.lastHeartbeat)
	return rec
}

// Change says which records have changed, heartbeats without a change aside.
type Change struct {
	Servers bool
	Entries bool
	Urgent  bool // a server has left, is leaving or is unreachable
}

// ChangedSince reports what has changed after seq. changed is closed at the next change,
// urgentlyChanged at the next urgent one.
func (s *Store) ChangedSince(seq uint64) (c Change, changed, urgentlyChanged <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Change{
		Servers: s.lastServerChange > seq, Entries: s.lastEntryChange > seq, Urgent: s.lastUrgentChange > seq,
	}, s.changed, s.urgentlyChanged
}

// LastEntryChange returns the number of the last change of an entry's record.
func (s *Store) LastEntryChange() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEntryChange
}
