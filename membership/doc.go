// Package membership replicates the set of instances among entries and control
// replicas by gossip: members (entries and control replicas), backend servers,
// and small shared records such as quarantined requests.
//
// Every record is a join-semilattice: ordered by incarnation, then merged field
// by field, where each field only grows (sequences) or is only ever set (the
// leaving and left flags). Replicas that have received the same messages, in any
// order and any number of times, hold the same record.
//
// Changes travel as deltas along rings. Each member orders all members by a hash
// of ring name, ring number and id, and pushes to its successor in each ring: two
// rings over its own region, two over all members. Every member thus has as many
// senders as receivers, without agreeing on a list of neighbours. Periodic
// comparison of digests (anti-entropy) repairs lost messages and partitions.
//
// Failures of members are detected as in SWIM: a silent neighbour is probed
// directly, then through other members, then suspected, and marked gone unless it
// refutes the suspicion by a higher sequence.
//
// A backend server sends its heartbeats to one entry, its home. Only changes are
// disseminated, since heartbeats of all servers would exceed the bandwidth budget.
// The home marks the server gone when it has received no heartbeat for
// Config.ServerTimeout. If the home itself is gone and no other entry has taken
// over, every entry treats the server as gone without disseminating it.
//
// The core is a deterministic state machine without I/O, clock or goroutines.
// Node runs it over package link.
package membership
