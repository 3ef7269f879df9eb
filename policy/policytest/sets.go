package policytest

import "savoryreel.example/savoryreel/policy/retry"

// Arrival is first come first served at the server with the least reported load,
// without limits or expiry.
func FirstComeLeastLoad() *PolicySet {
	return &PolicySet{Name: "first come, least reported load", JobQueue: FIFO, Admitter: AdmitAll, Router: LeastReportedLoad}
}

// ArrivalRoundRobin is first come first served in turn at all servers, without
// limits; what expires leaves the queue.
func FirstComeRoundRobin() *PolicySet {
	return &PolicySet{Name: "first come with expiry, round robin", JobQueue: FIFOWithExpiry, Admitter: AdmitAll, Router: RoundRobin}
}

// FairOnly is the fair queue without admission, limits or affinity.
func FairQueueOnly() *PolicySet {
	return &PolicySet{Name: "fair queue only", JobQueue: FairQueue, Admitter: AdmitAll, Router: LeastEstimatedLoad}
}

// NoAffinity is all decisions, but routing by load alone.
func NoPrefixAffinity(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Router = "all, routed by load alone", LeastEstimatedLoad
	return set
}

// EqualLimits is all decisions, but limits split into equal parts.
func EqualLimitShares(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Exchange = "all, limits in equal parts", EqualShares(s)
	return set
}

// NoHedge is all decisions, but nothing is hedged.
func NoHedging(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Hedge = "all, no hedging", false
	return set
}

// NoRetry is all decisions, but what fails is not repeated.
func NoRetries(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Retry, set.Hedge = "all, no retries", nil, false
	return set
}

// OneClass is all decisions, but a retry of a batch job is decided like any
// other.
func OneRetryClass(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.OneRetryClass = "all, one class of retries", true
	return set
}

// All is all decisions with their default configurations.
func AllDecisions(s *Scenario) *PolicySet {
	return &PolicySet{
		Name: "all decisions", JobQueue: FairQueue, Admitter: PolicyAdmitter, Router: PolicyRouter, Retry: newRetryPolicy, Hedge: true,
		Exchange: LeasedShares(s),
	}
}

func newRetryPolicy() *retry.Policy {
	p, err := retry.New(retry.DefaultConfig())
	if err != nil {
		panic(err)
	}
	return p
}
