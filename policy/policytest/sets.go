package policytest

import "savoryreel.example/savoryreel/policy/retry"

// FirstComeLeastLoad is a baseline: first come, first served, at the server with
// the least reported load, without limits or expiry.
func FirstComeLeastLoad() *PolicySet {
	return &PolicySet{Name: "first come, least reported load", JobQueue: FIFO, Admitter: AdmitAll, Router: LeastReportedLoad}
}

// FirstComeRoundRobin is a baseline: first come, first served, with round robin
// over the servers and without limits. Expired jobs leave the queue.
func FirstComeRoundRobin() *PolicySet {
	return &PolicySet{Name: "first come with expiry, round robin", JobQueue: FIFOWithExpiry, Admitter: AdmitAll, Router: RoundRobin}
}

// FairQueueOnly is the fair queue without admission, limits or prefix affinity.
func FairQueueOnly() *PolicySet {
	return &PolicySet{Name: "fair queue only", JobQueue: FairQueue, Admitter: AdmitAll, Router: LeastEstimatedLoad}
}

// NoPrefixAffinity is AllDecisions with routing by load alone.
func NoPrefixAffinity(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Router = "all, routed by load alone", LeastEstimatedLoad
	return set
}

// EqualLimitShares is AllDecisions with each limit split equally among the
// entries.
func EqualLimitShares(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Exchange = "all, limits in equal parts", EqualShares(s)
	return set
}

// NoHedging is AllDecisions without hedging.
func NoHedging(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Hedge = "all, no hedging", false
	return set
}

// NoRetries is AllDecisions without retries and hedging. Jobs of reclaimed servers
// still resume.
func NoRetries(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.Retry, set.Hedge = "all, no retries", nil, false
	return set
}

// OneRetryClass is AllDecisions with retries decided as if all jobs were of class
// standard.
func OneRetryClass(s *Scenario) *PolicySet {
	set := AllDecisions(s)
	set.Name, set.OneRetryClass = "all, one class of retries", true
	return set
}

// AllDecisions is all decisions with their default configurations.
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
