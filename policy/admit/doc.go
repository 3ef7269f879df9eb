// Package admit decides whether an entry admits a request. It is for three
// patterns of load: a workspace that exceeds its limits, demand above the
// capacity of the backend servers, and an entry that has lost its connection
// to the control leader while callers still reach it.
//
// Without it, each entry would allow a workspace its whole limit, so seven
// entries would allow seven times the limit; requests would queue past their
// deadlines; and all refused callers would retry in the same second.
//
// The decision has two parts. On the control leader, Shares divides each
// workspace's limits among the entries by observed demand and grants the
// shares as leases. On each entry, Admitter enforces the leased amounts and
// refuses requests that the queue cannot start within their deadline or
// objective, as estimated by DrainEstimator.
//
// All requests of a workspace at an entry must go through the same Admitter,
// because limits apply across all services. Each set of interchangeable
// backend servers has its own DrainEstimator.
//
// The package uses neither a clock nor a source of randomness: the caller
// passes in both. Its types are not safe for concurrent use; the caller must
// hold a lock. A refusal is immediate and final.
package admit
