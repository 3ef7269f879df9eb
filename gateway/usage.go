package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/wallclock"
)

// usage counts the requests that servers have started to answer, by window of wall time and
// by workspace.
type usage struct {
	clock           *wallclock.Clock
	window          time.Duration
	retainedWindows int64 // reported until a leader can no longer decide on them

	mu     sync.Mutex
	counts map[int64]map[string]int64
}

func newUsage(clock *wallclock.Clock, window time.Duration, retainedWindows int64) *usage {
	return &usage{clock: clock, window: window, retainedWindows: retainedWindows, counts: make(map[int64]map[string]int64)}
}

// recordStart counts a request of a workspace in the current window.
func (u *usage) recordStart(workspace string) {
	if workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.openWindow()
	if u.counts[w] == nil {
		u.counts[w] = make(map[string]int64)
		u.expire(w)
	}
	u.counts[w][workspace]++
}

// openWindow returns the current window. u.mu is held, so that a window that was reported as
// closed gets no more counts.
func (u *usage) openWindow() int64 { return u.clock.Now().UnixNano() / int64(u.window) }

// expire removes windows that are no longer reported. u.mu is held.
func (u *usage) expire(newest int64) {
	for w := range u.counts {
		if w <= newest-u.retainedWindows {
			delete(u.counts, w)
		}
	}
}

// report returns all counts, oldest window first, and the window that is still open.
func (u *usage) report() (counts []api.WindowUsage, open int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]api.WindowUsage, 0, len(u.counts))
	for _, w := range slices.Sorted(maps.Keys(u.counts)) {
		out = append(out, api.WindowUsage{Window: w, Counts: maps.Clone(u.counts[w])})
	}
	return out, u.openWindow()
}
