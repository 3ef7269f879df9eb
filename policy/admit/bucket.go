package admit

import (
	"math"
	"time"
)

// bucket is a token bucket whose level may become negative. It admits a
// request whenever its level is positive and then charges the full cost, so
// requests larger than the burst remain possible and the average rate still
// holds.
type bucket struct {
	rate       float64 // per second
	burst      float64
	level      float64
	lastRefill time.Time
}

// setRate changes the rate and sets the burst to what the rate yields in
// window. The level never rises: another entry may already have used the
// amount that was added.
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

// available refills the bucket and reports whether it admits a request.
func (b *bucket) available(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *bucket) take(amount float64) { b.level = min(b.burst, b.level-amount) }

// availableIn returns the time until the bucket admits a request, as of the
// last refill.
func (b *bucket) availableIn() time.Duration {
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxWaitEstimate
	}
	return secondsToDuration(-b.level / b.rate)
}

// rateMeter measures the rate of events with exponential decay. All calls must
// use the same time constant.
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
