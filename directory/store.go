package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Config sets when records count as old.
type Config struct {
	// OverdueAfter is the time without a heartbeat after which a server counts as
	// unheard; 0 at a process that hears no server itself.
	OverdueAfter time.Duration
	// EntryExpiry is the time without a sign of life after which an entry is
	// no longer named to callers.
	EntryExpiry time.Duration
	// AddressHold is how long after a server's last heartbeat no other one can have
	// its address.
	AddressHold time.Duration
	// ForgetAfter is the time after which a server's record is dropped that does not
	// serve or is silent, and an entry's that gave no sign of life. It must outlast
	// every heartbeat that is still on its way.
	ForgetAfter time.Duration
}

// DefaultForgetAfter is far above the seconds by which a heartbeat may be late.
const DefaultForgetAfter = 2 * time.Minute

// Store is a set of records. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu       sync.Mutex
	lastSeq  uint64 // of the newest change
	servers  map[string]*storedServer
	byAddr   map[string]string // address -> id of the server that has it
	entries  map[string]*storedEntry
	replicas map[string]*replicaState // by link address; none at a replica
	changed  chan struct{}            // closed at the next change
}

type storedServer struct {
	Server
	lastHeartbeat time.Time
	changeSeq     uint64            // of the change that made the record what it is
	heartbeatSeq  uint64            // of the newest heartbeat
	reports       map[string]report // what each replica said last; none at a replica
}

type storedEntry struct {
	Entry
	lastHeartbeat time.Time
	changeSeq     uint64
	heartbeatSeq  uint64
}

// NewStore returns an empty store.
func NewStore(cfg Config) *Store {
	return &Store{
		cfg:      cfg,
		servers:  make(map[string]*storedServer),
		byAddr:   make(map[string]string),
		entries:  make(map[string]*storedEntry),
		replicas: make(map[string]*replicaState),
		changed:  make(chan struct{}),
	}
}

// Announce takes a heartbeat that this process has received and reports whether
// it changed what is known beyond the time of the last one.
func (s *Store) Announce(a instance.Announcement, now time.Time) bool {
	return s.mergeServer(Origin{}, Server{Announcement: a}, now)
}

// Leave notes that a server has said that it is gone. incarnation 0 stands for
// every incarnation up to now, for a server that doesn't say which one it is.
func (s *Store) Leave(id string, incarnation uint64, now time.Time) bool {
	s.mu.Lock()
	if incarnation == 0 {
		incarnation = uint64(now.UnixMilli())
	}
	rec := Server{Announcement: instance.Announcement{ID: id, Incarnation: incarnation}}
	if stored, known := s.servers[id]; known && stored.Incarnation <= incarnation {
		rec.Announcement = stored.Announcement
	}
	rec.State = instance.StateGone
	s.mu.Unlock()
	return s.mergeServer(Origin{}, rec, now)
}

// Merge takes records that a replica passed on, maybe none. It reports whether that
// changed what is known.
func (s *Store) Merge(from Origin, servers []Server, entries []Entry, now time.Time) bool {
	changed := s.recordReplica(from)
	for i := range servers {
		changed = s.mergeServer(from, servers[i], now) || changed
	}
	for i := range entries {
		changed = s.MergeEntry(entries[i], now) || changed
	}
	return changed
}

func (s *Store) mergeServer(from Origin, rec Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastHeartbeat := now.Add(-rec.HeartbeatAge)
	stored, known := s.servers[rec.ID]
	if known && !rec.version().newerThan(stored.version()) {
		return s.refreshServer(from, stored, rec, now)
	}
	received := report{rec.Overdue, rec.Unreachable}
	rec.Overdue, rec.Unreachable = false, false
	if !s.claimAddress(&rec, now) {
		return false
	}
	next := &storedServer{Server: rec, lastHeartbeat: lastHeartbeat}
	if known {
		next.changeSeq, next.heartbeatSeq, next.reports = stored.changeSeq, stored.heartbeatSeq, stored.reports
		if lastHeartbeat.Before(stored.lastHeartbeat) {
			next.lastHeartbeat = stored.lastHeartbeat
		}
	}
	s.servers[rec.ID] = next
	s.updateReachability(from, next, received, now)
	if known && sameServer(&stored.Server, &next.Server) {
		s.recordHeartbeat(next)
		return false
	}
	s.recordChange(next)
	return true
}

