package contract

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// HistoryLength is the maximum number of accepted changes in the history, and of
// changes whose result is stored to detect a resend.
const HistoryLength = 2048

// State is the replicated state machine of the catalogue: the version in force,
// the planned stops, the history, and the results of recent changes. It is
// deterministic: replicas that apply the same changes in the same order have
// equal States. It is not safe for concurrent use.
type State struct {
	version     uint64
	catalogue   Catalogue
	stops       []Stop                  // sorted by id
	history     []Entry                 // oldest first
	results     map[string]storedResult // by change id
	resultOrder []string                // ids of the changes in results, oldest first
}

type storedResult struct {
	Digest string `msgpack:"d"` // of the change; distinguishes a resend from a reused id
	Result Result `msgpack:"r"`
}

// NewState returns the empty State, at version 0.
func NewState() *State {
	return &State{results: map[string]storedResult{}}
}

// Version returns the version of the catalogue: the number of accepted changes.
func (s *State) Version() uint64 { return s.version }

// Catalogue returns the catalogue in force. The caller must not change it.
func (s *State) Catalogue() Catalogue { return s.catalogue }

// Stops returns a copy of the planned stops, sorted by id.
func (s *State) Stops() []Stop { return slices.Clone(s.stops) }

// History returns up to n of the latest accepted changes, newest first.
func (s *State) History(n int) []Entry {
	out := slices.Clone(s.history[max(0, len(s.history)-n):])
	slices.Reverse(out)
	return out
}

// Apply applies one change and returns its result. A change that is resent, for
// example after a lost response, gets the result of its first application while
// that is stored (HistoryLength); otherwise it would conflict with itself.
func (s *State) Apply(c Change) Result {
	digest := changeDigest(c)
	if stored, resent := s.results[c.ID]; resent {
		if stored.Digest != digest {
			return Result{Code: CodeReused, Version: s.version, Reason: "this change id belongs to another change"}
		}
		return stored.Result
	}
	r := s.apply(c)
	s.storeResult(c.ID, storedResult{Digest: digest, Result: r})
	return r
}

func (s *State) apply(c Change) Result {
	switch c.Kind {
	case ChangeApply:
		return s.applyCatalogue(c)
	case ChangeStopPlan:
		return s.planStop(c)
	case ChangeStopCancel:
		return s.cancelStop(c)
	default:
		return s.refuse(CodeInvalid, fmt.Sprintf("unknown kind of change %d", c.Kind))
	}
}

func (s *State) applyCatalogue(c Change) Result {
	if c.Catalogue == nil {
		return s.refuse(CodeInvalid, "no catalogue in the change")
	}
	if err := c.Catalogue.Validate(); err != nil {
		return s.refuse(CodeInvalid, err.Error())
	}
	if c.Base != s.version {
		return s.refuseConflict(c)
	}
	var summary []string
	for _, d := range Diff(s.catalogue, *c.Catalogue) {
		summary = append(summary, d.String())
	}
	s.catalogue = *c.Catalogue
	return s.accept(c, summary)
}

// refuseConflict refuses a change whose base is not the version in force, since
// it would undo the changes in between. The result names the change that was
// accepted on the same base, if the history still contains it.
func (s *State) refuseConflict(c Change) Result {
	r := s.refuse(CodeConflict, fmt.Sprintf("made against version %d, in force is %d", c.Base, s.version))
	for i := range s.history {
		if s.history[i].Version == c.Base+1 {
			winner := s.history[i]
			r.Winner = &winner
		}
	}
	return r
}

func (s *State) planStop(c Change) Result {
	if c.Stop == nil {
		return s.refuse(CodeInvalid, "no stop in the change")
	}
	if err := c.Stop.Validate(); err != nil {
		return s.refuse(CodeInvalid, err.Error())
	}
	index, found := s.findStop(c.Stop.ID)
	if found {
		return s.refuse(CodeInvalid, fmt.Sprintf("stop %q is planned already", c.Stop.ID))
	}
	stop := *c.Stop
	if stop.From.IsZero() {
		stop.From = c.At
	}
	s.stops = slices.Insert(s.stops, index, stop)
	return s.accept(c, []string{"stop " + c.Stop.ID + ": " + string(c.Stop.Scope) + " " + c.Stop.Name})
}

func (s *State) cancelStop(c Change) Result {
	if c.Stop == nil {
		return s.refuse(CodeInvalid, "no stop in the change")
	}
	at, found := s.findStop(c.Stop.ID)
	if !found {
		return s.refuse(CodeNotFound, fmt.Sprintf("no stop %q is planned", c.Stop.ID))
	}
	s.stops = slices.Delete(s.stops, at, at+1)
	return s.accept(c, []string{"stop " + c.Stop.ID + ": cancelled"})
}

func (s *State) findStop(id string) (int, bool) {
	return slices.BinarySearchFunc(s.stops, id, func(s Stop, id string) int {
		switch {
		case s.ID < id:
			return -1
		case s.ID > id:
			return 1
		default:
			return 0
		}
	})
}

func (s *State) accept(c Change, summary []string) Result {
	s.version++
	s.history = append(s.history, Entry{
		Version: s.version, ChangeID: c.ID, By: c.By, At: c.At, Kind: c.Kind.String(), Summary: summary,
	})
	if len(s.history) > HistoryLength {
		s.history = slices.Delete(s.history, 0, len(s.history)-HistoryLength)
	}
	return Result{Code: CodeAccepted, Version: s.version}
}

func (s *State) refuse(code Code, reason string) Result {
	return Result{Code: code, Version: s.version, Reason: reason}
}

func (s *State) storeResult(changeID string, r storedResult) {
	s.results[changeID] = r
	s.resultOrder = append(s.resultOrder, changeID)
	if len(s.resultOrder) > HistoryLength {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = slices.Delete(s.resultOrder, 0, 1)
	}
}

// changeDigest returns a hash of the change as its operator sent it, without its time. A
// replica that takes a change must add nothing else to it: a resend through another
// replica would be another change.
func changeDigest(c Change) string {
	c.At = time.Time{}
	enc, err := msgpack.Marshal(&c)
	if err != nil {
		return "unencodable: " + err.Error()
	}
	return string(HashKey(string(enc)))
}

// stateSnapshot is the encoding of a State.
type stateSnapshot struct {
	Version   uint64                  `msgpack:"version"`
	Catalogue Catalogue               `msgpack:"catalogue"`
	Stops     []Stop                  `msgpack:"stops"`
	History   []Entry                 `msgpack:"history"`
	Results   map[string]storedResult `msgpack:"results"`
	Order     []string                `msgpack:"order"`
}

// Snapshot returns the encoded State.
func (s *State) Snapshot() ([]byte, error) {
	enc, err := msgpack.Marshal(&stateSnapshot{
		Version: s.version, Catalogue: s.catalogue, Stops: s.stops,
		History: s.history, Results: s.results, Order: s.resultOrder,
	})
	return enc, trace.Wrap(err, "step=snapshot catalogue")
}

// RestoreState decodes a State that Snapshot encoded.
func RestoreState(enc []byte) (*State, error) {
	var s stateSnapshot
	if err := msgpack.Unmarshal(enc, &s); err != nil {
		return nil, trace.Wrap(err, "step=restore catalogue")
	}
	if s.Results == nil {
		s.Results = map[string]storedResult{}
	}
	return &State{
		version: s.Version, catalogue: s.Catalogue, stops: s.Stops,
		history: s.History, results: s.Results, resultOrder: s.Order,
	}, nil
}
