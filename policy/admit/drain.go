package admit

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/policy/queue"
)

// Drain learns how fast the queue drains. It answers the question whether a
// request that came now would start in time. Without it, requests wait that
// cannot be answered before their deadline: at a load above capacity all of
// them do, and the fleet works for callers that have given up.
//
// The rate is tokens of work that ended for each second in which this entry had
// no free slot. Other times say nothing of what the fleet can do: if they
// counted, the first seconds of a surge after a quiet hour would be judged by
// that hour's rate and refused.
type Drain struct {
	memory time.Duration

	last   time.Time
	full   bool    // no slot was free since last
	tokens float64 // decayed sum of tokens ended while full
	time   float64 // decayed sum of seconds while full

	cost  mean // tokens of an ended request
	first mean // seconds from start to first token
	gap   mean // seconds between tokens
}

// minEvidence is the part of the memory that must have been full before a rate
// is believed: an eighth, a quarter of a second by default. Over less, a single
// long item decides.
const minEvidence = 0.125

// stoppedEvidence is the part of the memory that must have been full without any
// end before the drain counts as stopped: 1-1/e, which is the memory's length of
// time. With minEvidence alone, the first quarter of a second of a surge, in
// which no answer can have ended, is taken for a fleet that has stopped, and
// everybody is refused, also workspaces that ask for little.
const stoppedEvidence = 0.63

// NewDrain returns a Drain that forgets with the time constant memory.
func NewDrain(memory time.Duration) *Drain {
	return &Drain{memory: memory}
}

// Ended notes that a request of so many tokens gave its slot back. Call Full
// after it.
func (d *Drain) Ended(now time.Time, tokens int64) {
	d.advance(now)
	d.cost.add(float64(tokens))
	if d.full {
		d.tokens += float64(tokens)
	}
}

// Full notes whether a request that came now would find no free slot. Call it
// whenever that may have changed.
func (d *Drain) Full(now time.Time, full bool) {
	d.advance(now)
	d.full = full
}

func (d *Drain) advance(now time.Time) {
	d.tokens, d.time = d.sums(now)
	if d.last.Before(now) {
		d.last = now
	}
}

// sums returns the decayed sums as of now. While no slot is free and nothing
// ends the rate falls, so that a fleet that has stopped is noticed.
func (d *Drain) sums(now time.Time) (tokens, seconds float64) {
	elapsed := now.Sub(d.last)
	if !d.full || elapsed <= 0 {
		return d.tokens, d.time
	}
	keep := math.Exp(-elapsed.Seconds() / d.memory.Seconds())
	return d.tokens * keep, d.time*keep + d.memory.Seconds()*(1-keep)
}

// Rate returns the drain in tokens a second; ok is false if too little has
// been seen.
func (d *Drain) Rate(now time.Time) (rate float64, ok bool) {
	tokens, seconds := d.sums(now)
	if seconds < minEvidence*d.memory.Seconds() {
		return 0, false
	}
	if tokens == 0 && seconds < stoppedEvidence*d.memory.Seconds() {
		return 0, false // the first answers of a surge still run
	}
	return tokens / seconds, true
}

// FirstToken notes the time from the start of a request to its first token.
func (d *Drain) FirstToken(took time.Duration) { d.first.add(took.Seconds()) }

// BetweenTokens notes the mean time between tokens of one answer.
func (d *Drain) BetweenTokens(gap time.Duration) { d.gap.add(gap.Seconds()) }

// Estimate is what a request that came now could expect.
type Estimate struct {
	Wait    time.Duration // in the queue, on average
	WaitP95 time.Duration // in the queue, of 95 in 100
	First   time.Duration // from its start to the first token, of 95 in 100
	Gap     time.Duration // between tokens, on average
	Rate    float64       // drain of the queue, tokens a second
	Known   bool          // false: nothing learnt of the drain, both waits are 0
	Held    bool          // it would wait for its workspace to fall below its share, however long that takes
}

// maxEstimate bounds the waits of an Estimate where nothing ends any more.
const maxEstimate = time.Hour

// tail is how many standard deviations the 95th percentile lies above the mean.
const tail = 1.645

// Estimate judges a request that would wait behind backlog: for one slot more to
// come free than what is ahead needs.
//
// What is ahead on average is the smaller of two: the workspace's own work over
// its share, and all work. But all work is not all that can come first: requests
// of workspaces below their share that come later do, too. So WaitP95 counts the
// own work over the lasting share, one request of each other workspace, and the
// random intervals at which slots come free, by the normal approximation.
func (d *Drain) Estimate(now time.Time, backlog queue.Backlog) Estimate {
	rate, known := d.Rate(now)
	e := Estimate{
		First: seconds(d.first.value + tail*d.first.deviation()),
		Gap:   seconds(d.gap.value),
		Rate:  rate,
		Known: known,
		Held:  backlog.Held,
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
	interval := d.cost.value / rate
	starts := min(float64(backlog.Ahead)/backlog.Share, float64(backlog.Total))/d.cost.value + 1
	e.Wait = seconds(starts * interval)
	share := backlog.Lasting
	if share == 0 {
		share = backlog.Share
	}
	starts = float64(backlog.Ahead)/share/d.cost.value + float64(backlog.Others) + 1
	e.WaitP95 = seconds((starts + tail*math.Sqrt(starts)) * interval)
	return e
}

// seconds converts to a duration of at most maxEstimate.
func seconds(s float64) time.Duration {
	if !(s < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// meanWeight is the weight of a new sample in a mean: a sample counts for
// about the last sixteen.
const meanWeight = 1.0 / 16

// mean is an exponentially weighted moving average by samples, with variance.
type mean struct {
	value    float64
	variance float64
	known    bool
}

func (m *mean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	diff := sample - m.value
	m.value += meanWeight * diff
	m.variance = (1 - meanWeight) * (m.variance + meanWeight*diff*diff)
}

func (m *mean) deviation() float64 { return math.Sqrt(m.variance) }
