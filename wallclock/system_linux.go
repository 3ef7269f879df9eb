package wallclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System returns a clock over those of the operating system. The steady one counts
// the time for which the machine is suspended, as the other instances' clocks do:
// after a suspension they would all seem to have jumped.
func System() *Clock {
	start := time.Now()
	return New(time.Now, func() time.Duration {
		var boottime unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime); err != nil {
			return time.Since(start) // a kernel without this clock, on every call
		}
		return time.Duration(boottime.Nano())
	})
}
