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
