package directory

import (
	"container/list"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/origin"
)

// Config holds the ages at which records become overdue, expire or are dropped.
type Config struct {
	// OverdueAfter is the time without a heartbeat after which a server is overdue; 0 at a
	// process that receives no heartbeats itself.
	OverdueAfter time.Duration
	// EntryExpiry is the time without a heartbeat after which an entry is no longer live, so
	// that callers are no longer referred to it.
	EntryExpiry time.Duration
	// AddressHold is the time after a server's last heartbeat during which another server
	// cannot claim its address unless it has a later incarnation.
	AddressHold time.Duration
	// ForgetAfter is the time without a heartbeat after which Sweep drops the record of an
	// entry, or of a server that is unreachable or not serving. It must exceed the longest
	// delay of a heartbeat, or a delayed one would add the record again.
	ForgetAfter time.Duration
}

// DefaultForgetAfter far exceeds the longest delay of a heartbeat.
const DefaultForgetAfter = 2 * time.Minute

// Store stores the records of servers and entries. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu               sync.Mutex
	lastSeq          uint64 // of the newest change or heartbeat
	lastServerChange uint64
	lastEntryChange  uint64
	lastUrgentChange uint64 // of a server that is not serving or unreachable
	servers          map[string]*storedServer
	byAddr           map[string]string // address -> id of the server that has it
	entries          map[string]*storedEntry

	serversByKey map[Key]*storedServer
	entriesByKey map[Key]*storedEntry

	updates  updateLists
	replicas map[string]*replicaState // by link address; empty at a replica
	// replicasByIndex holds the same in the order of their first reports.
	replicasByIndex []*replicaState
	changed         chan struct{} // closed at the next change

	urgentlyChanged chan struct{} // closed at the next urgent change

	allStatuses   Statuses // last result of StatusesSince(0)
	allStatusesAt uint64   // lastServerChange when it was made
}

type storedServer struct {
	Server
	key           Key
	lastHeartbeat time.Time
	heardFrom     string    // replica that forwarded the last heartbeat; empty: received by this process
	changeSeq     uint64    // of the last change of the record
	recordSeq     uint64    // of the last change but of Overdue and Unreachable
	heartbeatSeq  uint64    // of the last change or heartbeat
	knownSince    time.Time // when this incarnation became known here
	reports       []report  // last report of each replica, by its index; those beyond the end are 0

	packed    []byte // encoded record
	packedSeq uint64 // changeSeq when it was encoded

	inChanges, inHeartbeats *list.Element // position in Store.updates
}

type storedEntry struct {
	Entry
	key           Key
	lastHeartbeat time.Time
	heardFrom     string
	changeSeq     uint64
	heartbeatSeq  uint64

	inChanges, inHeartbeats *list.Element
}

// NewStore returns an empty store.
func NewStore(cfg Config) *Store {
	return &Store{
		cfg:     cfg,
		servers: make(map[string]*storedServer),
		byAddr:  make(map[string]string),
		entries: make(map[string]*storedEntry),
		updates: newUpdateLists(),

		serversByKey: make(map[Key]*storedServer),
		entriesByKey: make(map[Key]*storedEntry),

		replicas: make(map[string]*replicaState),
		changed:  make(chan struct{}),

		urgentlyChanged: make(chan struct{}),
	}
}

// Announce records a heartbeat that this process has received from a server. It reports
// whether anything but the time of the last heartbeat changed.
func (s *Store) Announce(a instance.Announcement, now time.Time) bool {
	return s.mergeServer(Origin{}, Server{Announcement: a}, now)
}

// Merge records what a replica has sent, and that the replica is reachable; both slices may
// be empty. It reports whether anything but heartbeat times changed.
func (s *Store) Merge(from Origin, servers []Server, entries []Entry, now time.Time) bool {
	changed := s.recordReplica(from)
	for i := range servers {
		changed = s.mergeServer(from, servers[i], now) || changed
	}
	for i := range entries {
		changed = s.mergeEntry(from, entries[i], now) || changed
	}
	return changed
}

