package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// instance is one whose clock can be set.
type instance struct {
	right time.Time // the true time of day at steady time 0
	jump  time.Duration
	since time.Duration
}

func newInstance() *instance { return &instance{right: time.Unix(1_700_000_000, 0)} }

func (i *instance) wall() time.Time       { return i.right.Add(i.since + i.jump) }
func (i *instance) steady() time.Duration { return i.since }
func (i *instance) truth() time.Time      { return i.right.Add(i.since) }

func (i *instance) requireRight(t *testing.T, c *Clock) {
	t.Helper()
	require.WithinDuration(t, i.truth(), c.Now(), 3*time.Millisecond)
}

// An instance's clock jumps ahead by two seconds and back again. A customer would
// see requests counted in a window in which it sent none.
//
// It breaks if Now returns the instance's own time of day.
func TestOwnClockJumps(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	c.Observe("a", i.truth())
	c.Observe("b", i.truth().Add(time.Millisecond))
	i.since, i.jump = time.Second, 2*time.Second
	i.requireRight(t, c)
	i.jump = 0
	i.requireRight(t, c)
}

// One of three other clocks is wrong by five seconds. The median of them and the
// own one is right.
func TestOneOfTheOthersIsWrong(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	c.Observe("a", i.truth().Add(5*time.Second))
	c.Observe("b", i.truth().Add(2*time.Millisecond))
	c.Observe("c", i.truth().Add(-time.Millisecond))
	i.since = 10 * time.Second
	i.requireRight(t, c)
}

// An instance that was observed long ago no longer counts.
func TestOldReadingsAreForgotten(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	c.Observe("a", i.truth().Add(time.Hour))
	c.Observe("b", i.truth().Add(time.Hour))
	i.since = maxAge + time.Second
	i.requireRight(t, c)
}

// watch observes three other instances each second for a while, with what their
// clocks show beside the truth, and requires the right time all along.
func (i *instance) watch(t *testing.T, c *Clock, seconds int, wrong ...time.Duration) {
	t.Helper()
	for range seconds {
		i.since += time.Second
		for k, by := range wrong {
			c.Observe(string(rune('a'+k)), i.truth().Add(by))
		}
		i.requireRight(t, c)
	}
}

// Most clocks of a site jump back by four seconds and some seconds later forward
// again, as when a time server fails for a moment. Requests would be billed in the
// window before the one in which they began.
//
// It breaks if the median is believed at once.
func TestMostClocksJumpAndReturn(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	i.watch(t, c, 5, 0, 0, 0)
	i.watch(t, c, 10, -4*time.Second, -4*time.Second, -4*time.Second)
	i.watch(t, c, 40, 0, 0, 0)
	i.watch(t, c, 10, 4*time.Second, 4*time.Second, 4*time.Second)
	i.watch(t, c, 1, 0, 0, 0)
}

// A process stands still for three seconds and then reads the answers that came
// meanwhile. All other clocks seem to be three seconds behind until the next ones.
//
// It breaks if the median is believed at once.
func TestAnswersReadLate(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	i.watch(t, c, 5, 0, 0, 0)
	i.since += 3 * time.Second
	for _, other := range []string{"a", "b", "c"} {
		c.Observe(other, i.truth().Add(-3*time.Second))
	}
	i.requireRight(t, c)
	i.watch(t, c, 5, 0, 0, 0)
}

// A process starts on an instance whose clock is wrong, and hears the others a
// moment later.
//
// It breaks if what it agreed on with itself has to be outlasted.
func TestStartWithAWrongClock(t *testing.T) {
	i := newInstance()
	i.jump = 4 * time.Second
	c := New(i.wall, i.steady)
	c.Now()
	i.watch(t, c, 2, 0, 0, 0)
}

// The others agree on another time for good: what this instance agreed on at its
// start was wrong.
//
// It breaks if an agreement is never given up.
func TestClocksAreSetRight(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	for _, other := range []string{"a", "b", "c"} {
		c.Observe(other, i.truth().Add(5*time.Second))
	}
	require.WithinDuration(t, i.truth().Add(5*time.Second), c.Now(), time.Millisecond)
	for range int((believeAfter + time.Second).Seconds()) {
		i.since += time.Second
		for _, other := range []string{"a", "b", "c"} {
			c.Observe(other, i.truth())
		}
		c.Now()
	}
	i.requireRight(t, c)
}

// Nobody sends anything for a minute; then most clocks jump, and a request comes.
//
// It breaks if the median is compared only when somebody asks for the time.
func TestJumpAfterAQuietMinute(t *testing.T) {
	i := newInstance()
	c := New(i.wall, i.steady)
	i.watch(t, c, 5, 0, 0, 0)
	for range 60 {
		i.since += time.Second
		for _, other := range []string{"a", "b", "c"} {
			c.Observe(other, i.truth())
		}
	}
	i.watch(t, c, 5, 4*time.Second, 4*time.Second, 4*time.Second)
}
