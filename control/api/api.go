// Package api defines the methods and messages that control replicas and their
// clients exchange over a link, the operators' HTTP API, and a client that finds
// the leader.
package api

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
)

// Methods of a control replica's link server.
const (
	MethodVersion      = "control.version"
	MethodVoters       = "control.voters"
	MethodCatalogue    = "control.catalogue.part" // document.Request, returns a document.Part of an encoded CatalogueReply
	MethodPropose      = "control.propose"
	MethodStatus       = "control.status"
	MethodBarrier      = "control.barrier"
	MethodLeases       = "control.leases"     // admit.Report to the leader, returns an admit.Reply
	MethodReplica      = "control.replica"    // replica.Message between replicas, as a notice
	MethodServerTokens = "control.tokens"     // throttle.Request to the leader, returns a throttle.Reply
	MethodChange       = "control.change"     // ReplicaChange to the leader, returns a ReplicaStatus
	MethodQuarantine   = "control.quarantine" // QuarantineRequest, returns a QuarantineReply
)

// ProposalKind names the state machine that a proposal is for. Its values are
// stored as the kinds of the replicated log's entries.
type ProposalKind uint8

// The kinds of proposal.
const (
	KindCatalogue  ProposalKind = 16 // a contract.Change
	KindLedger     ProposalKind = 17 // a ledger.Command
	KindReplica    ProposalKind = 18 // a ReplicaCommand
	KindFleet      ProposalKind = 19 // a fleet.Command; proposed by the leader itself, not over a link
	KindQuarantine ProposalKind = 20 // a QuarantineCommand
)

// Error codes of a control replica's replies.
const (
	CodeNoLeader       = "no_leader"       // no leader was reached; the proposal was not appended
	CodeOutcomeUnknown = "outcome_unknown" // the proposal may be committed already or later
	CodeBusy           = "busy"            // too many proposals, or a change of replicas, pending; not appended
	CodeInvalid        = "invalid"         // malformed or refused; a retry gets the same reply
	CodeNotCaughtUp    = "not_caught_up"   // the learner is too far behind to be promoted; nothing changed
)

// VersionRequest requests the index of a replica's newest catalogue change.
type VersionRequest struct{}

// VersionReply describes a replica's log. Index is the log index of its newest
// catalogue change, committed or not. An accepted change is in the logs of a
// majority, so in any majority at least one replica reports its index or a later
// one.
//
// Set is the VotersHash of the replica's current voters; a client compares it with
// the voters that it has called. Quarantine is like Index, for QuarantineCommands. The
// reply is encoded as an array to keep it small: each replica sends two a second to every
// entry.
type VersionReply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica    string
	Index      uint64
	Set        uint64
	Quarantine uint64
}

// EncodeMsgpack encodes the numbers in as few bytes as they need.
func (r VersionReply) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(
		enc.EncodeArrayLen(4),
		enc.EncodeString(r.Replica),
		enc.EncodeUint(r.Index),
		enc.EncodeUint(r.Set),
		enc.EncodeUint(r.Quarantine),
	)
}

// VotersRequest requests a replica's current voters.
type VotersRequest struct{}

// VotersReply lists a replica's current voters. VotersIndex is the log index of
// the entry that set them, and Term the term of the log's last entry.
type VotersReply struct {
	Term        uint64           `msgpack:"term"`
	VotersIndex uint64           `msgpack:"mem"`
	Voters      []ReplicaAddress `msgpack:"voters"`
}

// CatalogueRequest requests the catalogue if its index is above KnownIndex,
// or in any case if KnownIndex is 0.
type CatalogueRequest struct {
	KnownIndex uint64 `msgpack:"have"`
}

// CatalogueReply is the catalogue as one replica has applied it. If Unchanged is
// set, the replica has none newer than the requested index, and only Index is set.
type CatalogueReply struct {
	Unchanged bool               `msgpack:"same"`
	Index     uint64             `msgpack:"idx"`
	Version   uint64             `msgpack:"ver"`
	Catalogue contract.Catalogue `msgpack:"cat"`
	Stops     []contract.Stop    `msgpack:"stops"`
}

// ProposeRequest proposes a change of the replicated state. Forwarded is set once a
// replica has forwarded the request. It is forwarded at most once: otherwise two
// replicas that each take the other for the leader would send it back and forth.
type ProposeRequest struct {
	Kind      ProposalKind       `msgpack:"kind"`
	Data      msgpack.RawMessage `msgpack:"data"`
	Forwarded bool               `msgpack:"fwd"`
}

// ProposeReply contains the state machine's result, msgpack-encoded: a
// contract.Result or a ledger.Result.
type ProposeReply struct {
	Result msgpack.RawMessage `msgpack:"res"`
}

// BarrierRequest requests from the leader the log index up to which a follower must
// have applied the log before it may serve a read.
type BarrierRequest struct{}

// BarrierReply contains that log index: every change accepted before the request is
// at Index or below.
type BarrierReply struct {
	Index uint64 `msgpack:"idx"`
}

// StatusRequest requests a replica's status.
type StatusRequest struct{}

// ReplicaStatus is the state of one replica, as the status command shows it. Error
// is set if the replica could not be reached; ID is then its address.
type ReplicaStatus struct {
	ID               string   `json:"id" msgpack:"id"`
	Role             string   `json:"role" msgpack:"role"`
	Term             uint64   `json:"term" msgpack:"term"`
	Leader           string   `json:"leader" msgpack:"leader"`
	LastIndex        uint64   `json:"lastIndex" msgpack:"last"`
	CommitIndex      uint64   `json:"commitIndex" msgpack:"commit"`
	AppliedIndex     uint64   `json:"appliedIndex" msgpack:"applied"`
	CatalogueVersion uint64   `json:"catalogueVersion" msgpack:"cat"`
	LedgerRecords    int      `json:"ledgerRecords" msgpack:"ledger"`
	Voters           []uint64 `json:"voters" msgpack:"voters"`
	Learners         []uint64 `json:"learners,omitempty" msgpack:"learners"`
	Error            string   `json:"error,omitempty" msgpack:"-"`
}
