package contract

import "time"

// ChangeKind says what a change does.
type ChangeKind uint8

// The kinds of change.
const (
	ChangeApply      ChangeKind = iota + 1 // replaces the catalogue
	ChangeStopPlan                         // plans a stop
	ChangeStopCancel                       // cancels a planned stop by its id
)

// String names the kind as the history shows it.
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

// Change is one operator's change. ID is chosen by the operator's client and
// stays the same when it resends: a resend gets the first result. Base is the
// version the change was made against; planning and cancelling a stop commute
// with other changes, so their Base is not compared.
type Change struct {
	ID        string     `msgpack:"id"`
	By        string     `msgpack:"by"`
	At        time.Time  `msgpack:"at"` // when the leader took it, by its clock
	Kind      ChangeKind `msgpack:"kind"`
	Base      uint64     `msgpack:"base"`
	Catalogue *Catalogue `msgpack:"cat,omitempty"`
	Stop      *Stop      `msgpack:"stop,omitempty"` // for a cancel only its ID counts
}

// Code says how a change ended.
type Code string

// The codes of a Result.
const (
	CodeAccepted Code = "accepted"
	CodeConflict Code = "conflict" // another change took this version first
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not_found" // no such stop to cancel
	CodeReused   Code = "change_id_reused"
)

// Result answers a change. A resend of the same change gets the same result.
type Result struct {
	Code    Code   `json:"code" msgpack:"code"`
	Version uint64 `json:"version" msgpack:"ver"` // the version in force after the change
	Winner  *Entry `json:"winner,omitempty" msgpack:"win,omitempty"`
	Reason  string `json:"reason,omitempty" msgpack:"why,omitempty"`
}

// Entry is one accepted change as the history shows it.
type Entry struct {
	Version  uint64    `json:"version" msgpack:"ver"`
	ChangeID string    `json:"changeId" msgpack:"id"`
	By       string    `json:"by" msgpack:"by"`
	At       time.Time `json:"at" msgpack:"at"`
	Kind     string    `json:"kind" msgpack:"kind"`
	Summary  []string  `json:"summary" msgpack:"sum"`
}
