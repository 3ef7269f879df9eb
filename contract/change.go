package contract

import "time"

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	ChangeApply      ChangeKind = iota + 1 // replaces the catalogue
	ChangeStopPlan                         // plans a stop
	ChangeStopCancel                       // cancels a planned stop by its id
)

// String returns the name of the kind in the history.
func (k ChangeKind) String() string {
	switch k {
	case ChangeApply:
		return "apply"
	case ChangeStopPlan:
		return "stop plan"
	case ChangeStopCancel:
		return "stop cancel"
	default:
		return "unknown"
	}
}

// Change is a change requested by an operator. ID is chosen by the operator's
// client, which reuses it when it resends the change. Base is the version that
// the change was made against; it is not compared for planning or cancelling a
// stop.
type Change struct {
	ID        string     `msgpack:"id"`
	By        string     `msgpack:"by"`
	At        time.Time  `msgpack:"at"` // when the leader received it, by the leader's clock
	Kind      ChangeKind `msgpack:"kind"`
	Base      uint64     `msgpack:"base"`
	Catalogue *Catalogue `msgpack:"cat,omitempty"`
	Stop      *Stop      `msgpack:"stop,omitempty"` // ChangeStopCancel uses only the ID
}

// Code is the outcome of a change.
type Code string

// The codes of a Result.
const (
	CodeAccepted Code = "accepted"
	CodeConflict Code = "conflict" // the base is not the version in force
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not_found"        // no stop with the id to cancel
	CodeReused   Code = "change_id_reused" // another change has the same id
)

// Result is the result of a change. A resend of the change gets the same result.
type Result struct {
	Code    Code   `json:"code" msgpack:"code"`
	Version uint64 `json:"version" msgpack:"ver"`                    // in force after the change
	Winner  *Entry `json:"winner,omitempty" msgpack:"win,omitempty"` // of a conflict: the change accepted on the same base
	Reason  string `json:"reason,omitempty" msgpack:"why,omitempty"`
}

// Entry is an accepted change in the history.
type Entry struct {
	Version  uint64    `json:"version" msgpack:"ver"`
	ChangeID string    `json:"changeId" msgpack:"id"`
	By       string    `json:"by" msgpack:"by"`
	At       time.Time `json:"at" msgpack:"at"`
	Kind     string    `json:"kind" msgpack:"kind"`
	Summary  []string  `json:"summary" msgpack:"sum"`
}
