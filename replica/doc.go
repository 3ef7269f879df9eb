// Package replica implements a replicated log: a small group of replicas agrees on
// one sequence of entries, and an acknowledged entry survives as long as a
// majority of the replicas keep their disks.
//
// Core is the consensus protocol as a deterministic state machine. It follows Raft
// (Ongaro and Ousterhout, 2014), with pre-vote, leadership transfer, single-server
// membership changes and parallel writes to the leader's disk from Ongaro's
// thesis. Its inputs are messages, clock readings and proposals; its output is
// Ready values. It starts no goroutines, reads no clock, does no I/O and takes
// random numbers from Config.Rand, so tests can simulate lost messages, frozen
// processes and restarts without a network.
//
// Package replica/storage stores a replica's state on disk. Package replica/host
// runs a Core with a storage, a transport and a state machine.
//
// A replica that has lost its disk must rejoin under a new id, as a learner. Under
// its old id it no longer has the entries that it acknowledged or its votes, and a
// leader without committed entries could be elected.
package replica
