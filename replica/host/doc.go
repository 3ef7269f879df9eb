// Package host runs one replica: a replica.Core with its storage, its transport
// and a state machine.
//
// One goroutine, in Run, owns all of them. Callers hand it proposals and reads
// through bounded queues. Whatever has queued up while the disk synced goes into
// the next round together: one sync and one message to each replica for many
// proposals.
package host