// settle sets the silence of a record that has just come.
func (s *Store) updateReachability(from Origin, stored *storedServer, received report, now time.Time) bool {
	if s.observesHeartbeats() {
		return s.updateOverdue(stored, now, received.unreachable)
	}
	if from.Replica != "" {
		if stored.reports == nil {
			stored.reports = make(map[string]report)
		}
		stored.reports[from.Replica] = received
	}
	return s.applyReports(stored)
}

// refresh takes what an equal or older record of the same start says besides: when the
// server was heard, and the replica's word on its silence.
func (s *Store) refreshServer(from Origin, stored *storedServer, rec Server, now time.Time) bool {
	if rec.Incarnation != stored.Incarnation || rec.State != stored.State {
		return false
	}
	if lastHeartbeat := now.Add(-rec.HeartbeatAge); rec.version() == stored.version() && lastHeartbeat.After(stored.lastHeartbeat) {
		stored.lastHeartbeat = lastHeartbeat
		s.recordHeartbeat(stored)
	}
	return s.updateReachability(from, stored, report{rec.Overdue, rec.Unreachable}, now)
}

// claimAddress settles which of two servers has an address, and reports whether
// the record is to be taken at all. Addresses of lost servers are used again; a
// heartbeat of the old server that was held up on its way would otherwise send
// its requests to the new one.
//
// The later start counts. Where neither says when it started, the server that has
// been heard just now still has its address, and the record is one that was held
// up; a real successor comes again with its next heartbeat.
func (s *Store) claimAddress(rec *Server, now time.Time) bool {
	if rec.State == instance.StateGone || rec.Address == "" {
		return true
	}
	other, taken := s.servers[s.byAddr[rec.Address]]
	if taken && other.ID != rec.ID && other.State != instance.StateGone && other.Address == rec.Address {
		switch {
		case other.Incarnation > rec.Incarnation:
			rec.State = instance.StateGone
			return true
		case other.Incarnation == rec.Incarnation && now.Sub(other.lastHeartbeat) < s.cfg.AddressHold:
			return false
		}
		other.State = instance.StateGone
		s.recordChange(other)
	}
	s.byAddr[rec.Address] = rec.ID
	return true
}

// sameServer reports whether two announcements differ only in their number and
// in what is measured anew each time.
func sameServer(a, b *Server) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address && a.Zone == b.Zone &&
		a.Overdue == b.Overdue && a.Unreachable == b.Unreachable && a.Slots == b.Slots && a.Class == b.Class && a.Version == b.Version &&
		a.LeavingIn == b.LeavingIn && slices.Equal(a.Services, b.Services)
}

func (s *Store) recordChange(stored *storedServer) {
	s.lastSeq++
	stored.changeSeq, stored.heartbeatSeq = s.lastSeq, s.lastSeq
	s.notify()
}

