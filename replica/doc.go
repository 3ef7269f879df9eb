// Package replica is a replicated log: a small set of replicas agree on one
// sequence of entries, and an entry that was acknowledged is never lost while a
// majority of the replicas keep their disks.
//
// Core is the whole protocol as one deterministic state machine, after Raft
// (Ongaro and Ousterhout, 2014; Ongaro's thesis for pre-vote, leadership
// transfer, single-step membership change and writing to the leader's disk in
// parallel). Messages, clock readings and proposals go in; Ready values come
// out. It has no goroutine, clock, I/O or randomness of its own, so tests drive
// it with lost messages, frozen replicas and restarts without a network.
//
// Package replica/storage keeps a replica's state on disk, and package
// replica/host runs a Core with a storage, a transport and a state machine.
//
// A replica that has lost its disk must come back under a new id, as a learner.
// Under its old id it would have forgotten which entries it acknowledged and
// for whom it voted, and a second leader could be elected without those entries.
package replica
