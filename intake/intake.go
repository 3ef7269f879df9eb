package intake

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Intake bounds what a process holds for its clients. It is safe for concurrent use.
type Intake struct {
	limits Limits
	now    func() time.Time

	mu      sync.Mutex
	changed chan struct{} // closed when a bound has become free; nil while nobody waits
	gates   []*Gate
	metrics *metrics.Set // nil before Register
	claimed int64        // bytes of bodies
	queue   []int64      // tickets of the clients that wait for room, the first is next
	tickets int64
}

// New returns an Intake. now must include a monotonic clock reading.
func New(limits Limits, now func() time.Time) *Intake {
	return &Intake{limits: limits, now: now}
}

// OfMachine returns an Intake bounded by what the machine has.
func OfMachine(now func() time.Time) *Intake { return New(LimitsOf(0, 0), now) }

// Limits returns the bounds.
func (in *Intake) Limits() Limits { return in.limits }

// Claimed returns the bytes that all clients' bodies have claimed.
func (in *Intake) Claimed() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.claimed
}

// release wakes all who wait. The lock must be held.
func (in *Intake) release() {
	if in.changed != nil {
		close(in.changed)
		in.changed = nil
	}
}

// recheck bounds a wait for a bound to become free: a client may fall behind meanwhile.
const recheck = 50 * time.Millisecond

// await calls try until it returns true, until end or until stop is closed, and reports whether it did. try is
// called with the lock held; it may return a client to cut off.
func (in *Intake) await(end time.Time, stop <-chan struct{}, try func(now time.Time) (done bool, victim *Client)) bool {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	for {
		now := in.now()
		in.mu.Lock()
		done, victim := try(now)
		if in.changed == nil && !done {
			in.changed = make(chan struct{})
		}
		changed := in.changed
		in.mu.Unlock()
		if done {
			return true
		}
		if victim != nil {
			victim.end()
			continue
		}
		if !end.IsZero() && !now.Before(end) {
			return false
		}
		timer.Reset(recheck)
		select {
		case <-changed:
		case <-timer.C:
		case <-stop:
			return false
		}
	}
}
