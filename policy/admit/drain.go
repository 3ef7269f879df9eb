package admit

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
)

// DrainEstimator learns how fast the queue drains. It answers the question whether a
// request that came now would start in time. Without it, requests wait that
// cannot be answered before their deadline: at a load above capacity all of
// them do, and the fleet works for callers that have given up.
//
// The rate is tokens of work that ended for each second in which this entry had
// no free slot. Other times say nothing of what the fleet can do: if they
// counted, the first seconds of a surge after a quiet hour would be judged by
// that hour's rate and refused.
type DrainEstimator struct {
	timeConstant time.Duration

	updated     time.Time
	full        bool    // no slot was free since last
	endedTokens float64 // decayed sum of tokens ended while full
	fullSeconds float64 // decayed sum of seconds while full

	requestTokens        movingAverage // tokens of an ended request
	firstTokenSeconds    movingAverage // seconds from start to first token
	tokenIntervalSeconds movingAverage // seconds between tokens
}

// minFullFraction is the part of the memory that must have been full before a rate
// is believed: an eighth, a quarter of a second by default. Over less, a single
// long item decides.
const minFullFraction = 0.125

// minStoppedFraction is the part of the memory that must have been full without any
// end before the drain counts as stopped: 1-1/e, which is the memory's length of
// time. With minEvidence alone, the first quarter of a second of a surge, in
// which no answer can have ended, is taken for a fleet that has stopped, and
// everybody is refused, also workspaces that ask for little.
const minStoppedFraction = 0.63

// NewDrainEstimator returns a Drain that forgets with the time constant memory.
func NewDrainEstimator(timeConstant time.Duration) *DrainEstimator {
	return &DrainEstimator{timeConstant: timeConstant}
}

// ObserveEnd notes that a request of so many tokens gave its slot back. Call Full
// after it.
func (d *DrainEstimator) ObserveEnd(now time.Time, tokens int64) {
	d.advance(now)
	d.requestTokens.add(float64(tokens))
	if d.full {
		d.endedTokens += float64(tokens)
	}
}

// SetFull notes whether a request that came now would find no free slot. Call it
// whenever that may have changed.
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

// decayedSums returns the decayed decayedSums as of now. While no slot is free and nothing
// ends the rate falls, so that a fleet that has stopped is noticed.
func (d *DrainEstimator) decayedSums(now time.Time) (tokens, seconds float64) {
	elapsed := now.Sub(d.updated)
	if !d.full || elapsed <= 0 {
		return d.endedTokens, d.fullSeconds
	}
	decay := math.Exp(-elapsed.Seconds() / d.timeConstant.Seconds())
	return d.endedTokens * decay, d.fullSeconds*decay + d.timeConstant.Seconds()*(1-decay)
}

// Rate returns the drain in tokens a second; ok is false if too little has
// been seen.
func (d *DrainEstimator) Rate(now time.Time) (rate float64, ok bool) {
	tokens, seconds := d.decayedSums(now)
	if seconds < minFullFraction*d.timeConstant.Seconds() {
		return 0, false
	}
	if tokens == 0 && seconds < minStoppedFraction*d.timeConstant.Seconds() {
		return 0, false // the first answers of a surge still run
	}
	return tokens / seconds, true
}

// ObserveFirstToken notes the time from the start of a request to its first token.
func (d *DrainEstimator) ObserveFirstToken(delay time.Duration) {
	d.firstTokenSeconds.add(delay.Seconds())
}

// ObserveTokenInterval notes the mean time between tokens of one answer.
func (d *DrainEstimator) ObserveTokenInterval(interval time.Duration) {
	d.tokenIntervalSeconds.add(interval.Seconds())
}

// Estimate is what a request that came now could expect.
type Estimate struct {
	Wait          time.Duration // in the queue, on average
	WaitP95       time.Duration // in the queue, of 95 in 100
	FirstToken    time.Duration // from its start to the first token, of 95 in 100
	TokenInterval time.Duration // between tokens, on average
	Rate          float64       // drain of the queue, tokens a second
	Known         bool          // false: nothing learnt of the drain, both waits are 0
	Held          bool          // it would wait for its workspace to fall below its share, however long that takes
}

// maxWaitEstimate bounds the waits of an Estimate where nothing ends any more.
const maxWaitEstimate = time.Hour

// p95Deviations is how many standard deviations the 95th percentile lies above the mean.
const p95Deviations = 1.645

// Estimate judges a request that would wait behind backlog: for one slot more to
// come free than what is ahead needs.
//
// What is ahead on average is the smaller of two: the workspace's own work over
// its share, and all work. But all work is not all that can come first: requests
// of workspaces below their share that come later do, too. So WaitP95 counts the
// own work over the lasting share, one request of each other workspace, and the
// random intervals at which slots come free, by the normal approximation.
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
		// It starts as soon as one slot more comes free than is kept for
		// others. To count that as a wait would take a workspace that holds
		// more than its share by long work for an overload.
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

// secondsToDuration converts to a duration of at most maxEstimate.
func secondsToDuration(s float64) time.Duration {
	if !(s < maxWaitEstimate.Seconds()) {
		return maxWaitEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// sampleWeight is the weight of a new sample in a mean: a sample counts for
// about the last sixteen.
const sampleWeight = 1.0 / 16

// movingAverage is an exponentially weighted moving average by samples, with variance.
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
