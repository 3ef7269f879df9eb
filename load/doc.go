// Package load is a load generator: it sends requests to the entries of a
// system, or directly to a model engine, and measures outcomes and latencies.
//
// The load is open loop: a seeded Poisson process per part fixes the intended
// start of each request in advance, independently of how fast earlier requests
// are answered. All latencies are measured from the intended start, so the time
// that a request waits for a free caller is included. A closed loop would send
// fewer requests to a slow system and underestimate its latency (coordinated
// omission).
//
// Callers follow the client protocol: they cache the list of entries for its
// TTL, try the next entry if no connection can be made, follow temporary
// redirects, and resume a broken stream with Last-Event-ID if its events have
// IDs. They never retry a refused request.
package load
