// Package wallclock tells the time of day on an instance whose own clock may be
// wrong: by the median of its own and those of other instances, and steadily.
//
// Usage is counted in windows of the time of day. An instance whose clock jumps
// by seconds would otherwise count requests in windows in which they did not
// begin, and customers would be billed for what they did not do. Clocks that
// jump are mostly few at a time, so the median stays right.
//
// Two things move the median itself: many clocks that jump together and back
// again, and a process that stood still and then reads answers as if they had just
// come. Both pass, so a median that has moved is believed only once it has stayed
// there; until then time goes on by the steady clock.
package wallclock

import (
	"slices"
	"sync"
	"time"
)

// maxAge is how long another instance's reading counts: long enough to outlast
// a lost connection, short enough to forget an instance that is gone.
const readingTTL = 30 * time.Second

const (
	// follows is how far the median may move and be followed at once: readings
	// scatter by the links' delays, some tens of milliseconds.
	stepThreshold = 100 * time.Millisecond
	// believeAfter is how long the median has to stay away from the time that was
	// agreed on until it is believed. Clocks that were set wrong by mistake are
	// set right within seconds.
	stepDelay = 30 * time.Second
)

// Clock is safe for concurrent use.
type Clock struct {
	wall      func() time.Time     // this instance's time of day
	monotonic func() time.Duration // time since any fixed point, which no change of the clock moves

	mu       sync.Mutex
	readings map[string]reading
	estimate estimate
}

// agreement is the time that was agreed on last.
type estimate struct {
	offset    time.Duration // of the time of day from the steady time
	maxClocks int           // the most clocks that it was ever the median of; 0: there is none yet
	lastNear  time.Duration // steady time at which the median was last near it
}

// reading is another instance's clock.
type reading struct {
	offset   time.Duration // of its time of day from the steady time here
	received time.Duration // steady time
}

// New returns a clock over an instance's time of day and its steady time.
func New(wall func() time.Time, monotonic func() time.Duration) *Clock {
	return &Clock{wall: wall, monotonic: monotonic, readings: make(map[string]reading)}
}

// offset is constant for a clock that runs well.
func offset(wall time.Time, monotonic time.Duration) time.Duration {
	return time.Duration(wall.UnixNano()) - monotonic
}

// Observe notes what another instance's clock has just shown.
func (c *Clock) Observe(instance string, wall time.Time) {
	monotonic := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[instance] = reading{offset: offset(wall, monotonic), received: monotonic}
	c.update(monotonic) // also where nobody asks for the time: a jump has to be seen when it comes
}

// Now returns the time of day that most clocks agree on.
func (c *Clock) Now() time.Time {
	monotonic := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(monotonic)
	return time.Unix(0, int64(monotonic+c.estimate.offset))
}

// agree takes the median for the time of day, unless it has jumped. The median of
// more clocks than ever before is taken at once: a process that starts knows only
// its own.
func (c *Clock) update(monotonic time.Duration) {
	median, clocks := c.median(monotonic)
	a := &c.estimate
	near := (median - a.offset).Abs() <= stepThreshold
	if !near && clocks <= a.maxClocks && monotonic-a.lastNear < stepDelay {
		return
	}
	a.offset, a.lastNear = median, monotonic
	a.maxClocks = max(a.maxClocks, clocks)
}

// median returns the median offset of all clocks that are known, and their number.
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
