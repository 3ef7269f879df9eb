// Package wallclock tells the time of day on an instance whose own clock may be
// wrong: by the median of its own and those of other instances.
//
// Usage is counted in windows of the time of day. An instance whose clock jumps
// by seconds would otherwise count requests in windows in which they did not
// begin, and customers would be billed for what they did not do. Clocks that
// jump are few at a time, so the median stays right.
package wallclock

import (
	"slices"
	"sync"
	"time"
)

// maxAge is how long another instance's reading counts: long enough to outlast
// a lost connection, short enough to forget an instance that is gone.
const maxAge = 30 * time.Second

// Clock is safe for concurrent use.
type Clock struct {
	wall   func() time.Time     // this instance's time of day
	steady func() time.Duration // time since any fixed point, which no change of the clock moves

	mu     sync.Mutex
	others map[string]reading
}

// reading is another instance's clock.
type reading struct {
	offset time.Duration // of its time of day from the steady time here
	taken  time.Duration // steady time
}

// New returns a clock over an instance's time of day and its steady time.
func New(wall func() time.Time, steady func() time.Duration) *Clock {
	return &Clock{wall: wall, steady: steady, others: make(map[string]reading)}
}

// System returns a clock over those of the operating system.
func System() *Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration { return time.Since(start) })
}

// offset is constant for a clock that runs well.
func offset(wall time.Time, steady time.Duration) time.Duration {
	return time.Duration(wall.UnixNano()) - steady
}

// Observe notes what another instance's clock has just shown.
func (c *Clock) Observe(instance string, wall time.Time) {
	steady := c.steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others[instance] = reading{offset: offset(wall, steady), taken: steady}
}

// Now returns the time of day by the median of all clocks that are known.
func (c *Clock) Now() time.Time {
	steady := c.steady()
	offsets := []time.Duration{offset(c.wall(), steady)}
	c.mu.Lock()
	for name, r := range c.others {
		if steady-r.taken > maxAge {
			delete(c.others, name)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	c.mu.Unlock()
	slices.Sort(offsets)
	return time.Unix(0, int64(steady+offsets[(len(offsets)-1)/2]))
}
