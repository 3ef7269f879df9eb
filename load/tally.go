package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold microseconds from 1 µs to 10 min with three digits.
const (
	histMin    = 1
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// keptErrors bounds the examples of errors in a result.
const keptErrors = 5

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMin, histMax, histDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := max(histMin, min(d.Microseconds(), histMax))
	_ = h.RecordValue(us) // within the bounds, so it cannot fail
}

// tally collects the reports of one part under its own lock.
type tally struct {
	mu         sync.Mutex
	part       Part
	count      int
	outcomes   Outcomes
	onTarget   int
	tokens     int
	redials    int
	reconnects int
	errors     []string
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
	lag        *hdrhistogram.Histogram
	refusal    *hdrhistogram.Histogram
	seconds    []second
}

// second is what became of the requests that should have started within one
// second of the run.
type second struct {
	outcomes Outcomes
	firsts   []time.Duration
}

func newTally(p Part, duration time.Duration) *tally {
	return &tally{
		part:    p,
		first:   newHistogram(),
		between: newHistogram(),
		whole:   newHistogram(),
		lag:     newHistogram(),
		refusal: newHistogram(),
		seconds: make([]second, int((duration+time.Second-1)/time.Second)),
	}
}

// add takes the report of a request that should have started at a time.
func (t *tally) add(at time.Duration, r report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	s := &t.seconds[int(at/time.Second)]
	t.outcomes.add(r.outcome)
	s.outcomes.add(r.outcome)
	t.tokens += r.tokens
	t.redials += r.redials
	t.reconnects += r.reconnects
	if r.err != nil && len(t.errors) < keptErrors {
		t.errors = append(t.errors, string(r.outcome)+": "+r.err.Error())
	}
	if r.outcome == Unstarted {
		return
	}
	record(t.lag, r.lag)
	t.addTimes(r, s)
}

func (t *tally) addTimes(r report, s *second) {
	for _, gap := range r.gaps {
		record(t.between, gap)
	}
	if r.first > 0 {
		record(t.first, r.first)
		s.firsts = append(s.firsts, r.first)
	}
	switch r.outcome {
	case Answered:
		record(t.whole, r.end)
		if t.part.FirstTokenTarget == 0 || r.first <= t.part.FirstTokenTarget {
			t.onTarget++
		}
	case NotRun:
		record(t.refusal, r.end)
	}
}

// merge adds other, which nothing writes to any more.
func (t *tally) merge(other *tally) {
	t.count += other.count
	t.outcomes.merge(other.outcomes)
	t.onTarget += other.onTarget
	t.tokens += other.tokens
	t.redials += other.redials
	t.reconnects += other.reconnects
	t.first.Merge(other.first)
	t.between.Merge(other.between)
	t.whole.Merge(other.whole)
	t.lag.Merge(other.lag)
	t.refusal.Merge(other.refusal)
	for i := range other.seconds {
		t.seconds[i].outcomes.merge(other.seconds[i].outcomes)
		t.seconds[i].firsts = append(t.seconds[i].firsts, other.seconds[i].firsts...)
	}
}
