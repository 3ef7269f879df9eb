package route

import (
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

// Size and time scale of a demand sketch.
const (
	demandCells  = 1024
	demandWindow = 2 * time.Second
	// hotRequestCount is the number of requests for one key in this window and the one
	// before from which on it counts as shared. A conversation sends its next
	// turn when it has the answer, so one or two is usual.
	hotRequestCount = 3
)

// demandSketch counts this entry's recent requests by affinity key, to tell a prefix
// that many callers share from a conversation that one caller has. The first
// must spread over servers, the second must stay where it is cached. Keys that
// share a cell count as one, which errs towards spreading.
type demandSketch struct {
	cells [demandCells]demandCell
}

type demandCell struct {
	window   int64
	count    uint16
	previous uint16 // count of the window before
}

// record counts a request and returns how many the key has had lately.
func (d *demandSketch) record(key uint64, now time.Time) int {
	c := &d.cells[hash.Pair(key, 0)%demandCells]
	window := now.UnixNano() / int64(demandWindow)
	switch {
	case window == c.window+1:
		c.previous, c.count = c.count, 0
	case window != c.window:
		c.previous, c.count = 0, 0
	}
	c.window = window
	c.count += min(1, ^c.count)
	return int(c.count) + int(c.previous)
}

// recentCount returns how many requests the key has had recentCount, without counting one.
func (d *demandSketch) recentCount(key uint64, now time.Time) int {
	c := &d.cells[hash.Pair(key, 0)%demandCells]
	switch now.UnixNano()/int64(demandWindow) - c.window {
	case 0:
		return int(c.count) + int(c.previous)
	case 1:
		return int(c.count)
	default:
		return 0
	}
}

// recordAndCheckHot counts a request and reports whether many callers share its key. Without
// a key there is nothing to keep together, which is the same.
func (d *demandSketch) recordAndCheckHot(key uint64, now time.Time) bool {
	return key == 0 || d.record(key, now) >= hotRequestCount
}
