// Package wallclock estimates the time of day on an instance whose own clock may be
// wrong, as the median of its clock and those of other instances.
//
// Usage is counted in windows of the time of day. An instance whose clock jumps by
// seconds would otherwise count requests in windows in which they did not start, and
// customers would be billed for them in the wrong window. Usually few clocks jump at
// a time, so the median stays correct.
//
// The median itself can move temporarily: if most clocks jump together and back, or if
// a paused process reads delayed messages as if they had just arrived. A step of the
// median is therefore accepted only after it has lasted for a while; until then the
// time advances with the monotonic clock.
package wallclock

import (
	"slices"
	"sync"
	"time"
)

// readingTTL is how long the reading of another instance's clock is used. It is longer
// than an interrupted connection usually lasts.
const readingTTL = 30 * time.Second

const (
	// stepThreshold is the largest change of the median that is accepted at once. It
	// exceeds the network delays, by which readings vary.
	stepThreshold = 100 * time.Millisecond
	// stepDelay is how long the median must differ from the estimate by more than
	// stepThreshold before it is accepted.
	stepDelay = 30 * time.Second
)

// Clock estimates the time of day. It is safe for concurrent use.
type Clock struct {
	wall      func() time.Time     // this instance's time of day
	monotonic func() time.Duration // time since a fixed point; unaffected by changes of the time of day

	mu       sync.Mutex
	readings map[string]reading // by instance
	estimate estimate
}

// estimate is the current estimate of the time of day.
type estimate struct {
	offset    time.Duration // time of day minus monotonic time
	maxClocks int           // the most clocks of which it has been the median; 0: no estimate yet
	lastNear  time.Duration // monotonic time at which the median was last within stepThreshold
}

// reading is a reading of another instance's clock.
type reading struct {
	offset   time.Duration // its time of day minus the local monotonic time
	received time.Duration // monotonic time
}

// New returns a Clock over this instance's time of day and its monotonic time, the time
// since any fixed point.
func New(wall func() time.Time, monotonic func() time.Duration) *Clock {
	return &Clock{wall: wall, monotonic: monotonic, readings: make(map[string]reading)}
}

// offset returns the time of day minus the monotonic time. It is constant for a clock
// that keeps time.
func offset(wall time.Time, monotonic time.Duration) time.Duration {
	return time.Duration(wall.UnixNano()) - monotonic
}

// Observe records the time of day that another instance has just sent.
func (c *Clock) Observe(instance string, wall time.Time) {
	monotonic := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[instance] = reading{offset: offset(wall, monotonic), received: monotonic}
	c.update(monotonic) // even if Now is not called: lastNear must be current when the clocks jump
}

// Now returns the estimated time of day.
func (c *Clock) Now() time.Time {
	monotonic := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(monotonic)
	return time.Unix(0, int64(monotonic+c.estimate.offset))
}

// update sets the estimate to the median, unless the median has stepped for less than
// stepDelay. A median of more clocks than ever before is accepted at once, because a
// process that has just started has only its own clock. c.mu must be held.
func (c *Clock) update(monotonic time.Duration) {
	median, clocks := c.median(monotonic)
	e := &c.estimate
	near := (median - e.offset).Abs() <= stepThreshold
	if !near && clocks <= e.maxClocks && monotonic-e.lastNear < stepDelay {
		return
	}
	e.offset, e.lastNear = median, monotonic
	e.maxClocks = max(e.maxClocks, clocks)
}

// median returns the median offset of this instance's clock and all current readings,
// and their number. It deletes expired readings. c.mu must be held.
func (c *Clock) median(monotonic time.Duration) (time.Duration, int) {
	offsets := []time.Duration{offset(c.wall(), monotonic)}
	for name, r := range c.readings {
		if monotonic-r.received > readingTTL {
			delete(c.readings, name)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], len(offsets)
}
