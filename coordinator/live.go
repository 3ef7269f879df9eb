package coordinator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/directory"
)

// liveListTTL is how long a list of the live entries is used. Each of some hundred entries
// asks for it once a second, and it changes when one comes or falls silent.
const liveListTTL = 100 * time.Millisecond

// liveEntries lists the entries that take callers.
type liveEntries struct {
	entries func(now time.Time) []directory.Entry

	mu       sync.Mutex
	list     liveList
	listedAt time.Time
}

// liveList is such a list. It is not changed any more.
type liveList struct {
	names  []string // in order
	digest uint64   // of the names; equal lists have equal ones
}

// current returns the list as it was within liveFor.
func (l *liveEntries) current(now time.Time) liveList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listedAt.IsZero() && now.Sub(l.listedAt) < liveListTTL {
		return l.list
	}
	entries := l.entries(now)
	names := make([]string, 0, len(entries))
	digest := xxhash.New()
	for i := range entries {
		names = append(names, entries[i].Name)
		_, _ = digest.WriteString(entries[i].Name + "\n") // a digest never fails
	}
	l.list, l.listedAt = liveList{names: names, digest: digest.Sum64()}, now
	return l.list
}
