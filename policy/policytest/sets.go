package policytest

import "savoryreel.example/savoryreel/policy/retry"

// Arrival is first come first served at the server with the least reported load,
// without limits or expiry.
func Arrival() *Set {
	return &Set{Name: "first come, least reported load", Line: FIFO, Gate: Open, Router: LeastReported}
}

// ArrivalRoundRobin is first come first served in turn at all servers, without
// limits; what expires leaves the queue.
func ArrivalRoundRobin() *Set {
	return &Set{Name: "first come with expiry, round robin", Line: FIFOWithExpiry, Gate: Open, Router: RoundRobin}
}

// FairOnly is the fair queue without admission, limits or affinity.
func FairOnly() *Set {
	return &Set{Name: "fair queue only", Line: Fair, Gate: Open, Router: LeastBelieved}
}

// NoAffinity is all decisions, but routing by load alone.
func NoAffinity(s *Scenario) *Set {
	set := All(s)
	set.Name, set.Router = "all, routed by load alone", LeastBelieved
	return set
}

// EqualLimits is all decisions, but limits split into equal parts.
func EqualLimits(s *Scenario) *Set {
	set := All(s)
	set.Name, set.Exchange = "all, limits in equal parts", EqualShares(s)
	return set
}

// NoHedge is all decisions, but nothing is hedged.
func NoHedge(s *Scenario) *Set {
	set := All(s)
	set.Name, set.Hedge = "all, no hedging", false
	return set
}

// NoRetry is all decisions, but what fails is not repeated.
func NoRetry(s *Scenario) *Set {
	set := All(s)
	set.Name, set.Retry, set.Hedge = "all, no retries", nil, false
	return set
}

// OneClass is all decisions, but a retry of a batch job is decided like any
// other.
func OneClass(s *Scenario) *Set {
	set := All(s)
	set.Name, set.OneClass = "all, one class of retries", true
	return set
}

// All is all decisions with their default configurations.
func All(s *Scenario) *Set {
	return &Set{
		Name: "all decisions", Line: Fair, Gate: Learnt, Router: Routed, Retry: budgeted, Hedge: true,
		Exchange: LeasedShares(s),
	}
}

func budgeted() *retry.Policy {
	p, err := retry.New(retry.DefaultConfig())
	if err != nil {
		panic(err)
	}
	return p
}
