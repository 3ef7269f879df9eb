package api

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/replica/roster"
)

// MaxReplicas bounds the replicas whose addresses the state holds.
const MaxReplicas = roster.MaxReplicas

// ReplicaAddress is where a control replica takes links.
type ReplicaAddress = roster.Member

// ReplicaAction names a change of the replica set.
type ReplicaAction string

// The actions. A replica is added as a learner, which counts for nothing, and is
// promoted once it has caught up.
const (
	ReplicaAdd     ReplicaAction = "add"
	ReplicaPromote ReplicaAction = "promote"
	ReplicaRemove  ReplicaAction = "remove"
)

// ReplicaChange is the body of POST /v1/replicas: one change of the replica set.
// Address goes with ReplicaAdd. A change that is in force already is answered
// like one that was made, so it may be sent again.
type ReplicaChange struct {
	ID        uint64        `json:"id" msgpack:"id"`
	Address   string        `json:"address,omitempty" msgpack:"addr"` // ip:port
	Action    ReplicaAction `json:"action" msgpack:"act"`
	Forwarded bool          `json:"-" msgpack:"fwd"` // passed on once, by a replica that does not lead
}

// ReplicaCommand notes a replica's address in the replicated state before it is
// added, or that its id is not to be used again.
type ReplicaCommand struct {
	ID      uint64 `msgpack:"id"`
	Address string `msgpack:"addr"` // empty: the replica is removed
}

// ReplicaResult is the state machine's answer to a ReplicaCommand. Refused is
// empty if the command took hold.
type ReplicaResult struct {
	Refused string `msgpack:"refused"`
}

// SetOf returns a number for a set of voters, by their link addresses in any
// order. It keeps the answers to an asker that knows the set short.
func VotersHash(addresses []string) uint64 {
	return xxhash.Sum64String(strings.Join(slices.Sorted(slices.Values(addresses)), ","))
}

// AddressesOf lists the addresses of replicas.
func Addresses(replicas []ReplicaAddress) []string {
	addresses := make([]string, 0, len(replicas))
	for _, r := range replicas {
		addresses = append(addresses, r.Address)
	}
	return addresses
}
