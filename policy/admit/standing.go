package admit

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// standing tells a burst from a load above capacity, as controlled delay
// (Nichols and Jacobson, 2012) does for packets: after a burst the wait falls
// within a short time, and stays low for as long.
type standing struct {
	above time.Time // since when requests would have waited; zero: they do not
	last  time.Time // when the last one would have
}

// standingPart is the part of the target, as a divisor, that a wait has to
// exceed to count.
const standingPart = 8

func (s *standing) observe(now time.Time, r Request, interval time.Duration) {
	if r.Class != contract.ClassInteractive || r.Target <= 0 {
		return
	}
	// One request that finds a free slot does not end it: while the queue is
	// held short, some always do.
	if now.Sub(s.last) >= interval {
		s.above = time.Time{}
	}
	if r.Estimate.Wait <= r.Target/standingPart {
		return
	}
	s.last = now
	if s.above.IsZero() {
		s.above = now
	}
}

func (s *standing) since(now time.Time) time.Duration {
	if s.above.IsZero() {
		return 0
	}
	return now.Sub(s.above)
}

// invited is the work of those who were refused and told to come back. Without
// it all who are refused in one second of a surge come back in the same later
// second, which is a surge again: callers are refused twice or more and see
// the queue swing between empty and full.
type invited struct {
	tokens float64
	last   time.Time
	rate   float64
}

// ahead returns how long the queue needs for the work of those told before.
func (i *invited) ahead(now time.Time, rate float64) time.Duration {
	if elapsed := now.Sub(i.last); elapsed > 0 {
		i.tokens = max(0, i.tokens-rate*elapsed.Seconds())
		i.last = now
	}
	i.rate = rate
	if rate <= 0 {
		return 0
	}
	return seconds(i.tokens / rate)
}

func (i *invited) add(cost int64, longest time.Duration) {
	i.tokens = min(i.tokens+float64(cost), i.rate*longest.Seconds())
}
