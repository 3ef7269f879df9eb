package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testInstance is an instance whose clock and monotonic time can be set.
type testInstance struct {
	startTime time.Time // true time of day at monotonic time 0
	jump      time.Duration
	elapsed   time.Duration
}

func newTestInstance() *testInstance { return &testInstance{startTime: time.Unix(1_700_000_000, 0)} }

func (i *testInstance) wall() time.Time          { return i.startTime.Add(i.elapsed + i.jump) }
func (i *testInstance) monotonic() time.Duration { return i.elapsed }
func (i *testInstance) trueTime() time.Time      { return i.startTime.Add(i.elapsed) }

func (i *testInstance) requireCorrect(t *testing.T, c *Clock) {
	t.Helper()
	require.WithinDuration(t, i.trueTime(), c.Now(), 3*time.Millisecond)
}

// Guards against Now following a jump of this instance's clock: requests would be
// counted in the wrong window.
func TestJumpOfOwnClockIsIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	c.Observe("a", i.trueTime())
	c.Observe("b", i.trueTime().Add(time.Millisecond))
	i.elapsed, i.jump = time.Second, 2*time.Second
	i.requireCorrect(t, c)
	i.jump = 0
	i.requireCorrect(t, c)
}

// Guards against one wrong clock of another instance changing the time of day.
func TestOneWrongClockIsIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	c.Observe("a", i.trueTime().Add(5*time.Second))
	c.Observe("b", i.trueTime().Add(2*time.Millisecond))
	c.Observe("c", i.trueTime().Add(-time.Millisecond))
	i.elapsed = 10 * time.Second
	i.requireCorrect(t, c)
}

// Guards against using readings of instances that no longer send any.
func TestOldReadingsExpire(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	c.Observe("a", i.trueTime().Add(time.Hour))
	c.Observe("b", i.trueTime().Add(time.Hour))
	i.elapsed = readingTTL + time.Second
	i.requireCorrect(t, c)
}

// observeFor observes other instances, whose clocks have the given errors, once per
// second and requires the correct time after each second.
func (i *testInstance) observeFor(t *testing.T, c *Clock, seconds int, clockErrors ...time.Duration) {
	t.Helper()
	for range seconds {
		i.elapsed += time.Second
		for k, clockError := range clockErrors {
			c.Observe(string(rune('a'+k)), i.trueTime().Add(clockError))
		}
		i.requireCorrect(t, c)
	}
}

// Guards against following the median at once when most clocks jump and return within
// seconds, as when a time server fails briefly: requests would be billed in the wrong
// window.
func TestTemporaryJumpOfMostClocksIsIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	i.observeFor(t, c, 5, 0, 0, 0)
	i.observeFor(t, c, 10, -4*time.Second, -4*time.Second, -4*time.Second)
	i.observeFor(t, c, 40, 0, 0, 0)
	i.observeFor(t, c, 10, 4*time.Second, 4*time.Second, 4*time.Second)
	i.observeFor(t, c, 1, 0, 0, 0)
}

// Guards against following the median at once after a paused process reads delayed
// messages: all other clocks then seem to be behind until the next messages.
func TestReadingsDelayedByPauseAreIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	i.observeFor(t, c, 5, 0, 0, 0)
	i.elapsed += 3 * time.Second
	for _, other := range []string{"a", "b", "c"} {
		c.Observe(other, i.trueTime().Add(-3*time.Second))
	}
	i.requireCorrect(t, c)
	i.observeFor(t, c, 5, 0, 0, 0)
}

// Guards against a wrong clock at the start being used for stepDelay, although readings
// of other instances arrive soon after.
func TestWrongClockAtStartIsCorrectedAtOnce(t *testing.T) {
	i := newTestInstance()
	i.jump = 4 * time.Second
	c := New(i.wall, i.monotonic)
	c.Now()
	i.observeFor(t, c, 2, 0, 0, 0)
}

// Guards against a wrong estimate that is never corrected although the median differs
// from it for longer than stepDelay.
func TestLastingStepOfMostClocksIsFollowed(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	for _, other := range []string{"a", "b", "c"} {
		c.Observe(other, i.trueTime().Add(5*time.Second))
	}
	require.WithinDuration(t, i.trueTime().Add(5*time.Second), c.Now(), time.Millisecond)
	for range int((stepDelay + time.Second).Seconds()) {
		i.elapsed += time.Second
		for _, other := range []string{"a", "b", "c"} {
			c.Observe(other, i.trueTime())
		}
		c.Now()
	}
	i.requireCorrect(t, c)
}

// Guards against accepting a jump at once because Now has not been called for longer
// than stepDelay: Observe must update the estimate too.
func TestJumpIsIgnoredAfterMinuteWithoutCallsToNow(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	i.observeFor(t, c, 5, 0, 0, 0)
	for range 60 {
		i.elapsed += time.Second
		for _, other := range []string{"a", "b", "c"} {
			c.Observe(other, i.trueTime())
		}
	}
	i.observeFor(t, c, 5, 4*time.Second, 4*time.Second, 4*time.Second)
}
