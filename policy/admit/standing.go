package admit

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// standingQueue distinguishes a short burst from sustained load above
// capacity, as CoDel does for packets (Nichols and Jacobson, "Controlling
// Queue Delay", 2012): after a burst, the wait soon falls and stays low.
type standingQueue struct {
	aboveSince time.Time // start of the current run of long waits; zero if there is none
	lastAbove  time.Time // time of the last long wait
}

// standingTargetDivisor sets which waits count as long: those above the
// first-token target divided by it.
const standingTargetDivisor = 8

// observe records the estimated wait of an interactive request with a
// first-token target. The run of long waits ends once none has been observed
// for interval.
func (s *standingQueue) observe(now time.Time, r Request, interval time.Duration) {
	if r.Class != contract.ClassInteractive || r.FirstTokenTarget <= 0 {
		return
	}
	// A single request that finds a free slot does not end the run: with a
	// short queue, some always find one.
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

// duration returns how long the current run of long waits has lasted, or 0.
func (s *standingQueue) duration(now time.Time) time.Duration {
	if s.aboveSince.IsZero() {
		return 0
	}
	return now.Sub(s.aboveSince)
}

// retryBacklog estimates the work of refused callers that have not retried
// yet. Without it, all callers refused in the same second would retry in the
// same second, and the queue would swing between empty and full.
type retryBacklog struct {
	tokens  float64 // work not yet drained, as of updated
	updated time.Time
	rate    float64 // last rate passed to drainTime
}

// drainTime returns how long the queue needs to do the work of the callers
// refused earlier, at rate tokens per second.
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

// add adds the cost of a refused request, in tokens. The backlog never exceeds
// maxDrainTime at the last rate.
func (b *retryBacklog) add(cost int64, maxDrainTime time.Duration) {
	b.tokens = min(b.tokens+float64(cost), b.rate*maxDrainTime.Seconds())
}
