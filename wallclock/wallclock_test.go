package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// instance is one whose clock can be set.
type testInstance struct {
	startTime time.Time // the true time of day at steady time 0
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

// An instance's clock jumps ahead by two seconds and back again. A customer would
// see requests counted in a window in which it sent none.
//
// It breaks if Now returns the instance's own time of day.
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

// One of three other clocks is wrong by five seconds. The median of them and the
// own one is right.
func TestOneWrongClockIsIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	c.Observe("a", i.trueTime().Add(5*time.Second))
	c.Observe("b", i.trueTime().Add(2*time.Millisecond))
	c.Observe("c", i.trueTime().Add(-time.Millisecond))
	i.elapsed = 10 * time.Second
	i.requireCorrect(t, c)
}

// An instance that was observed long ago no longer counts.
func TestOldReadingsExpire(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	c.Observe("a", i.trueTime().Add(time.Hour))
	c.Observe("b", i.trueTime().Add(time.Hour))
	i.elapsed = readingTTL + time.Second
	i.requireCorrect(t, c)
}

// watch observes three other instances each second for a while, with what their
// clocks show beside the truth, and requires the right time all along.
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

// Most clocks of a site jump back by four seconds and some seconds later forward
// again, as when a time server fails for a moment. Requests would be billed in the
// window before the one in which they began.
//
// It breaks if the median is believed at once.
func TestTemporaryJumpOfMostClocksIsIgnored(t *testing.T) {
	i := newTestInstance()
	c := New(i.wall, i.monotonic)
	i.observeFor(t, c, 5, 0, 0, 0)
	i.observeFor(t, c, 10, -4*time.Second, -4*time.Second, -4*time.Second)
	i.observeFor(t, c, 40, 0, 0, 0)
	i.observeFor(t, c, 10, 4*time.Second, 4*time.Second, 4*time.Second)
	i.observeFor(t, c, 1, 0, 0, 0)
}

// A process stands still for three seconds and then reads the answers that came
// meanwhile. All other clocks seem to be three seconds behind until the next ones.
//
// It breaks if the median is believed at once.
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

// A process starts on an instance whose clock is wrong, and hears the others a
// moment later.
//
// It breaks if what it agreed on with itself has to be outlasted.
func TestWrongClockAtStartIsCorrectedAtOnce(t *testing.T) {
	i := newTestInstance()
	i.jump = 4 * time.Second
	c := New(i.wall, i.monotonic)
	c.Now()
	i.observeFor(t, c, 2, 0, 0, 0)
}

// The others agree on another time for good: what this instance agreed on at its
// start was wrong.
//
// It breaks if an agreement is never given up.
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

// Nobody sends anything for a minute; then most clocks jump, and a request comes.
//
// It breaks if the median is compared only when somebody asks for the time.
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
