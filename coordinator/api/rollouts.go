package api

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/rollout"
)

// RolloutReport holds what the sender has observed of a rollout since it learned of it. The samples
// are cumulative, so a later report replaces an earlier one.
type RolloutReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64                `msgpack:"id"` // of the Rollout
	Service string                `msgpack:"s"`
	Routes  []rollout.RouteSample `msgpack:"r"`
}

// Rollout is the last rollout of a service.
type Rollout struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64        `msgpack:"id"` // unique for each order; a later order has a higher one
	Service string        `msgpack:"s"`
	To      string        `msgpack:"to"`   // the candidate version
	From    []string      `msgpack:"from"` // the versions that served when the rollout was ordered, sorted
	Phase   rollout.Phase `msgpack:"p"`
	// Retired holds the versions that earlier rollouts of the service have taken out of service.
	Retired []string `msgpack:"retired,omitempty"`
}

// Excludes reports whether servers of a version get no requests: those of a candidate that was rolled
// back, those that a completed rollout has replaced, and those retired earlier.
func (r *Rollout) Excludes(version string) bool {
	switch {
	case r.Phase == rollout.RolledBack && version == r.To, r.Phase == rollout.Completed && slices.Contains(r.From, version):
		return true
	default:
		return slices.Contains(r.Retired, version)
	}
}

// Newer reports whether r is a later state of a service's rollouts than other.
func (r *Rollout) Newer(other *Rollout) bool {
	if r.ID != other.ID {
		return r.ID > other.ID
	}
	return r.Phase > other.Phase
}

// StartRolloutRequest asks for a rollout of a service. A repeated request does not start another one.
type StartRolloutRequest struct {
	Service  string        `msgpack:"s"`
	To       string        `msgpack:"to"`
	Duration time.Duration `msgpack:"d"`  // from the order to its deadline
	At       time.Time     `msgpack:"at"` // when the operator's call arrived, by the clock of the replica that took it
}

// Refusal says why a rollout does not start.
type Refusal uint8

// The refusals. An accepted order has none.
const (
	RefusalNone Refusal = iota
	RefusalInvalid
	RefusalConflict // another rollout of the service is in progress
)

// StartRolloutReply is the outcome of an order. An order without a refusal is committed.
type StartRolloutReply struct {
	Refusal Refusal `msgpack:"refusal,omitempty"`
	Reason  string  `msgpack:"reason,omitempty"` // text of a refusal
}

// ReadRolloutsRequest asks the leader for the last rollouts of all services.
type ReadRolloutsRequest struct{}

// ReadRolloutsReply holds rollouts at least as new as any that was acknowledged before the request.
type ReadRolloutsReply struct {
	Rollouts []Rollout `msgpack:"rollouts"` // sorted by service
}

// RolloutReportsRequest asks another replica for the reports of some entries on a rollout.
type RolloutReportsRequest struct {
	ID      uint64   `msgpack:"id"`
	Service string   `msgpack:"s"`
	Entries []string `msgpack:"entries"` // names
}

// RolloutReportsReply holds the last report of each incarnation of these entries.
type RolloutReportsReply struct {
	Reports []EntryReport `msgpack:"reports"`
}

// EntryReport is the last report of an incarnation of an entry on a rollout.
type EntryReport struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Entry       string                `msgpack:"e"`
	Incarnation uint64                `msgpack:"i"`
	Routes      []rollout.RouteSample `msgpack:"r"`
}
