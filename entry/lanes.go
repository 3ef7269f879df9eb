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
	self laneSelf
	log  *slog.Logger
	now  func() time.Time

	mu      sync.RWMutex
	byKey   map[laneKey]*lane
	entries int // how many entries share the servers
	number  int // this entry's number among them, from 0
	// servers holds what was last taken from the membership, so that a lane made
	// later, when a catalogue change names a new service, begins with them.
	servers  map[string]*heard
	stopped  map[string]bool // servers that a planned stop covers
	sequence uint64          // of the announcements given to routers
}

// heard is a server as taken from the membership, and when, on this entry's
// clock, its load held.
type heard struct {
	server *instance.Server
	loadAt time.Time
}

func newLanes(self laneSelf, log *slog.Logger, now func() time.Time) *lanes {
	return &lanes{
		self: self, log: log, now: now, entries: 1,
		byKey: map[laneKey]*lane{}, servers: map[string]*heard{}, stopped: map[string]bool{},
	}
}

// of returns the lane of a pool, made at its first use.
func (ls *lanes) of(key laneKey) (*lane, error) {
	ls.mu.RLock()
	l, known := ls.byKey[key]
	ls.mu.RUnlock()
	if known {
		return l, nil
	}
	return ls.make(key)
}

func (ls *lanes) make(key laneKey) (*lane, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, known := ls.byKey[key]; known {
		return l, nil
	}
	l, err := newLane(key, ls.self, ls.log, ls.now)
	if err != nil {
		return nil, err
	}
	l.setEntries(ls.entries, ls.number) // nobody else knows the new lane yet, so its lock is free
	for _, h := range ls.servers {
		if slices.Contains(keysOf(h.server), key) {
			l.announce(ls.announcement(h), h.loadAt)
		}
	}
	ls.byKey[key] = l
	return l, nil
}

// keysOf lists the pools that a server belongs to.
func keysOf(a *instance.Server) []laneKey {
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
func (ls *lanes) announcement(h *heard) *instance.Announcement {
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
		ls.take(s, now)
	}
	ls.mu.RLock()
	var gone []string
	for id := range ls.servers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	ls.mu.RUnlock()
	for _, id := range gone {
		ls.remove(id)
	}
}

func (ls *lanes) take(s *instance.Server, now time.Time) {
	ls.mu.Lock()
	old := ls.servers[s.ID]
	if old != nil && old.server == s {
		ls.mu.Unlock()
		return
	}
	h := &heard{server: s, loadAt: loadTime(&s.Announcement, now)}
	ls.servers[s.ID] = h
	a := ls.announcement(h)
	ls.mu.Unlock()
	keys := keysOf(s)
	for _, l := range ls.some(keys) {
		l.announce(a, h.loadAt)
	}
	if old != nil {
		ls.leaveOthers(old.server, keys)
	}
}

// leaveOthers takes a server out of the lanes that it no longer belongs to, as
// after it loaded another model.
func (ls *lanes) leaveOthers(old *instance.Server, keys []laneKey) {
	for _, key := range keysOf(old) {
		if slices.Contains(keys, key) {
			continue
		}
		for _, l := range ls.some([]laneKey{key}) {
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
	for _, l := range ls.some(keysOf(h.server)) {
		l.remove(id)
	}
}

// some returns the lanes of these keys that exist.
func (ls *lanes) some(keys []laneKey) []*lane {
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
func (ls *lanes) setEntries(n, number int) {
	ls.mu.Lock()
	ls.entries, ls.number = n, number
	ls.mu.Unlock()
	for _, l := range ls.all() {
		l.setEntries(n, number)
	}
}

// plan applies the planned stops in force to every server. A server whose stop
// was cancelled takes work again; one that leaves by its own word does not.
func (ls *lanes) plan(covers func(id, zone string) bool) {
	ls.mu.Lock()
	var changed []*heard
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
		ls.replan(h)
	}
}

func (ls *lanes) replan(h *heard) {
	ls.mu.Lock()
	stop := ls.stopped[h.server.ID]
	a := ls.announcement(h)
	ls.mu.Unlock()
	for _, l := range ls.some(keysOf(h.server)) {
		if stop {
			l.leave(a.ID, a.Incarnation)
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
