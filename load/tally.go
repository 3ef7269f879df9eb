package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms; their values are in microseconds.
const (
	histMinMicroseconds   = 1
	histMaxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	histSignificantDigits = 3
)

// maxErrors bounds the sample of error texts in a result.
const maxErrors = 5

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMinMicroseconds, histMaxMicroseconds, histSignificantDigits)
}

// record adds a duration to a histogram; out-of-range values count as the nearest bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := max(histMinMicroseconds, min(d.Microseconds(), histMaxMicroseconds))
	_ = h.RecordValue(us) // fails only for values outside the range
}

// tally accumulates the results of one part. It is safe for concurrent use, except for
// the methods result, merge and timeline.
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
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
	startLag   *hdrhistogram.Histogram
	refusal    *hdrhistogram.Histogram
	seconds    []second // by second of the intended start
}

// second accumulates the requests whose intended start is in one second of the run.
type second struct {
	outcomes    Outcomes
	firstTokens []time.Duration // unsorted
}

func newTally(p Part, duration time.Duration) *tally {
	return &tally{
		part:       p,
		firstToken: newHistogram(),
		between:    newHistogram(),
		whole:      newHistogram(),
		startLag:   newHistogram(),
		refusal:    newHistogram(),
		seconds:    make([]second, int((duration+time.Second-1)/time.Second)),
	}
}

// add adds the result of a request whose intended start, since the start of the run, is at.
func (t *tally) add(at time.Duration, r callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	s := &t.seconds[int(at/time.Second)]
	t.outcomes.add(r.outcome)
	s.outcomes.add(r.outcome)
	t.tokens += r.tokens
	t.redials += r.redials
	t.reconnects += r.reconnects
	if r.err != nil && len(t.errors) < maxErrors {
		t.errors = append(t.errors, string(r.outcome)+": "+r.err.Error())
	}
	if r.outcome == Unstarted {
		return
	}
	record(t.startLag, r.startLag)
	t.addLatencies(r, s)
}

func (t *tally) addLatencies(r callResult, s *second) {
	for _, gap := range r.tokenGaps {
		record(t.between, gap)
	}
	if r.firstToken > 0 {
		record(t.firstToken, r.firstToken)
		s.firstTokens = append(s.firstTokens, r.firstToken)
	}
	switch r.outcome {
	case Answered:
		record(t.whole, r.latency)
		if t.part.FirstTokenTarget == 0 || r.firstToken <= t.part.FirstTokenTarget {
			t.onTarget++
		}
	case NotRun:
		record(t.refusal, r.latency)
	}
}

// merge adds the results of other, to which no more results may be added meanwhile.
func (t *tally) merge(other *tally) {
	t.count += other.count
	t.outcomes.merge(other.outcomes)
	t.onTarget += other.onTarget
	t.tokens += other.tokens
	t.redials += other.redials
	t.reconnects += other.reconnects
	t.firstToken.Merge(other.firstToken)
	t.between.Merge(other.between)
	t.whole.Merge(other.whole)
	t.startLag.Merge(other.startLag)
	t.refusal.Merge(other.refusal)
	for i := range other.seconds {
		t.seconds[i].outcomes.merge(other.seconds[i].outcomes)
		t.seconds[i].firstTokens = append(t.seconds[i].firstTokens, other.seconds[i].firstTokens...)
	}
}
