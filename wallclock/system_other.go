//go:build !linux

package wallclock

import "time"

// System returns a Clock over the clocks of the operating system.
func System() *Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration { return time.Since(start) })
}
