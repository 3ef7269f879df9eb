// Package load puts a bounded load on the entries of a system, or on a model
// engine directly, and measures what callers get.
//
// The load is open loop: when each request should start is settled beforehand,
// by a seeded Poisson process per part, and does not depend on how fast earlier
// ones were answered. All latencies count from that intended start. A closed
// loop would ask less of a slow system and so hide how slow it is (coordinated
// omission); here a request that starts late because all callers are busy has
// waited in the system's name.
//
// A caller of this package does what the system asks of its callers: it keeps
// the list of entries for as long as it is valid, goes on to the next one when no
// connection is made, follows a temporary redirect, and takes a broken stream up
// again with Last-Event-ID where its events had ids. It never sends a refused
// request again.
package load
