package api

import (
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/quorum"
)

// MethodRevokeShares asks a voter, for the leader, not to confirm the grants of entries that are gone any more.
const MethodRevokeShares = "coordinator.shares.revoke"

// RevokeSharesRequest names the grants of entries that are gone, as far as the leader knows.
type RevokeSharesRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Grants []limit.Grant `msgpack:"grants"`
}

// RevokeSharesReply holds those of the grants that the voter does not confirm any more.
type RevokeSharesReply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Revoked []limit.Grant `msgpack:"revoked"`
	View    quorum.View   `msgpack:"view"` // read after Revoked
}
