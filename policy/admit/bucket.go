package admit

import (
	"math"
	"time"
)

// bucket is a token bucket whose level may go below zero: what it lets through
// is charged in full even if it is larger than the bucket, so a single long
// request is possible under a low rate and the rate still holds on average.
type bucket struct {
	rate       float64 // a second
	burst      float64
	level      float64
	lastRefill time.Time
}

// setRate changes the rate. The level never rises by it: a bucket that is given
// more starts with what it had, since another entry may have spent the rest.
func (b *bucket) setRate(now time.Time, rate float64, window time.Duration) {
	b.refill(now)
	b.rate = rate
	b.burst = rate * window.Seconds()
	b.level = min(b.level, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		if !b.lastRefill.IsZero() {
			b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		}
		b.lastRefill = now
	}
}

// available reports whether something may pass.
func (b *bucket) available(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *bucket) take(amount float64) { b.level = min(b.burst, b.level-amount) }

// availableIn returns how long until something may pass.
func (b *bucket) availableIn() time.Duration {
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxWaitEstimate
	}
	return secondsToDuration(-b.level / b.rate)
}

// rateMeter is an exponentially decayed rate of events.
type rateMeter struct {
	sum     float64
	updated time.Time
}

func (m *rateMeter) add(now time.Time, amount float64, timeConstant time.Duration) {
	m.sum = m.decayed(now, timeConstant) + amount
	m.updated = now
}

func (m *rateMeter) decayed(now time.Time, timeConstant time.Duration) float64 {
	elapsed := now.Sub(m.updated)
	if elapsed <= 0 || m.updated.IsZero() {
		return m.sum
	}
	return m.sum * math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

func (m *rateMeter) rate(now time.Time, timeConstant time.Duration) float64 {
	return m.decayed(now, timeConstant) / timeConstant.Seconds()
}
