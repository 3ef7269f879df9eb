package coordinator

import (
	"sync"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
)

// usageBook holds what the entries counted. Entries tell every replica, again
// and again, all that they counted in the newest windows: a new leader knows
// what the one before it knew, and a report that was lost is made good by the
// next one.
type usageBook struct {
	kept int64 // windows

	mu     sync.Mutex
	lives  map[entryLife]*lifeUsage
	newest int64 // window
}

// entryLife is one life of an entry: after a restart it counts from nothing, and
// what it counted before still stands.
type entryLife struct {
	name        string
	incarnation uint64
}

// lifeUsage is what one life of an entry counted.
type lifeUsage struct {
	open   int64                      // the window in which it counted when it told last
	counts map[int64]map[string]int64 // window -> workspace -> requests
}

func newUsageBook(kept int64) *usageBook {
	return &usageBook{kept: kept, lives: make(map[entryLife]*lifeUsage)}
}

// note takes an entry's counts, which replace those of its earlier reports, and
// the window in which it counts now.
func (b *usageBook) note(life entryLife, open int64, usage []api.WindowUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.lives[life]
	if u == nil {
		u = &lifeUsage{counts: make(map[int64]map[string]int64)}
		b.lives[life] = u
	}
	u.open = max(u.open, open)
	advanced := open > b.newest
	b.newest = max(b.newest, open)
	for _, w := range usage {
		held := u.counts[w.Window]
		if held == nil {
			held = make(map[string]int64, len(w.Counts))
			u.counts[w.Window] = held
		}
		for workspace, n := range w.Counts {
			held[workspace] = max(held[workspace], n)
		}
	}
	if advanced { // hundreds of entries tell in between, and nothing can be dropped then
		b.forget()
	}
}

// forget drops windows that are older than any that is still to be reported.
func (b *usageBook) forget() {
	oldest := b.newest - b.kept
	for life, u := range b.lives {
		for w := range u.counts {
			if w < oldest {
				delete(u.counts, w)
			}
		}
		if u.open < oldest {
			delete(b.lives, life)
		}
	}
}

// complete reports whether everything that was counted in a window is here: each
// entry that takes callers, and each that told something during the window, has
// told of it after its end.
//
// An entry that froze, or was cut off, during the window has not; it may come back
// with counts. One that was started again since will not.
func (b *usageBook) complete(window int64, live []directory.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range live {
		u := b.lives[entryLife{live[i].Name, live[i].Incarnation}]
		if u == nil || u.open <= window {
			return false
		}
	}
	for life, u := range b.lives {
		if u.open == window && !b.restarted(life) {
			return false
		}
	}
	return len(live) > 0
}

// restarted reports whether a later life of the same entry has told something.
func (b *usageBook) restarted(life entryLife) bool {
	for other := range b.lives {
		if other.name == life.name && other.incarnation > life.incarnation {
			return true
		}
	}
	return false
}

// sum returns what all entries counted in a window.
func (b *usageBook) sum(window int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make(map[string]int64)
	for _, u := range b.lives {
		for workspace, n := range u.counts[window] {
			total[workspace] += n
		}
	}
	return total
}
