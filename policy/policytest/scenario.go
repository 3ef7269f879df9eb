package policytest

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Scenario is a pattern of load and faults.
type Scenario struct {
	Name     string
	Duration time.Duration
	Warmup   time.Duration // jobs that arrive before are not counted
	Entries  int
	Fleet    Fleet
	Sources  []Source
	Faults   []Fault
}

// Fleet describes the backend servers, which are all alike.
type Fleet struct {
	Servers        int
	Zones          int           // server i is in zone i modulo Zones
	Slots          int           // of each server
	PrefillRate    float64       // tokens a second
	TokenInterval  time.Duration // on an idle server
	FullSlowdown   float64       // fraction by which a full server's token interval is longer
	CacheTokens    int           // size of each server's prefix cache
	ReportInterval time.Duration // between load reports
	ReportDelay    time.Duration // until a load report reaches the entries
}

// fullTokenInterval returns the time between tokens on a server whose slots are
// all taken.
func (f *Fleet) fullTokenInterval() time.Duration {
	return time.Duration(float64(f.TokenInterval) * (1 + f.FullSlowdown))
}

// slotTime returns the time that a job with uncached prompt tokens and answer
// tokens takes a slot of a full server.
func (f *Fleet) slotTime(uncached, answer int) time.Duration {
	prefill := time.Duration(float64(uncached) / f.PrefillRate * float64(time.Second))
	return prefill + time.Duration(answer)*f.fullTokenInterval()
}

// work returns slotTime in answer tokens of a full server, the unit of the
// policies' costs.
func (f *Fleet) work(uncached, answer int) int64 {
	return int64(math.Ceil(float64(f.slotTime(uncached, answer)) / float64(f.fullTokenInterval())))
}

// Source is one workspace's stream of requests.
type Source struct {
	Workspace           string
	Class               contract.Class
	Weight              int
	Limits              contract.Limits
	Rate                float64 // requests a second
	Surge               Surge
	Callers             int // each uses one entry only
	MeanPromptTokens    int // including the shared prefix
	MeanAnswerTokens    int
	Prefixes            int // number of shared prefixes; 0: none
	PrefixTokens        int // tokens of each
	FirstTokenTarget    time.Duration
	TokenIntervalTarget time.Duration
	CallerTimeout       time.Duration // after arrival, when the caller leaves
}

// Surge multiplies a source's rate by Factor in [From, To).
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Fault is a fault of some backend servers.
type Fault struct {
	Kind    FaultKind
	At      time.Duration
	Until   time.Duration // ignored for Reclaim
	Servers []int
	Factor  float64 // SlowServer: multiplies all times
}

// FaultKind is a kind of fault.
type FaultKind uint8

// Kinds of fault.
const (
	SlowServer    FaultKind = iota
	FailingServer           // each attempt fails after failureDelay
	Reclaim                 // the servers end for good; their jobs resume on others
)

// epoch is the virtual time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// lengthSigma is the standard deviation of the logarithm of prompt and
// answer lengths.
const lengthSigma = 0.6

// arrivals draws all jobs of a scenario, sorted by arrival.
func (s *Scenario) arrivals(seed uint64) []*Job {
	var jobs []*Job
	for i := range s.Sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		fromSource := s.sourceArrivals(&s.Sources[i], rng)
		for _, j := range fromSource {
			j.sourceNumber = i
		}
		jobs = append(jobs, fromSource...)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return a.Arrived.Compare(b.Arrived) })
	for i, j := range jobs {
		j.ID = i + 1
	}
	return jobs
}

// sourceArrivals draws a source's jobs: a Poisson process at the maximum rate,
// thinned to the rate at each time. Jobs that thinning drops are drawn too, so
// that the random numbers don't depend on the surge's times.
func (s *Scenario) sourceArrivals(src *Source, rng *rand.Rand) []*Job {
	var jobs []*Job
	maxRate := src.Rate * max(1, src.Surge.Factor)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= s.Duration {
			return jobs
		}
		j := s.drawJob(src, at, rng)
		if rng.Float64()*maxRate < src.rateAt(at) {
			jobs = append(jobs, j)
		}
	}
}

func (src *Source) rateAt(at time.Duration) float64 {
	if at >= src.Surge.From && at < src.Surge.To {
		return src.Rate * src.Surge.Factor
	}
	return src.Rate
}

func (s *Scenario) drawJob(src *Source, at time.Duration, rng *rand.Rand) *Job {
	caller := rng.IntN(max(1, src.Callers))
	j := &Job{
		Source:       src,
		Caller:       caller,
		Entry:        caller % s.Entries,
		PromptTokens: src.PrefixTokens + drawLength(src.MeanPromptTokens-src.PrefixTokens, rng),
		AnswerTokens: drawLength(src.MeanAnswerTokens, rng),
		Prefix:       -1,
		Arrived:      epoch.Add(at),
		Server:       -1,
	}
	if src.Prefixes > 0 {
		j.Prefix = rng.IntN(src.Prefixes)
	}
	j.Deadline = j.Arrived.Add(src.CallerTimeout)
	j.EstimatedWork = s.Fleet.work(src.MeanPromptTokens, src.MeanAnswerTokens)
	return j
}

// drawLength draws from a log-normal distribution with the given mean.
func drawLength(mean int, rng *rand.Rand) int {
	mu := math.Log(float64(max(1, mean))) - lengthSigma*lengthSigma/2
	return max(1, int(math.Exp(mu+lengthSigma*rng.NormFloat64())))
}
