// Package api holds what control replicas and their clients say to each other
// over a link: the methods, the messages, and a client that finds its way to
// the leader.
package api

import (
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
)

// Methods of a control replica's link server.
const (
	MethodVersion   = "control.version"
	MethodVoters    = "control.voters"
	MethodCatalogue = "control.catalogue"
	MethodPropose   = "control.propose"
	MethodStatus    = "control.status"
	MethodBarrier   = "control.barrier"
	MethodLeases    = "control.leases"  // admit.Report to the leader, admit.Reply back
	MethodReplica   = "control.replica" // notices between replicas
	MethodChange    = "control.change"  // ReplicaChange to the leader, ReplicaStatus back
)

// ProposalKind says which state machine a proposal is for. The numbers are
// those of the replicated log's entries.
type ProposalKind uint8

// The kinds of proposal.
const (
	KindCatalogue ProposalKind = 16 // a contract.Change
	KindLedger    ProposalKind = 17 // a ledger.Command
	KindReplica   ProposalKind = 18 // a ReplicaCommand
	KindFleet     ProposalKind = 19 // a fleet.Command; by the leader itself, not over a link
)

// Error codes of a control replica's answers.
const (
	CodeNoLeader       = "no_leader"       // surely not appended
	CodeOutcomeUnknown = "outcome_unknown" // it may yet be committed
	CodeBusy           = "busy"            // surely not appended
	CodeInvalid        = "invalid"
	CodeNotCaughtUp    = "not_caught_up" // the learner lacks too much to be promoted; nothing was done
)

// VersionRequest asks a replica how far its log goes.
type VersionRequest struct{}

// VersionReply says how far a replica's log goes. Index is the log index of its
// newest catalogue change, committed or not: an accepted change is in the log
// of a majority, so among any majority one replica names its index or a later one.
//
// Set is the SetOf the voters that this replica has in force: who asks learns of
// a change of them from any replica that has it. It goes out as an array, since
// every entry gets one of these from every replica each second.
type VersionReply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica string
	Index   uint64
	Set     uint64
}

// VotersRequest asks a replica for its voters.
type VotersRequest struct{}

// VotersReply names the voters that a replica has in force. Members is the log
// index of that set and Term the term of the log's last entry.
type VotersReply struct {
	Term        uint64           `msgpack:"term"`
	VotersIndex uint64           `msgpack:"mem"`
	Voters      []ReplicaAddress `msgpack:"voters"`
}

// CatalogueRequest asks for the catalogue in force unless Have is its index.
type CatalogueRequest struct {
	KnownIndex uint64 `msgpack:"have"`
}

// CatalogueReply is the catalogue as one replica has applied it. Unchanged says
// that it has nothing newer than the index asked with.
type CatalogueReply struct {
	Unchanged bool               `msgpack:"same"`
	Index     uint64             `msgpack:"idx"`
	Version   uint64             `msgpack:"ver"`
	Catalogue contract.Catalogue `msgpack:"cat"`
	Stops     []contract.Stop    `msgpack:"stops"`
}

// ProposeRequest asks for a change of the replicated state. Forwarded marks a
// request that a replica has passed on once; it is not passed on again, so that
// two replicas that each take the other for the leader cannot send it in a circle.
type ProposeRequest struct {
	Kind      ProposalKind       `msgpack:"kind"`
	Data      msgpack.RawMessage `msgpack:"data"`
	Forwarded bool               `msgpack:"fwd"`
}

// ProposeReply carries the state machine's result, msgpack-encoded: a
// contract.Result or a ledger.Result.
type ProposeReply struct {
	Result msgpack.RawMessage `msgpack:"res"`
}

// BarrierRequest asks the leader for a point up to which a follower must have
// applied the log before it may answer a read.
type BarrierRequest struct{}

// BarrierReply names that point: everything accepted before the request is at or
// before Index.
type BarrierReply struct {
	Index uint64 `msgpack:"idx"`
}

// StatusRequest asks a replica for its state.
type StatusRequest struct{}

// ReplicaStatus is one replica as status shows it.
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
