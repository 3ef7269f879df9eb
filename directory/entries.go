package directory

import (
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// MergeEntry records an entry's own record of itself. It reports whether anything but the
// time of the last heartbeat changed.
func (s *Store) MergeEntry(rec Entry, now time.Time) bool {
	return s.mergeEntry(Origin{}, rec, now)
}

// mergeEntry merges one record of an entry and reports whether anything but the time of the
// last heartbeat changed.
func (s *Store) mergeEntry(from Origin, rec Entry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastHeartbeat := now.Add(-rec.HeartbeatAge)
	stored, known := s.entries[rec.Name]
	if known && !rec.version().newerThan(stored.version()) {
		if rec.version() == stored.version() && lastHeartbeat.After(stored.lastHeartbeat) {
			stored.lastHeartbeat, stored.heardFrom = lastHeartbeat, from.Replica
			s.recordEntryHeartbeat(stored)
		}
		return false
	}
	if !known {
		stored = &storedEntry{}
		s.entries[rec.Name] = stored
	}
	delete(s.entriesByKey, stored.key)
	stored.key = keyOf(rec.Name, rec.Incarnation)
	s.entriesByKey[stored.key] = stored
	stored.Entry, stored.lastHeartbeat, stored.heardFrom = rec, lastHeartbeat, from.Replica
	s.recordEntryChange(stored)
	return true
}

// Refresh records a heartbeat of each named entry at now, because another process reports it
// live, and returns the records of those that are serving. Without it, a process that
// receives only changes would drop entries that do not change.
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

// Entries returns the records of all entries, sorted by name, including entries that are
// leaving or whose heartbeats have stopped.
func (s *Store) Entries(now time.Time) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(s.entries))
	for _, stored := range s.entries {
		out = append(out, stored.record(now))
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Entry returns the record of an entry.
func (s *Store) Entry(name string, now time.Time) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.entries[name]
	if stored == nil {
		return Entry{}, false
	}
	return stored.record(now), true
}

// LiveEntries returns the entries that are serving and whose last heartbeat is no older than
// Config.EntryExpiry, sorted by name.
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
