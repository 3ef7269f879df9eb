package wallclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System returns a Clock over the clocks of the operating system. The monotonic one
// includes the time for which the machine is suspended: otherwise the clocks of all
// other instances would seem to have jumped after it.
func System() *Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration {
		var boottime unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime); err != nil {
			return time.Since(start) // without CLOCK_BOOTTIME, every call fails
		}
		return time.Duration(boottime.Nano())
	})
}
