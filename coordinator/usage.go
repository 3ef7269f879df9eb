package coordinator

import (
	"sync"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
)

// usageTable holds the request counts of the entries by window. Entries repeat their
// counts for the newest windows to every replica, so that a new leader has them and a
// lost report is replaced by the next one.
type usageTable struct {
	retainedWindows int64 // number of windows before the newest that are kept

	mu           sync.Mutex
	incarnations map[entryIncarnation]*incarnationUsage
	newestWindow int64 // highest open window reported
}

// entryIncarnation identifies one run of an entry. A restarted entry counts from zero,
// and the counts of its earlier run still apply.
type entryIncarnation struct {
	name        string
	incarnation uint64
}

// incarnationUsage is the usage reported by one incarnation of an entry.
type incarnationUsage struct {
	openWindow int64                      // window in which it counted at its last report
	counts     map[int64]map[string]int64 // window -> workspace -> requests
}

func newUsageTable(retainedWindows int64) *usageTable {
	return &usageTable{retainedWindows: retainedWindows, incarnations: make(map[entryIncarnation]*incarnationUsage)}
}

// record records an entry's counts and its open window. The counts are cumulative: the
// highest one reported for a workspace and window is kept, so that a delayed report
// changes nothing.
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
	if advanced { // otherwise no window can have expired
		b.expire()
	}
}

// expire drops the windows, and the incarnations, that are too old to be reported. The
// caller holds mu.
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

// complete reports whether all counts of a window have been received: every live entry,
// and every entry that reported during the window, has reported after its end. It
// returns false if there is no live entry.
//
// An entry that froze or lost its connection during the window may still report; one
// that has restarted since will not.
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

// restarted reports whether a later incarnation of the same entry has reported. The
// caller holds mu.
func (b *usageTable) restarted(entry entryIncarnation) bool {
	for other := range b.incarnations {
		if other.name == entry.name && other.incarnation > entry.incarnation {
			return true
		}
	}
	return false
}

// sum returns the counts of all entries in a window, by workspace.
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
