// Package limit divides a workspace's limit among the entries so that together they
// never admit more than the limit and its burst, also during a network partition.
//
// Load pattern: a workspace sends many times its limit over many entries, while entries
// are partitioned, paused, restarted, or disagree about which entries are up.
//
// Without it an entry that can't reach the one that decides for all either refuses
// everything or admits requests on an estimate, which another entry may admit as well.
//
// Each entry has a share of every limit; the shares of all entries sum to at most 1. They are
// grants in the replicated log of the control replicas (Table), which the leader changes by the
// calls of the entries (Calls, Plan), and which an entry uses while a majority of the voters
// confirms them (Holder). An entry lends its share for the duration of a lease to the owner of the limit's pool, and
// does not use it meanwhile. The owner admits requests of all entries from the sum of the
// shares lent to it. An entry whose lease has expired uses its share itself. At any moment
// a share is in one pool only, so two entries that both act as owner divide the limit
// instead of doubling it.
//
// A pool is a token bucket whose rate and burst are the limit's, multiplied by the pool's
// sum of shares. So all pools together admit, in any window, at most the burst and what
// the rate adds in that window, except for tokens in transit (see MaxSavedAge).
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package limit
