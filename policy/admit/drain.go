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
// The rate is tokens of work taken from the queue for each second in which the
// queue held something. A time without waiting requests says nothing of what
// the fleet can do: if it counted, the first seconds of a surge after a quiet
// night would be judged by the night's rate and refused.
type Drain struct {
	memory time.Duration

	last   time.Time
	busy   bool    // something waited since last
	tokens float64 // decayed sum of tokens started while busy
	time   float64 // decayed sum of busy seconds

	first mean // seconds from start to first token
	gap   mean // seconds between tokens
}

// minEvidence is the part of the memory that must have been busy before a rate
// is believed: an eighth, a quarter of a second by default. Over less, a single
// long item decides.
const minEvidence = 0.125

// NewDrain returns a Drain that forgets with the time constant memory.
func NewDrain(memory time.Duration) *Drain {
	return &Drain{memory: memory}
}

// Started notes that items of so many tokens left the queue to run; waiting
// says whether others still wait. Call it with 0 tokens after each push, too.
func (d *Drain) Started(now time.Time, tokens int64, waiting bool) {
	if d.busy {
		d.advance(now)
		d.tokens += float64(tokens)
	}
	if d.last.Before(now) {
		d.last = now
	}
	d.busy = waiting
}

func (d *Drain) advance(now time.Time) {
	d.tokens, d.time = d.sums(now)
}

// sums returns the decayed sums as of now. While something waits and nothing
// starts the rate falls, so that a fleet that has stopped is noticed.
func (d *Drain) sums(now time.Time) (tokens, seconds float64) {
	elapsed := now.Sub(d.last)
	if !d.busy || elapsed <= 0 {
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
	return tokens / seconds, true
}

// FirstToken notes the time from the start of a request to its first token.
func (d *Drain) FirstToken(took time.Duration) { d.first.add(took.Seconds()) }

// BetweenTokens notes the mean time between tokens of one answer.
func (d *Drain) BetweenTokens(gap time.Duration) { d.gap.add(gap.Seconds()) }

// Estimate is what a request that came now could expect.
type Estimate struct {
	Wait  time.Duration // in the queue
	First time.Duration // from its start to the first token
	Gap   time.Duration // between tokens
	Rate  float64       // drain of the queue, tokens a second
	Known bool          // false: nothing learnt of the drain, Wait is 0
}

// maxEstimate bounds Estimate.Wait where the queue has stopped draining.
const maxEstimate = time.Hour

// Estimate judges a request that would wait behind backlog. The wait is the
// shorter of two: for the workspace's own work at the workspace's share, and
// for all work at the whole rate.
func (d *Drain) Estimate(now time.Time, backlog queue.Backlog) Estimate {
	rate, known := d.Rate(now)
	e := Estimate{First: seconds(d.first.value), Gap: seconds(d.gap.value), Rate: rate, Known: known}
	if !known || backlog.Total == 0 {
		return e
	}
	own := float64(backlog.Ahead) / (rate * backlog.Share)
	all := float64(backlog.Total) / rate
	e.Wait = seconds(min(own, all))
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

// mean is an exponentially weighted moving average by samples.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += meanWeight * (sample - m.value)
}
