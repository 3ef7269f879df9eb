package rollout

import "math"

// finding is what the answers say of the candidate.
type finding struct {
	fault  bool
	reason Reason
	route  string
}

// The hypotheses of the tests and their bounds.
const (
	// mostFault and leastFault bound the additional fraction of bad answers for which a test
	// looks: faultAnswers of those that it has.
	mostFault, leastFault = 0.1, 0.04
	faultAnswers          = 15
	// leastBad is the number of bad answers below which none counts as a fault: a server that
	// is reclaimed breaks off a few answers at once.
	leastBad = 3
	// mostRare and leastRare bound the fraction of bad answers that any healthy version may
	// have: rareAnswers of those that a test has.
	mostRare, leastRare = 0.02, 0.004
	rareAnswers         = 3
	// healthyAt is the ratio on each route at which the candidate counts as healthy.
	healthyAt = -4.0
	// leastLatencies is the number of answers on each side below which latencies do not count.
	leastLatencies = 10
	// slownessEffect is the distance from 1/2 of the share of slower answers under both
	// hypotheses, see slownessRatio.
	slownessEffect = 0.15
)

// limits are the log-likelihood ratios at which a test finds a fault.
type limits struct{ failures, slowness float64 }

// The limits by stage of a rollout.
var (
	// While there is time they are high: the answers are tested again and again, a reclaimed
	// server breaks off several answers at once, and the share bounds what waiting costs.
	earlyLimits  = limits{failures: 18, slowness: 10}
	recentLimits = limits{failures: 18, slowness: 10}
	// From the time on at which Shifting may begin.
	shiftLimits = limits{failures: 4, slowness: 8}
	// In Shifting there are many answers. Those of the stable servers are older, and the load
	// may have changed since.
	shiftingLimits       = limits{failures: 5, slowness: 10}
	shiftingRecentLimits = limits{failures: 18, slowness: math.Inf(1)}
	lastLimits           = limits{failures: 4, slowness: 10}
)

// stageLimits returns the limits for all answers and for the recent ones.
func stageLimits(in Input) (whole, recent limits) {
	switch {
	case in.Phase == Shifting && ends(in):
		return lastLimits, shiftingRecentLimits
	case in.Phase == Shifting:
		return shiftingLimits, shiftingRecentLimits
	case in.Elapsed >= in.Duration-lead(in.Duration):
		return shiftLimits, recentLimits
	}
	return earlyLimits, recentLimits
}

// examine tests the candidate on each route and on all of them together, over all of the
// rollout and over the recent time.
func examine(in Input) finding {
	whole, recent := stageLimits(in)
	f := examineRoutes(in.Routes, in.Routes, whole)
	if f.fault || in.Earlier == nil {
		return f
	}
	if r := examineRoutes(in.Routes, since(in.Routes, in.Earlier), recent); r.fault {
		return r
	}
	return f
}

// examineRoutes tests the answers of tested, whose routes are those of whole, which holds the
// answers of the whole rollout. Without a fault the candidate is healthy if it is so on each
// route.
func examineRoutes(whole, tested []RouteSample, l limits) finding {
	var all, allWhole RouteSample
	result := finding{reason: ReasonHealthy}
	for i := range tested {
		all.add(&tested[i])
		allWhole.add(&whole[i])
		f := examineRoute(&whole[i], &tested[i], l)
		if f.fault {
			return f
		}
		if f.reason != ReasonHealthy {
			result = f
		}
	}
	if f := examineRoute(&allWhole, &all, l); f.fault || f.reason != ReasonHealthy {
		return f
	}
	return result
}

func (r *RouteSample) add(o *RouteSample) {
	r.Stable.Add(&o.Stable)
	r.Candidate.Add(&o.Candidate)
}

func examineRoute(whole, r *RouteSample, l limits) finding {
	base := max(failureBase(&whole.Stable), failureBase(&r.Stable))
	failures := failureRatio(base, &r.Candidate)
	if failures >= l.failures && r.Candidate.Bad >= leastBad {
		return finding{fault: true, reason: ReasonFailures, route: r.Route}
	}
	slowness := slownessRatio(&r.Stable, &r.Candidate)
	if slowness >= l.slowness {
		return finding{fault: true, reason: ReasonSlow, route: r.Route}
	}
	if failures <= healthyAt && slowness <= healthyAt {
		return finding{reason: ReasonHealthy}
	}
	return finding{reason: ReasonCollecting}
}

// failureBase returns a fraction of bad answers that the stable servers hardly exceed.
func failureBase(stable *Sample) float64 {
	ended := float64(stable.Ended)
	base := (float64(stable.Bad) + 0.5) / (ended + 25)
	return base + math.Sqrt(base*(1-base)/(ended+1))
}

// failureRatio returns the log-likelihood ratio of a candidate that fails more often than
// base to one that fails as often.
func failureRatio(base float64, candidate *Sample) float64 {
	ended := float64(max(candidate.Ended, candidate.Bad))
	bad, good := float64(candidate.Bad), ended-float64(candidate.Bad)
	base = max(base, min(max(rareAnswers/(ended+1), leastRare), mostRare))
	faulty := base + min(max(faultAnswers/(ended+1), leastFault), mostFault)*(1-base)
	return bad*math.Log(faulty/base) + good*math.Log((1-faulty)/(1-base))
}

// slownessRatio returns the log-likelihood ratio of a candidate that takes twice as long
// until the first byte to one that takes as long as the stable servers. It counts how often
// an answer of the candidate is at least one bucket slower than one of a stable server: the
// bounds of a bucket differ by a factor between one and two.
func slownessRatio(stable, candidate *Sample) float64 {
	ns, nc := timed(stable), timed(candidate)
	if ns < leastLatencies || nc < leastLatencies {
		return 0
	}
	var slower, below float64
	for i := 1; i < LatencyBuckets; i++ {
		c := float64(candidate.Latency[i])
		s := float64(stable.Latency[i-1])
		slower += c * (below + s/2)
		below += s
	}
	share := slower / (ns * nc)
	// The variance of a rank statistic is about (1/ns + 1/nc)/12.
	variance := (1/ns + 1/nc) / 12
	return 2 * slownessEffect * (share - 0.5) / variance
}

// timed returns the number of answers whose latency counts.
func timed(s *Sample) float64 {
	var n float64
	for _, k := range s.Latency {
		n += float64(k)
	}
	return n
}