// touchServer notes a heartbeat without news. It wakes nobody: entries need no
// message for it, and replicas take it along with the next one.
func (s *Store) recordHeartbeat(stored *storedServer) {
	s.lastSeq++
	stored.heartbeatSeq = s.lastSeq
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// MergeEntry takes a record of an entry, its own or passed on.
func (s *Store) MergeEntry(rec Entry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastHeartbeat := now.Add(-rec.HeartbeatAge)
	stored, known := s.entries[rec.Name]
	if known && !rec.version().newerThan(stored.version()) {
		if rec.version() == stored.version() && lastHeartbeat.After(stored.lastHeartbeat) {
			stored.lastHeartbeat = lastHeartbeat
			s.lastSeq++
			stored.heartbeatSeq = s.lastSeq
		}
		return false
	}
	s.lastSeq++
	s.entries[rec.Name] = &storedEntry{Entry: rec, lastHeartbeat: lastHeartbeat, changeSeq: s.lastSeq, heartbeatSeq: s.lastSeq}
	s.notify()
	return true
}

// Changes are records that changed after a point.
type Changes struct {
	Seq     uint64
	Servers []Server
	Entries []Entry
}

// Since returns what changed after seq, and with touches also what was heard
// again since, ordered by name.
func (s *Store) Since(seq uint64, withHeartbeats bool, now time.Time) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Changes{Seq: s.lastSeq}
	for _, stored := range s.servers {
		if stored.changeSeq > seq || withHeartbeats && stored.heartbeatSeq > seq {
			rec := stored.Server
			rec.HeartbeatAge = now.Sub(stored.lastHeartbeat)
			out.Servers = append(out.Servers, rec)
		}
	}
	for _, stored := range s.entries {
		if stored.changeSeq > seq || withHeartbeats && stored.heartbeatSeq > seq {
			rec := stored.Entry
			rec.HeartbeatAge = now.Sub(stored.lastHeartbeat)
			out.Entries = append(out.Entries, rec)
		}
	}
	slices.SortFunc(out.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ChangedSince reports whether anything changed after seq. changed is closed at the next
// change.
func (s *Store) ChangedSince(seq uint64) (hasChanged bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestChange() > seq, s.changed
}

// newest is the number of the newest change, heartbeats without news left out.
func (s *Store) latestChange() uint64 {
	var n uint64
	for _, stored := range s.servers {
		n = max(n, stored.changeSeq)
	}
	for _, stored := range s.entries {
		n = max(n, stored.changeSeq)
	}
	return n
}

// Sweep marks servers that fell silent, if this process hears them itself, and drops
// what is long gone. confirmed says that this replica is in touch with most others:
// one that is cut off hears nothing of servers that are well.
func (s *Store) Sweep(now time.Time, confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stored := range s.servers {
		age := now.Sub(stored.lastHeartbeat)
		healthy := stored.State == instance.StateServing && !stored.Unreachable
		if age > s.cfg.ForgetAfter && !healthy {
			delete(s.servers, id)
			if s.byAddr[stored.Address] == id {
				delete(s.byAddr, stored.Address)
			}
			continue
		}
		if s.observesHeartbeats() {
			s.updateOverdue(stored, now, confirmed)
		}
	}
	for name, stored := range s.entries {
		if now.Sub(stored.lastHeartbeat) > s.cfg.ForgetAfter {
			delete(s.entries, name)
		}
	}
}

// Servers returns the servers that are not gone, ordered by id.
func (s *Store) Servers(now time.Time) []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Server, 0, len(s.servers))
	for _, stored := range s.servers {
		if stored.State == instance.StateGone {
			continue
		}
		rec := stored.Server
		rec.HeartbeatAge = now.Sub(stored.lastHeartbeat)
		out = append(out, rec)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Refresh notes that another process hears these entries, and returns what is known of
// them. A process that is told only of changes would drop them otherwise.
func (s *Store) Refresh(names []string, now time.Time) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(names))
	for _, name := range names {
		stored := s.entries[name]
		if stored == nil {
			continue
		}
		stored.lastHeartbeat = now
		if stored.State == instance.StateServing {
			out = append(out, stored.Entry)
		}
	}
	return out
}

// Entries returns all entries that are known, ordered by name. Those that were not heard of
// late may be gone.
func (s *Store) Entries(now time.Time) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(s.entries))
	for _, stored := range s.entries {
		rec := stored.Entry
		rec.HeartbeatAge = now.Sub(stored.lastHeartbeat)
		out = append(out, rec)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// LiveEntries returns the entries that serve and have been heard within
// EntryExpiry, ordered by name.
func (s *Store) LiveEntries(now time.Time) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(s.entries))
	for _, stored := range s.entries {
		if stored.State == instance.StateServing && now.Sub(stored.lastHeartbeat) <= s.cfg.EntryExpiry {
			out = append(out, stored.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}