// mergeServer merges one record of a server and reports whether anything but the time of the
// last heartbeat changed.
func (s *Store) mergeServer(from Origin, rec Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeLocked(from, rec, now)
}

// mergeLocked is mergeServer. The caller holds s.mu.
func (s *Store) mergeLocked(from Origin, rec Server, now time.Time) bool {
	lastHeartbeat := now.Add(-rec.HeartbeatAge)
	stored, known := s.servers[rec.ID]
	if known && s.applyUnstatedLeave(stored, &rec, now) {
		return true
	}
	if known && !rec.version().newerThan(stored.version()) {
		return s.refreshServer(from, stored, rec, now)
	}
	received := newReport(rec.Overdue, rec.Unreachable)
	rec.Overdue, rec.Unreachable = false, false
	if !s.claimAddress(&rec, now) {
		return false
	}
	if !known {
		stored = &storedServer{}
		s.servers[rec.ID] = stored
	}
	previous := stored.Server
	if !known || previous.Incarnation != rec.Incarnation {
		stored.knownSince = now
		clear(stored.reports) // they concern an earlier start
	}
	rec.StateFrom, rec.StateAt = from.Replica, now
	if known && previous.Incarnation == rec.Incarnation && previous.State == rec.State {
		rec.StateFrom, rec.StateAt = previous.StateFrom, previous.StateAt
	}
	stored.Server, stored.heardFrom = rec, from.Replica
	s.indexServer(stored)
	if lastHeartbeat.After(stored.lastHeartbeat) {
		stored.lastHeartbeat = lastHeartbeat
	}
	s.updateReachability(from, stored, received, now)
	if known && sameServer(&previous, &stored.Server) {
		s.recordHeartbeat(stored)
		return false
	}
	s.recordChange(stored)
	previous.Overdue, previous.Unreachable = stored.Overdue, stored.Unreachable
	if !known || !sameServer(&previous, &stored.Server) {
		stored.recordSeq = stored.changeSeq
	}
	s.applyPending(stored)
	return true
}

// indexServer updates the key of a server after a change of its incarnation. The caller holds
// s.mu.
func (s *Store) indexServer(stored *storedServer) {
	if s.serversByKey[stored.key] == stored {
		delete(s.serversByKey, stored.key)
	}
	stored.key = keyOf(stored.ID, stored.Incarnation)
	s.serversByKey[stored.key] = stored
}

// updateReachability sets Overdue and Unreachable of a record that has just been received,
// and reports whether either changed. The caller holds s.mu.
func (s *Store) updateReachability(from Origin, stored *storedServer, received report, now time.Time) bool {
	if s.observesHeartbeats() {
		return s.updateOverdue(stored, now, received&reportUnreachable != 0)
	}
	if from.Replica != "" {
		s.recordReport(s.replicas[from.Replica], stored, received)
	}
	return s.applyReports(stored)
}

// refreshServer merges a record that is no newer than the stored one. If incarnation and
// state are the same, it still applies the time of the heartbeat and the replica's report. It
// reports whether Overdue or Unreachable changed. The caller holds s.mu.
func (s *Store) refreshServer(from Origin, stored *storedServer, rec Server, now time.Time) bool {
	if rec.Incarnation != stored.Incarnation || rec.State != stored.State {
		return false
	}
	if lastHeartbeat := now.Add(-rec.HeartbeatAge); rec.version() == stored.version() && lastHeartbeat.After(stored.lastHeartbeat) {
		stored.lastHeartbeat, stored.heardFrom = lastHeartbeat, from.Replica
		s.recordHeartbeat(stored)
	}
	return s.updateReachability(from, stored, newReport(rec.Overdue, rec.Unreachable), now)
}

