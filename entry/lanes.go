package entry

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/serverlimit"
)

// lanes holds the lane of each pool of backend servers.
type lanes struct {
	location entryLocation
	limits   *serverlimit.Limits
	log      *slog.Logger
	now      func() time.Time

	mu         sync.RWMutex
	byKey      map[laneKey]*lane
	entryCount int // number of entries that share the servers
	entryIndex int // position of this entry among them, from 0
	// servers holds the last known state of each server. A lane that is created later, when
	// a catalogue change adds a service, starts with it.
	servers  map[string]*serverState
	notices  map[string]notice // by server
	stopped  map[string]bool   // servers that a planned stop covers
	sequence uint64            // of the announcements passed to the lanes
}

// serverState is a server's state from the membership. loadAt is when its load was
// measured, by this entry's clock.
type serverState struct {
	server *instance.Server
	loadAt time.Time
}

func newLanes(location entryLocation, limits *serverlimit.Limits, log *slog.Logger, now func() time.Time) *lanes {
	return &lanes{
		location: location, limits: limits, log: log, now: now, entryCount: 1,
		byKey: map[laneKey]*lane{}, servers: map[string]*serverState{}, notices: map[string]notice{}, stopped: map[string]bool{},
	}
}

// get returns the lane of a pool and creates it at the first call.
func (ls *lanes) get(key laneKey) (*lane, error) {
	ls.mu.RLock()
	l, known := ls.byKey[key]
	ls.mu.RUnlock()
	if known {
		return l, nil
	}
	return ls.create(key)
}

// create returns the lane of a pool, which it creates unless another goroutine has.
func (ls *lanes) create(key laneKey) (*lane, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, known := ls.byKey[key]; known {
		return l, nil
	}
	l, err := newLane(key, ls.location, ls.limits, ls.log, ls.now)
	if err != nil {
		return nil, err
	}
	l.setEntries(ls.entryCount, ls.entryIndex) // does not block on the lane's lock, since the lane is not shared yet
	ls.applyNotices(l)
	for _, h := range ls.servers {
		if slices.Contains(laneKeysOf(h.server), key) {
			l.announce(ls.announcement(h), h.loadAt)
		}
	}
	ls.byKey[key] = l
	return l, nil
}

// laneKeysOf returns the keys of the pools that a server belongs to.
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

// announcement returns the announcement of a server for the routers. Its sequence number is
// this entry's own, since the membership has ordered the server's announcements already. A
// server that a planned stop covers, or that has said in an answer that it leaves, counts as
// leaving. The lock is held.
func (ls *lanes) announcement(h *serverState) *instance.Announcement {
	a := h.server.Announcement
	ls.sequence++
	a.Sequence = ls.sequence
	stops := ls.stopped[a.ID] || ls.notices[a.ID].leaves(a.Incarnation)
	if stops && a.State == instance.StateServing {
		a.State = instance.StateLeaving
	}
	return &a
}

// sync updates the lanes to the servers in the membership's view. The view replaces a
// server's value at each change, so the same pointer means no change.
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

// update applies the state of one server to its lanes, unless it is unchanged.
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

// removeFromOldLanes removes a server from the lanes that it no longer belongs to, for
// example after it has loaded another model.
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

// remove removes a server that is gone.
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

// existing returns those lanes of the keys that have been created.
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

// all returns all lanes.
func (ls *lanes) all() []*lane {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	out := make([]*lane, 0, len(ls.byKey))
	for _, l := range ls.byKey {
		out = append(out, l)
	}
	return out
}

// setEntries sets, for every lane, the number of entries that share the backend servers and
// the position of this one among them.
func (ls *lanes) setEntries(count, index int) {
	ls.mu.Lock()
	ls.entryCount, ls.entryIndex = count, index
	ls.mu.Unlock()
	for _, l := range ls.all() {
		l.setEntries(count, index)
	}
}

// applyPlannedStops applies the planned stops to every server. covers reports whether one
// in force covers the server. A server whose stop was cancelled gets work again, unless it
// has announced itself that it leaves.
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

// applyPlannedStop stops or resumes the work to one server.
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

// tick refuses expired requests and dispatches waiting ones in every lane.
func (ls *lanes) tick() {
	for _, l := range ls.all() {
		l.tick()
	}
}
