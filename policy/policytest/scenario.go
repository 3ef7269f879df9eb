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
	Warmup   time.Duration // what arrives before is not counted
	Entries  int
	Fleet    Fleet
	Sources  []Source
	Faults   []Fault
}

// Fleet is the backend servers.
type Fleet struct {
	Servers        int
	Zones          int // server i is in zone i modulo Zones
	Slots          int // of each server
	PrefillRate    float64
	TokenInterval  time.Duration // between tokens on an idle server
	FullSlowdown   float64       // part by which a full server's gap is longer
	CacheTokens    int           // prefix cache of each server
	ReportInterval time.Duration
	ReportDelay    time.Duration
}

// fullGap is the time between tokens on a server whose slots are all taken.
func (f *Fleet) fullTokenInterval() time.Duration {
	return time.Duration(float64(f.TokenInterval) * (1 + f.FullSlowdown))
}

// slotTime is how long a job holds a slot of a full server.
func (f *Fleet) slotTime(uncached, answer int) time.Duration {
	prefill := time.Duration(float64(uncached) / f.PrefillRate * float64(time.Second))
	return prefill + time.Duration(answer)*f.fullTokenInterval()
}

// work is slotTime in tokens of answer, the unit of the policies' costs.
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
	Callers             int // each keeps to one entry
	MeanPromptTokens    int // mean tokens, the shared prefix included
	MeanAnswerTokens    int // mean tokens
	Prefixes            int // shared prefixes; 0: none
	PrefixTokens        int // tokens of each
	FirstTokenTarget    time.Duration
	TokenIntervalTarget time.Duration
	CallerTimeout       time.Duration // callers leave after it
}

// Surge multiplies a source's rate for a time.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Fault is something that happens to backend servers.
type Fault struct {
	Kind    FaultKind
	At      time.Duration
	Until   time.Duration // SlowServer and FailingServer
	Servers []int
	Factor  float64 // SlowServer: how many times slower
}

// FaultKind tells faults apart.
type FaultKind uint8

// The kinds of fault.
const (
	SlowServer    FaultKind = iota
	FailingServer           // each attempt fails after failAfter
	Reclaim                 // the servers are gone; what ran there goes on elsewhere
)

var epoch = time.Unix(1_700_000_000, 0)

// spreadOfLengths is the standard deviation of the logarithm of prompt and
// answer lengths.
const lengthSigma = 0.6

// arrivals draws all jobs of a scenario, by time.
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

// stream draws a Poisson process at the highest rate and thins it out.
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

// length draws from a log-normal distribution with this mean.
func drawLength(mean int, rng *rand.Rand) int {
	mu := math.Log(float64(max(1, mean))) - lengthSigma*lengthSigma/2
	return max(1, int(math.Exp(mu+lengthSigma*rng.NormFloat64())))
}
