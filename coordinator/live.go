package coordinator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/directory"
)

// liveListTTL is how long a list of the live entries is cached. Hundreds of entries
// request it every second.
const liveListTTL = 100 * time.Millisecond

// liveEntries caches the list of the entries that take callers.
type liveEntries struct {
	entries    func(now time.Time) []directory.Entry
	lastChange func() uint64 // number of the last change of an entry's record

	mu       sync.Mutex
	list     liveList
	listedAt time.Time
	listed   uint64 // lastChange when it was listed
}

// liveList is such a list. It is immutable.
type liveList struct {
	entries []directory.Entry // sorted by name
	names   []string          // of the entries
	hashes  []uint64          // of the names
	digest  uint64            // of the names; equal lists have equal digests
}

// current returns the list. It is at most liveListTTL old, and contains every entry whose
// record has arrived.
func (l *liveEntries) current(now time.Time) liveList {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.lastChange()
	if !l.listedAt.IsZero() && now.Sub(l.listedAt) < liveListTTL && change == l.listed {
		return l.list
	}
	entries := l.entries(now)
	names, hashes := make([]string, 0, len(entries)), make([]uint64, 0, len(entries))
	digest := xxhash.New()
	for i := range entries {
		names = append(names, entries[i].Name)
		hashes = append(hashes, xxhash.Sum64String(entries[i].Name))
		_, _ = digest.WriteString(entries[i].Name + "\n") // never fails
	}
	l.list, l.listedAt = liveList{entries: entries, names: names, hashes: hashes, digest: digest.Sum64()}, now
	l.listed = change
	return l.list
}
