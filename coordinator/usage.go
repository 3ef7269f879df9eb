package coordinator

import (
	"sync"

	"savoryreel.example/savoryreel/coordinator/api"
)

// usageBook holds what the entries counted. Entries tell every replica, again
// and again, all that they counted in the newest windows: a new leader knows
// what the one before it knew, and a report that was lost is made good by the
// next one.
type usageBook struct {
	mu      sync.Mutex
	entries map[entryLife]map[int64]map[string]int64 // window -> workspace -> requests
	newest  int64
}

// entryLife is one life of an entry: after a restart it counts from nothing, and
// what it counted before still stands.
type entryLife struct {
	name        string
	incarnation uint64
}

func newUsageBook() *usageBook {
	return &usageBook{entries: make(map[entryLife]map[int64]map[string]int64)}
}

// note takes an entry's counts, which replace those of its earlier reports.
func (b *usageBook) note(name string, incarnation uint64, usage []api.WindowUsage) {
	if len(usage) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	life := entryLife{name, incarnation}
	if b.entries[life] == nil {
		b.entries[life] = make(map[int64]map[string]int64)
	}
	for _, u := range usage {
		b.newest = max(b.newest, u.Window)
		held := b.entries[life][u.Window]
		if held == nil {
			held = make(map[string]int64, len(u.Counts))
			b.entries[life][u.Window] = held
		}
		for workspace, n := range u.Counts {
			held[workspace] = max(held[workspace], n)
		}
	}
	b.forget()
}

// forget drops windows that are older than any that is still to be reported.
func (b *usageBook) forget() {
	for life, windows := range b.entries {
		for w := range windows {
			if w < b.newest-keptWindows {
				delete(windows, w)
			}
		}
		if len(windows) == 0 {
			delete(b.entries, life)
		}
	}
}

// sum returns what all entries counted in a window.
func (b *usageBook) sum(window int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := make(map[string]int64)
	for _, windows := range b.entries {
		for workspace, n := range windows[window] {
			total[workspace] += n
		}
	}
	return total
}
