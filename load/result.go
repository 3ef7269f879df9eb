package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// Outcomes counts requests by outcome.
type Outcomes struct {
	Answered  int `json:"answered"`
	NotRun    int `json:"notRun"`
	Unknown   int `json:"unknown"`
	Failed    int `json:"failed"`
	Broken    int `json:"broken"`
	Wrong     int `json:"wrong"`
	Unstarted int `json:"unstarted"`
}

func (o *Outcomes) add(outcome Outcome) {
	switch outcome {
	case Answered:
		o.Answered++
	case NotRun:
		o.NotRun++
	case Unknown:
		o.Unknown++
	case Failed:
		o.Failed++
	case Broken:
		o.Broken++
	case Wrong:
		o.Wrong++
	case Unstarted:
		o.Unstarted++
	}
}

func (o *Outcomes) merge(other Outcomes) {
	o.Answered += other.Answered
	o.NotRun += other.NotRun
	o.Unknown += other.Unknown
	o.Failed += other.Failed
	o.Broken += other.Broken
	o.Wrong += other.Wrong
	o.Unstarted += other.Unstarted
}

// Total returns the number of requests.
func (o Outcomes) Total() int {
	return o.Answered + o.NotRun + o.Unknown + o.Failed + o.Broken + o.Wrong + o.Unstarted
}

// Result holds the measurements of a run. Every scheduled request is counted once.
// Latencies are measured from the intended start, in milliseconds.
type Result struct {
	Started  time.Time    `json:"started"`
	Seconds  float64      `json:"seconds"` // length of the schedule
	Elapsed  float64      `json:"elapsed"` // seconds until the last request ended
	Seed     uint64       `json:"seed,string"`
	Rate     float64      `json:"rate"` // configured requests per second, without surges
	Total    PartResult   `json:"total"`
	Parts    []PartResult `json:"parts"`
	Timeline []Second     `json:"timeline"`
}

// PartResult holds the measurements of one part of the mix.
type PartResult struct {
	Name         string       `json:"name"`
	Service      string       `json:"service,omitempty"`
	Workspace    string       `json:"workspace,omitempty"`
	Requests     int          `json:"requests"`
	Outcomes     Outcomes     `json:"outcomes"`
	OnTarget     int          `json:"onTarget"` // answered, with the first token within the part's target
	Tokens       int          `json:"tokens"`
	TokensPerSec float64      `json:"tokensPerSecond"` // over the elapsed time
	Redials      int          `json:"redials"`         // entries to which no connection could be made
	Reconnects   int          `json:"reconnects"`      // times that a broken stream was resumed with Last-Event-ID
	Errors       []string     `json:"errors,omitempty"`
	FirstToken   Distribution `json:"firstToken"`    // of requests that received a token, or the header of a plain answer
	Between      Distribution `json:"betweenTokens"` // between consecutive tokens
	Whole        Distribution `json:"whole"`         // until the end of answered requests
	Refusal      Distribution `json:"refusal"`       // until the end of requests that were not run
	StartLag     Distribution `json:"startLag"`      // between intended and actual start
}

// Distribution summarises latencies in milliseconds.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
	Curve []Point `json:"curve,omitempty"`
}

// Point is a point of a percentile curve: Percent of the latencies are at most Value
// milliseconds.
type Point struct {
	Percent float64 `json:"percent"`
	Value   float64 `json:"value"`
}

// Second summarises the requests whose intended start is in one second of the run.
type Second struct {
	Second   int      `json:"second"`
	Outcomes Outcomes `json:"outcomes"`
	P50      float64  `json:"firstTokenP50"` // milliseconds; 0: no request received a token
	P95      float64  `json:"firstTokenP95"`
}

// Overhead compares the first-token latencies of two parts of one run.
type Overhead struct {
	P50      float64 `json:"p50"` // ratio
	P99      float64 `json:"p99"` // ratio
	AddedP50 float64 `json:"addedP50Ms"`
	AddedP99 float64 `json:"addedP99Ms"`
	Through  int64   `json:"through"` // number of first tokens
	Direct   int64   `json:"direct"`
}

// Overhead returns by how much the first-token latency of the part named through
// exceeds that of the part named direct, as ratios and in milliseconds.
func (r *Result) Overhead(through, direct string) (Overhead, error) {
	a, err := r.part(through)
	if err != nil {
		return Overhead{}, err
	}
	b, err := r.part(direct)
	if err != nil {
		return Overhead{}, err
	}
	x, y := a.FirstToken, b.FirstToken
	if x.Count == 0 || y.Count == 0 {
		return Overhead{}, trace.Wrap(errNoFirstToken)
	}
	return Overhead{
		P50:      x.P50 / y.P50,
		P99:      x.P99 / y.P99,
		AddedP50: x.P50 - y.P50,
		AddedP99: x.P99 - y.P99,
		Through:  x.Count,
		Direct:   y.Count,
	}, nil
}

var errNoFirstToken = errors.New("a part had no first token")

func (r *Result) part(name string) (PartResult, error) {
	i := slices.IndexFunc(r.Parts, func(p PartResult) bool { return p.Name == name })
	if i < 0 {
		return PartResult{}, trace.Wrap(fmt.Errorf("the result has no part %q", name))
	}
	return r.Parts[i], nil
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(r))
}

func (t *tally) result(elapsed time.Duration) PartResult {
	return PartResult{
		Name:         t.part.Name,
		Service:      t.part.Service,
		Workspace:    t.part.Workspace,
		Requests:     t.count,
		Outcomes:     t.outcomes,
		OnTarget:     t.onTarget,
		Tokens:       t.tokens,
		TokensPerSec: float64(t.tokens) / elapsed.Seconds(),
		Redials:      t.redials,
		Reconnects:   t.reconnects,
		Errors:       t.errors,
		FirstToken:   newDistribution(t.firstToken),
		Between:      newDistribution(t.between),
		Whole:        newDistribution(t.whole),
		Refusal:      newDistribution(t.refusal),
		StartLag:     newDistribution(t.startLag),
	}
}

func (t *tally) timeline() []Second {
	seconds := make([]Second, len(t.seconds))
	for i, s := range t.seconds {
		slices.Sort(s.firstTokens)
		seconds[i] = Second{
			Second:   i,
			Outcomes: s.outcomes,
			P50:      quantile(s.firstTokens, 0.50),
			P95:      quantile(s.firstTokens, 0.95),
		}
	}
	return seconds
}

// quantile returns the q-quantile (0 to 1) of the sorted values in milliseconds, or 0 if
// there are none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return milliseconds(sorted[min(i, len(sorted)-1)])
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// curvePercents are the percentiles of a distribution's curve, denser towards the tail.
var curvePercents = [...]float64{0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.95, 99.99, 100}

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	if h.TotalCount() == 0 {
		return Distribution{}
	}
	at := func(percent float64) float64 { return microsecondsToMilliseconds(float64(h.ValueAtQuantile(percent))) }
	d := Distribution{
		Count: h.TotalCount(),
		Mean:  microsecondsToMilliseconds(h.Mean()),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   microsecondsToMilliseconds(float64(h.Max())),
	}
	for _, percent := range curvePercents {
		d.Curve = append(d.Curve, Point{Percent: percent, Value: at(percent)})
	}
	return d
}

func microsecondsToMilliseconds(us float64) float64 {
	return us * float64(time.Microsecond) / float64(time.Millisecond)
}
