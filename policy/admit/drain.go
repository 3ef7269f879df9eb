package admit

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
)

// DrainEstimator measures how fast the queue drains and estimates how long a
// new request would wait. Without it, requests above capacity would queue past
// their deadlines, and servers would work for callers that have given up.
//
// The drain rate is the tokens of ended requests per second during which this
// entry had no free slot. Other times do not measure capacity: if they
// counted, the rate of a quiet hour would cause refusals at the start of a
// surge.
type DrainEstimator struct {
	timeConstant time.Duration

	updated     time.Time // when the sums were last decayed
	full        bool      // no free slot since updated
	endedTokens float64   // decayed sum of tokens ended while full
	fullSeconds float64   // decayed sum of seconds while full

	requestTokens        movingAverage // tokens per ended request
	firstTokenSeconds    movingAverage // from start to first token
	tokenIntervalSeconds movingAverage // between tokens of an answer
}

// minFullFraction is the fraction of the time constant that must have been
// observed full before the rate is known. With less, one long request could
// dominate the rate.
const minFullFraction = 0.125

// minStoppedFraction is the fraction of the time constant that must have been
// observed full without any ended request before the rate is zero. It is about
// 1-1/e, which is reached after one time constant. With minFullFraction alone,
// the start of a surge, before any answer can have ended, would count as
// stopped servers and all requests would be refused.
const minStoppedFraction = 0.63

// NewDrainEstimator returns a DrainEstimator whose rate decays with
// timeConstant.
func NewDrainEstimator(timeConstant time.Duration) *DrainEstimator {
	return &DrainEstimator{timeConstant: timeConstant}
}

// ObserveEnd records that a request of the given tokens has ended and released
// its slot. Call SetFull after it.
func (d *DrainEstimator) ObserveEnd(now time.Time, tokens int64) {
	d.advance(now)
	d.requestTokens.add(float64(tokens))
	if d.full {
		d.endedTokens += float64(tokens)
	}
}

// SetFull records whether a request arriving now would find no free slot. Call
// it whenever this may have changed.
func (d *DrainEstimator) SetFull(now time.Time, full bool) {
	d.advance(now)
	d.full = full
}

func (d *DrainEstimator) advance(now time.Time) {
	d.endedTokens, d.fullSeconds = d.decayedSums(now)
	if d.updated.Before(now) {
		d.updated = now
	}
}

// decayedSums returns the decayed sums as of now. While full is true and no
// request ends, tokens falls and seconds rises, so the rate of stopped servers
// falls.
func (d *DrainEstimator) decayedSums(now time.Time) (tokens, seconds float64) {
	elapsed := now.Sub(d.updated)
	if !d.full || elapsed <= 0 {
		return d.endedTokens, d.fullSeconds
	}
	decay := math.Exp(-elapsed.Seconds() / d.timeConstant.Seconds())
	return d.endedTokens * decay, d.fullSeconds*decay + d.timeConstant.Seconds()*(1-decay)
}

// Rate returns the drain rate in tokens per second. ok is false if the time
// observed without a free slot is too short.
func (d *DrainEstimator) Rate(now time.Time) (rate float64, ok bool) {
	tokens, seconds := d.decayedSums(now)
	if seconds < minFullFraction*d.timeConstant.Seconds() {
		return 0, false
	}
	if tokens == 0 && seconds < minStoppedFraction*d.timeConstant.Seconds() {
		return 0, false // the first answers of a surge are still running
	}
	return tokens / seconds, true
}

// ObserveFirstToken records the delay from the start of a request to its first
// token.
func (d *DrainEstimator) ObserveFirstToken(delay time.Duration) {
	d.firstTokenSeconds.add(delay.Seconds())
}

// ObserveTokenInterval records the mean interval between tokens of one answer.
func (d *DrainEstimator) ObserveTokenInterval(interval time.Duration) {
	d.tokenIntervalSeconds.add(interval.Seconds())
}

// Estimate holds the expected times of a request that arrives now.
type Estimate struct {
	Wait          time.Duration // in the queue, mean
	WaitP95       time.Duration // in the queue, 95th percentile
	FirstToken    time.Duration // from start to first token, 95th percentile
	TokenInterval time.Duration // between tokens, mean
	Rate          float64       // drain rate of the queue in tokens per second
	Known         bool          // the drain rate is known; if false, both waits are 0
	Held          bool          // it starts only once its workspace falls below its share, however long that takes
}

// maxWaitEstimate bounds all estimated times, including those at a rate of
// zero.
const maxWaitEstimate = time.Hour

// p95Deviations is the distance of the 95th percentile from the mean of a
// normal distribution, in standard deviations.
const p95Deviations = 1.645

// Estimate returns the estimate for a request that would wait behind backlog.
// It starts when one more slot becomes free than the work ahead of it needs.
//
// For Wait, the work ahead is the smaller of the workspace's own work divided
// by its share and all waiting work. WaitP95 also allows for requests that
// arrive later and start first, from workspaces below their share: it counts
// the workspace's own work divided by its lasting share and one request of
// each other workspace. It adds the variation of the intervals at which slots
// become free, approximated as a normal distribution.
func (d *DrainEstimator) Estimate(now time.Time, backlog queue.Backlog) Estimate {
	rate, known := d.Rate(now)
	e := Estimate{
		FirstToken:    secondsToDuration(d.firstTokenSeconds.value + p95Deviations*d.firstTokenSeconds.stdDev()),
		TokenInterval: secondsToDuration(d.tokenIntervalSeconds.value),
		Rate:          rate,
		Known:         known,
		Held:          backlog.Held,
	}
	if !known || backlog.Starts {
		return e
	}
	if backlog.Held && backlog.Waiting == 0 {
		// The request starts as soon as one more slot becomes free than is
		// reserved for other workspaces. Counting this as a wait would mistake
		// a workspace that exceeds its share through long requests for an
		// overload.
		return e
	}
	interval := d.requestTokens.value / rate
	starts := min(float64(backlog.Ahead)/backlog.Share, float64(backlog.Total))/d.requestTokens.value + 1
	e.Wait = secondsToDuration(starts * interval)
	lastingShare := backlog.Lasting
	if lastingShare == 0 {
		lastingShare = backlog.Share
	}
	starts = float64(backlog.Ahead)/lastingShare/d.requestTokens.value + float64(backlog.Others) + 1
	e.WaitP95 = secondsToDuration((starts + p95Deviations*math.Sqrt(starts)) * interval)
	return e
}

// secondsToDuration converts s to a duration of at most maxWaitEstimate, which
// it also returns for NaN.
func secondsToDuration(s float64) time.Duration {
	if !(s < maxWaitEstimate.Seconds()) {
		return maxWaitEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// sampleWeight is the weight of a new sample in a movingAverage; its inverse
// is about the number of samples averaged.
const sampleWeight = 1.0 / 16

// movingAverage is an exponentially weighted moving average and variance of
// samples.
type movingAverage struct {
	value       float64
	variance    float64
	initialized bool
}

func (m *movingAverage) add(sample float64) {
	if !m.initialized {
		m.value, m.initialized = sample, true
		return
	}
	diff := sample - m.value
	m.value += sampleWeight * diff
	m.variance = (1 - sampleWeight) * (m.variance + sampleWeight*diff*diff)
}

func (m *movingAverage) stdDev() float64 { return math.Sqrt(m.variance) }
