package entry

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
)

// lanes holds the lane of each pool of backend servers.
type lanes struct {
	location entryLocation
	log      *slog.Logger
	now      func() time.Time

	mu         sync.RWMutex
	byKey      map[laneKey]*lane
	entryCount int // how many entries share the servers
	entryIndex int // this entry's number among them, from 0
	// servers holds what was last taken from the membership, so that a lane made
	// later, when a catalogue change names a new service, begins with them.
	servers  map[string]*serverState
	stopped  map[string]bool // servers that a planned stop covers
	sequence uint64          // of the announcements given to routers
}

// serverState is a server as taken from the membership, and when, on this entry's
// clock, its load held.
type serverState struct {
	server *instance.Server
	loadAt time.Time
}

func newLanes(location entryLocation, log *slog.Logger, now func() time.Time) *lanes {
	return &lanes{
		location: location, log: log, now: now, entryCount: 1,
		byKey: map[laneKey]*lane{}, servers: map[string]*serverState{}, stopped: map[string]bool{},
	}
}

// get returns the lane get a pool, made at its first use.
func (ls *lanes) get(key laneKey) (*lane, error) {
	ls.mu.RLock()
	l, known := ls.byKey[key]
	ls.mu.RUnlock()
	if known {
		return l, nil
	}
	return ls.create(key)
}

func (ls *lanes) create(key laneKey) (*lane, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, known := ls.byKey[key]; known {
		return l, nil
	}
	l, err := newLane(key, ls.location, ls.log, ls.now)
	if err != nil {
		return nil, err
	}
	l.setEntries(ls.entryCount, ls.entryIndex) // nobody else knows the new lane yet, so its lock is free
	for _, h := range ls.servers {
		if slices.Contains(laneKeysOf(h.server), key) {
			l.announce(ls.announcement(h), h.loadAt)
		}
	}
	ls.byKey[key] = l
	return l, nil
}

// laneKeysOf lists the pools that a server belongs to.
func laneKeysOf(a *instance.Server) []laneKey {
	var out []laneKey
	if a.Model != "" {
		out = append(out, laneKey{kind: contract.KindModel, name: a.Model})
	}
	for _, s := range a.Services {
		out = append(out, laneKey{kind: contract.KindPlain, name: s})
	}
	return out
}

// announcement is what a router is told of a server: what the membership has,
// under a sequence of this entry's own, because the membership has put what it
// heard in order already. A server that a planned stop covers counts as leaving
// whatever it says of itself. The lock is held.
func (ls *lanes) announcement(h *serverState) *instance.Announcement {
	a := h.server.Announcement
	ls.sequence++
	a.Sequence = ls.sequence
	if ls.stopped[a.ID] && a.State == instance.StateServing {
		a.State = instance.StateLeaving
	}
	return &a
}

// sync takes in the servers that serve or leave, from the membership's view. A
// server's value there is replaced at each change, so the same pointer is the
// same news.
func (ls *lanes) sync(servers []*instance.Server) {
	now := ls.now()
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
		ls.update(s, now)
	}
	ls.mu.RLock()
	var missing []string
	for id := range ls.servers {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	ls.mu.RUnlock()
	for _, id := range missing {
		ls.remove(id)
	}
}

func (ls *lanes) update(s *instance.Server, now time.Time) {
	ls.mu.Lock()
	old := ls.servers[s.ID]
	if old != nil && old.server == s {
		ls.mu.Unlock()
		return
	}
	h := &serverState{server: s, loadAt: loadMeasuredAt(&s.Announcement, now)}
	ls.servers[s.ID] = h
	a := ls.announcement(h)
	ls.mu.Unlock()
	keys := laneKeysOf(s)
	for _, l := range ls.existing(keys) {
		l.announce(a, h.loadAt)
	}
	if old != nil {
		ls.removeFromOldLanes(old.server, keys)
	}
}

// removeFromOldLanes takes a server out of the lanes that it no longer belongs to, as
// after it loaded another model.
func (ls *lanes) removeFromOldLanes(old *instance.Server, keys []laneKey) {
	for _, key := range laneKeysOf(old) {
		if slices.Contains(keys, key) {
			continue
		}
		for _, l := range ls.existing([]laneKey{key}) {
			l.remove(old.ID)
		}
	}
}

// remove forgets a server that is gone.
func (ls *lanes) remove(id string) {
	ls.mu.Lock()
	h, known := ls.servers[id]
	delete(ls.servers, id)
	ls.mu.Unlock()
	if !known {
		return
	}
	for _, l := range ls.existing(laneKeysOf(h.server)) {
		l.remove(id)
	}
}

// existing returns the lanes of these keys that exist.
func (ls *lanes) existing(keys []laneKey) []*lane {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	var out []*lane
	for _, k := range keys {
		if l, known := ls.byKey[k]; known {
			out = append(out, l)
		}
	}
	return out
}

func (ls *lanes) all() []*lane {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	out := make([]*lane, 0, len(ls.byKey))
	for _, l := range ls.byKey {
		out = append(out, l)
	}
	return out
}

// setEntries tells every lane how many entries share the backend servers, and
// which of them this one is.
func (ls *lanes) setEntries(count, index int) {
	ls.mu.Lock()
	ls.entryCount, ls.entryIndex = count, index
	ls.mu.Unlock()
	for _, l := range ls.all() {
		l.setEntries(count, index)
	}
}

// applyPlannedStops applies the planned stops in force to every server. A server whose stop
// was cancelled takes work again; one that leaves by its own word does not.
func (ls *lanes) applyPlannedStops(covers func(id, zone string) bool) {
	ls.mu.Lock()
	var changed []*serverState
	for id, h := range ls.servers {
		stop := covers(id, h.server.Zone)
		if stop == ls.stopped[id] {
			continue
		}
		ls.stopped[id] = stop
		changed = append(changed, h)
	}
	ls.mu.Unlock()
	for _, h := range changed {
		ls.applyPlannedStop(h)
	}
}

func (ls *lanes) applyPlannedStop(h *serverState) {
	ls.mu.Lock()
	stop := ls.stopped[h.server.ID]
	a := ls.announcement(h)
	ls.mu.Unlock()
	for _, l := range ls.existing(laneKeysOf(h.server)) {
		if stop {
			l.markLeaving(a.ID, a.Incarnation)
			continue
		}
		l.restore(a, h.loadAt)
	}
}

// tick looks after deadlines and room in every lane.
func (ls *lanes) tick() {
	for _, l := range ls.all() {
		l.tick()
	}
}
