package contract

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// HistoryLength bounds the changes that a State remembers, and with them the
// time within which a resend is known for one: at 580 changes a day, three and
// a half days.
const HistoryLength = 2048

// State is the state machine of the catalogue: the version in force, the
// planned stops, the history, and the results of recent changes. It is
// deterministic, so every replica that applies the same changes in the same
// order holds the same State. It is not safe for concurrent use.
type State struct {
	version     uint64
	catalogue   Catalogue
	stops       []Stop // by id
	history     []Entry
	results     map[string]storedResult
	resultOrder []string // change ids, oldest first
}

type storedResult struct {
	Digest string `msgpack:"d"` // of the change, to tell a resend from a reused id
	Result Result `msgpack:"r"`
}

// NewState returns the empty State, at version 0.
func NewState() *State {
	return &State{results: map[string]storedResult{}}
}

// Version is the number of the last accepted change.
func (s *State) Version() uint64 { return s.version }

// Catalogue returns the catalogue in force. The caller must not change it.
func (s *State) Catalogue() Catalogue { return s.catalogue }

// Stops returns the planned stops in force, by id.
func (s *State) Stops() []Stop { return slices.Clone(s.stops) }

// History returns the newest n accepted changes, newest first.
func (s *State) History(n int) []Entry {
	out := slices.Clone(s.history[max(0, len(s.history)-n):])
	slices.Reverse(out)
	return out
}

// Apply takes one change and says how it ended. Resent after a lost answer, a
// change would otherwise be refused as a conflict with itself, and its operator
// would believe that it had not taken hold; so the first result is kept by
// change id and given again.
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

// conflict answers a change made against another version than the one in
// force: of two changes with equal versions the first wins, and the other
// operator sees which change won in place of silently undoing it.
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
	s.stops = slices.Insert(s.stops, index, *c.Stop)
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

// changeDigest identifies what a change asks for, apart from the time at which
// a leader took it.
func changeDigest(c Change) string {
	c.At = time.Time{}
	enc, err := msgpack.Marshal(&c)
	if err != nil {
		return "unencodable: " + err.Error()
	}
	return string(HashKey(string(enc)))
}

// bookSnapshot is a State as it is written to disk.
type stateSnapshot struct {
	Version   uint64                  `msgpack:"version"`
	Catalogue Catalogue               `msgpack:"catalogue"`
	Stops     []Stop                  `msgpack:"stops"`
	History   []Entry                 `msgpack:"history"`
	Results   map[string]storedResult `msgpack:"results"`
	Order     []string                `msgpack:"order"`
}

// Snapshot encodes the whole State.
func (s *State) Snapshot() ([]byte, error) {
	enc, err := msgpack.Marshal(&stateSnapshot{
		Version: s.version, Catalogue: s.catalogue, Stops: s.stops,
		History: s.history, Results: s.results, Order: s.resultOrder,
	})
	return enc, trace.Wrap(err, "step=snapshot catalogue")
}

// RestoreState decodes what Snapshot wrote.
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
