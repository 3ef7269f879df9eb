package admit

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// standingQueue tells a burst from a load above capacity, as controlled delay
// (Nichols and Jacobson, 2012) does for packets: after a burst the wait falls
// within a short time, and stays low for as long.
type standingQueue struct {
	aboveSince time.Time // since when requests would have waited; zero: they do not
	lastAbove  time.Time // when the last one would have
}

// standingTargetDivisor is the part of the target, as a divisor, that a wait has to
// exceed to count.
const standingTargetDivisor = 8

func (s *standingQueue) observe(now time.Time, r Request, interval time.Duration) {
	if r.Class != contract.ClassInteractive || r.FirstTokenTarget <= 0 {
		return
	}
	// One request that finds a free slot does not end it: while the queue is
	// held short, some always do.
	if now.Sub(s.lastAbove) >= interval {
		s.aboveSince = time.Time{}
	}
	if r.Estimate.Wait <= r.FirstTokenTarget/standingTargetDivisor {
		return
	}
	s.lastAbove = now
	if s.aboveSince.IsZero() {
		s.aboveSince = now
	}
}

func (s *standingQueue) duration(now time.Time) time.Duration {
	if s.aboveSince.IsZero() {
		return 0
	}
	return now.Sub(s.aboveSince)
}

// retryBacklog is the work of those who were refused and told to come back. Without
// it all who are refused in one second of a surge come back in the same later
// second, which is a surge again: callers are refused twice or more and see
// the queue swing between empty and full.
type retryBacklog struct {
	tokens  float64
	updated time.Time
	rate    float64
}

// drainTime returns how long the queue needs for the work of those told before.
func (b *retryBacklog) drainTime(now time.Time, rate float64) time.Duration {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = max(0, b.tokens-rate*elapsed.Seconds())
		b.updated = now
	}
	b.rate = rate
	if rate <= 0 {
		return 0
	}
	return secondsToDuration(b.tokens / rate)
}

func (b *retryBacklog) add(cost int64, maxDrainTime time.Duration) {
	b.tokens = min(b.tokens+float64(cost), b.rate*maxDrainTime.Seconds())
}
