package coordinator

import (
	"sync"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
)

// usageTable holds what the entries counted. Entries tell every replica, again
// and again, all that they counted in the newest windows: a new leader knows
// what the one before it knew, and a report that was lost is made good by the
// next one.
type usageTable struct {
	retainedWindows int64 // windows

	mu           sync.Mutex
	incarnations map[entryIncarnation]*incarnationUsage
	newestWindow int64 // window
}

// entryIncarnation is one life of an entry: after a restart it counts from nothing, and
// what it counted before still stands.
type entryIncarnation struct {
	name        string
	incarnation uint64
}

// incarnationUsage is what one life of an entry counted.
type incarnationUsage struct {
	openWindow int64                      // the window in which it counted when it told last
	counts     map[int64]map[string]int64 // window -> workspace -> requests
}

func newUsageTable(retainedWindows int64) *usageTable {
	return &usageTable{retainedWindows: retainedWindows, incarnations: make(map[entryIncarnation]*incarnationUsage)}
}

// record takes an entry's counts, which replace those of its earlier reports, and
// the window in which it counts now.
func (b *usageTable) record(entry entryIncarnation, openWindow int64, usage []api.WindowUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.incarnations[entry]
	if u == nil {
		u = &incarnationUsage{counts: make(map[int64]map[string]int64)}
		b.incarnations[entry] = u
	}
	u.openWindow = max(u.openWindow, openWindow)
	advanced := openWindow > b.newestWindow
	b.newestWindow = max(b.newestWindow, openWindow)
	for _, w := range usage {
		counts := u.counts[w.Window]
		if counts == nil {
			counts = make(map[string]int64, len(w.Counts))
			u.counts[w.Window] = counts
		}
		for workspace, n := range w.Counts {
			counts[workspace] = max(counts[workspace], n)
		}
	}
	if advanced { // hundreds of entries tell in between, and nothing can be dropped then
		b.expire()
	}
}

// expire drops windows that are older than any that is still to be reported.
func (b *usageTable) expire() {
	oldest := b.newestWindow - b.retainedWindows
	for entry, u := range b.incarnations {
		for w := range u.counts {
			if w < oldest {
				delete(u.counts, w)
			}
		}
		if u.openWindow < oldest {
			delete(b.incarnations, entry)
		}
	}
}

// complete reports whether everything that was counted in a window is here: each
// entry that takes callers, and each that told something during the window, has
// told of it after its end.
//
// An entry that froze, or was cut off, during the window has not; it may come back
// with counts. One that was started again since will not.
func (b *usageTable) complete(window int64, live []directory.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range live {
		u := b.incarnations[entryIncarnation{live[i].Name, live[i].Incarnation}]
		if u == nil || u.openWindow <= window {
			return false
		}
	}
	for entry, u := range b.incarnations {
		if u.openWindow == window && !b.restarted(entry) {
			return false
		}
	}
	return len(live) > 0
}

// restarted reports whether a later life of the same entry has told something.
func (b *usageTable) restarted(life entryIncarnation) bool {
	for other := range b.incarnations {
		if other.name == life.name && other.incarnation > life.incarnation {
			return true
		}
	}
	return false
}

// sum returns what all entries counted in a window.
func (b *usageTable) sum(window int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make(map[string]int64)
	for _, u := range b.incarnations {
		for workspace, n := range u.counts[window] {
			total[workspace] += n
		}
	}
	return total
}
