package api

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/replica/roster"
)

// MaxReplicas is the maximum number of replica addresses in the replicated state.
const MaxReplicas = roster.MaxReplicas

// ReplicaAddress is the id and link address of a control replica.
type ReplicaAddress = roster.Member

// ReplicaAction is the kind of a change of the replica set.
type ReplicaAction string

// The actions. A replica is added as a learner, which does not vote, and can be
// promoted to a voter once it has caught up.
const (
	ReplicaAdd     ReplicaAction = "add"
	ReplicaPromote ReplicaAction = "promote"
	ReplicaRemove  ReplicaAction = "remove"
)

// ReplicaChange is the body of POST /v1/replicas: one change of the replica set.
// Address is used with ReplicaAdd only. A change that is in force already succeeds,
// so that it may be retried.
type ReplicaChange struct {
	ID        uint64        `json:"id" msgpack:"id"`
	Address   string        `json:"address,omitempty" msgpack:"addr"` // ip:port
	Action    ReplicaAction `json:"action" msgpack:"act"`
	Forwarded bool          `json:"-" msgpack:"fwd"` // a follower has forwarded it; it is not forwarded again
}

// ReplicaCommand records a replica's address in the replicated state before the
// replica is added, or removes the address and retires the id.
type ReplicaCommand struct {
	ID      uint64 `msgpack:"id"`
	Address string `msgpack:"addr"` // empty: the replica is removed
}

// ReplicaResult is the state machine's result of a ReplicaCommand. Refused is the
// reason why the command was refused, or empty.
type ReplicaResult struct {
	Refused string `msgpack:"refused"`
}

// VotersHash returns a hash of the voters' link addresses, independent of their
// order. A VersionReply contains it in place of the addresses, to stay small.
func VotersHash(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(addresses)), ","))
}

// Addresses returns the link addresses of replicas, in their order.
func Addresses(replicas []ReplicaAddress) []string {
	addresses := make([]string, 0, len(replicas))
	for _, r := range replicas {
		addresses = append(addresses, r.Address)
	}
	return addresses
}
