package route

import (
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

const (
	demandCells  = 1024
	demandWindow = 2 * time.Second
	// hotRequestCount is the number of requests for one key, in the current and the previous
	// window, from which the key counts as shared. One conversation usually sends one or two,
	// because each turn follows the answer to the last.
	hotRequestCount = 3
)

// demandSketch counts this entry's recent requests by affinity key, to distinguish a prefix
// that many callers share from a conversation of one caller. The former must spread over
// servers, the latter must stay where it is cached. Keys that share a cell are counted
// together, which errs towards spreading.
type demandSketch struct {
	cells [demandCells]demandCell
}

type demandCell struct {
	window   int64 // time since the Unix epoch, in units of demandWindow
	count    uint16
	previous uint16 // count of the previous window
}

// record counts a request and returns the recent number of requests for the key.
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

// recentCount returns the number of requests for the key in this window and the previous one.
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

// recordAndCheckHot counts a request and reports whether many callers share its key. A
// request without a key counts as shared: no server caches anything for it.
func (d *demandSketch) recordAndCheckHot(key uint64, now time.Time) bool {
	return key == 0 || d.record(key, now) >= hotRequestCount
}
