// Package host runs one replica: a replica.Core with its storage, its transport
// and a state machine.
//
// The goroutine that calls Run owns all of them. Callers pass proposals and reads
// to it through bounded queues. All proposals that are queued while the disk syncs
// are handled in the next round as one batch, with one sync and one message to
// each replica.
package host