// claimAddress decides which of two servers has an address, and reports whether rec should be
// stored. Addresses of ended servers are reused: without this check a delayed heartbeat of the
// previous server would direct its requests to the new one.
//
// The later incarnation wins. If the incarnations are equal, as for servers that send none, a
// server keeps its address for AddressHold after its last heartbeat, and rec is taken to be a
// delayed heartbeat. A real successor claims the address with a later heartbeat. A server that
// leaves needs no address, and its leave must not be lost with the claim. The caller holds s.mu.
func (s *Store) claimAddress(rec *Server, now time.Time) bool {
	if rec.State != instance.StateServing || rec.Address == "" {
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
		other.State, other.StateAt = instance.StateGone, now
		s.recordChange(other)
		other.recordSeq = other.changeSeq
	}
	s.byAddr[rec.Address] = rec.ID
	return true
}

// sameServer reports whether two records differ at most in sequence number and in fields that
// are measured for each heartbeat.
func sameServer(a, b *Server) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address && a.Zone == b.Zone &&
		a.Overdue == b.Overdue && a.Unreachable == b.Unreachable && a.Slots == b.Slots && a.Class == b.Class && a.Version == b.Version &&
		a.LeavingIn == b.LeavingIn && slices.Equal(a.Services, b.Services)
}

// Lookup returns the record of a server; known is false if there is none.
func (s *Store) Lookup(id string, now time.Time) (rec Server, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, known := s.servers[id]
	if !known {
		return rec, false
	}
	return stored.record(now), true
}

// Sweep drops records without a heartbeat for Config.ForgetAfter, except those of healthy
// servers. If this process receives heartbeats itself, it also marks overdue servers.
// confirmed means that this replica is in contact with most others: only then does it judge
// overdue servers unreachable, since an isolated replica receives no heartbeats of healthy
// servers.
func (s *Store) Sweep(now time.Time, confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range s.servers {
		age := now.Sub(stored.lastHeartbeat)
		healthy := stored.State == instance.StateServing && !stored.Unreachable
		if age > s.cfg.ForgetAfter && !healthy {
			s.dropServer(stored)
			continue
		}
		if s.observesHeartbeats() {
			s.updateOverdue(stored, now, confirmed)
		}
	}
	for name, stored := range s.entries {
		if now.Sub(stored.lastHeartbeat) > s.cfg.ForgetAfter {
			delete(s.entries, name)
			delete(s.entriesByKey, stored.key)
			s.updates.entryChanges.Remove(stored.inChanges)
			s.updates.entryHeartbeats.Remove(stored.inHeartbeats)
		}
	}
}

// dropServer removes the record of a server. The caller holds s.mu.
func (s *Store) dropServer(stored *storedServer) {
	delete(s.servers, stored.ID)
	if s.byAddr[stored.Address] == stored.ID {
		delete(s.byAddr, stored.Address)
	}
	if s.serversByKey[stored.key] == stored {
		delete(s.serversByKey, stored.key)
	}
	s.allStatuses = nil
	s.updates.serverChanges.Remove(stored.inChanges)
	s.updates.serverHeartbeats.Remove(stored.inHeartbeats)
}

// Servers returns the servers that are not gone, sorted by id.
func (s *Store) Servers(now time.Time) []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make([]*storedServer, 0, len(s.servers))
	for _, stored := range s.servers {
		if stored.State != instance.StateGone {
			present = append(present, stored)
		}
	}
	slices.SortFunc(present, func(a, b *storedServer) int { return strings.Compare(a.ID, b.ID) })
	out := make([]Server, len(present))
	for i, stored := range present {
		out[i] = stored.record(now)
	}
	return out
}

// EachServer calls fn for every server that is not gone, in any order. fn must not keep the
// record or call the store.
func (s *Store) EachServer(now time.Time, fn func(rec *Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range s.servers {
		if stored.State == instance.StateGone {
			continue
		}
		rec := stored.Server
		rec.HeartbeatAge = now.Sub(stored.lastHeartbeat)
		fn(&rec)
	}
}

// ServiceVersions returns the versions of each service of which a server is known that is not gone.
func (s *Store) ServiceVersions() []origin.ServiceVersion {
	known := make(map[origin.ServiceVersion]bool)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stored := range s.servers {
		if stored.State == instance.StateGone {
			continue
		}
		for _, service := range stored.Services {
			known[origin.ServiceVersion{Service: service, Version: stored.Version}] = true
		}
	}
	return slices.Collect(maps.Keys(known))
}
