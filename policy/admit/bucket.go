package admit

import (
	"math"
	"time"
)

// bucket is a token bucket whose level may go below zero: what it lets through
// is charged in full even if it is larger than the bucket, so a single long
// request is possible under a low rate and the rate still holds on average.
type bucket struct {
	rate  float64 // a second
	burst float64
	level float64
	last  time.Time
}

// set changes the rate. The level never rises by it: a bucket that is given
// more starts with what it had, since another entry may have spent the rest.
func (b *bucket) set(now time.Time, rate float64, window time.Duration) {
	b.refill(now)
	b.rate = rate
	b.burst = rate * window.Seconds()
	b.level = min(b.level, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		if !b.last.IsZero() {
			b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		}
		b.last = now
	}
}

// open reports whether something may pass.
func (b *bucket) open(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *bucket) take(amount float64) { b.level = min(b.burst, b.level-amount) }

// opensIn returns how long until something may pass.
func (b *bucket) opensIn() time.Duration {
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxEstimate
	}
	return seconds(-b.level / b.rate)
}

// rateMeter is an exponentially decayed rate of events.
type rateMeter struct {
	sum  float64
	last time.Time
}

func (m *rateMeter) add(now time.Time, amount float64, memory time.Duration) {
	m.sum = m.decayed(now, memory) + amount
	m.last = now
}

func (m *rateMeter) decayed(now time.Time, memory time.Duration) float64 {
	elapsed := now.Sub(m.last)
	if elapsed <= 0 || m.last.IsZero() {
		return m.sum
	}
	return m.sum * math.Exp(-elapsed.Seconds()/memory.Seconds())
}

func (m *rateMeter) rate(now time.Time, memory time.Duration) float64 {
	return m.decayed(now, memory) / memory.Seconds()
}
