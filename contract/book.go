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
	version   uint64
	catalogue Catalogue
	stops     []Stop // by id
	history   []Entry
	results   map[string]rememberedResult
	order     []string // change ids, oldest first
}

type rememberedResult struct {
	Digest string `msgpack:"d"` // of the change, to tell a resend from a reused id
	Result Result `msgpack:"r"`
}

// NewState returns the empty State, at version 0.
func NewState() *State {
	return &State{results: map[string]rememberedResult{}}
}

// Version is the number of the last accepted change.
func (b *State) Version() uint64 { return b.version }

// Catalogue returns the catalogue in force. The caller must not change it.
func (b *State) Catalogue() Catalogue { return b.catalogue }

// Stops returns the planned stops in force, by id.
func (b *State) Stops() []Stop { return slices.Clone(b.stops) }

// History returns the newest n accepted changes, newest first.
func (b *State) History(n int) []Entry {
	out := slices.Clone(b.history[max(0, len(b.history)-n):])
	slices.Reverse(out)
	return out
}

// Apply takes one change and says how it ended. Resent after a lost answer, a
// change would otherwise be refused as a conflict with itself, and its operator
// would believe that it had not taken hold; so the first result is kept by
// change id and given again.
func (b *State) Apply(c Change) Result {
	digest := changeDigest(c)
	if known, resent := b.results[c.ID]; resent {
		if known.Digest != digest {
			return Result{Code: CodeReused, Version: b.version, Reason: "this change id belongs to another change"}
		}
		return known.Result
	}
	r := b.apply(c)
	b.remember(c.ID, rememberedResult{Digest: digest, Result: r})
	return r
}

func (b *State) apply(c Change) Result {
	switch c.Kind {
	case ChangeApply:
		return b.applyCatalogue(c)
	case ChangeStopPlan:
		return b.planStop(c)
	case ChangeStopCancel:
		return b.cancelStop(c)
	default:
		return b.refuse(CodeInvalid, fmt.Sprintf("unknown kind of change %d", c.Kind))
	}
}

func (b *State) applyCatalogue(c Change) Result {
	if c.Catalogue == nil {
		return b.refuse(CodeInvalid, "no catalogue in the change")
	}
	if err := c.Catalogue.Validate(); err != nil {
		return b.refuse(CodeInvalid, err.Error())
	}
	if c.Base != b.version {
		return b.conflict(c)
	}
	var summary []string
	for _, d := range Diff(b.catalogue, *c.Catalogue) {
		summary = append(summary, d.String())
	}
	b.catalogue = *c.Catalogue
	return b.accept(c, summary)
}

// conflict answers a change made against another version than the one in
// force: of two changes with equal versions the first wins, and the other
// operator sees which change won in place of silently undoing it.
func (b *State) conflict(c Change) Result {
	r := b.refuse(CodeConflict, fmt.Sprintf("made against version %d, in force is %d", c.Base, b.version))
	for i := range b.history {
		if b.history[i].Version == c.Base+1 {
			winner := b.history[i]
			r.Winner = &winner
		}
	}
	return r
}

func (b *State) planStop(c Change) Result {
	if c.Stop == nil {
		return b.refuse(CodeInvalid, "no stop in the change")
	}
	if err := c.Stop.Validate(); err != nil {
		return b.refuse(CodeInvalid, err.Error())
	}
	at, found := b.findStop(c.Stop.ID)
	if found {
		return b.refuse(CodeInvalid, fmt.Sprintf("stop %q is planned already", c.Stop.ID))
	}
	b.stops = slices.Insert(b.stops, at, *c.Stop)
	return b.accept(c, []string{"stop " + c.Stop.ID + ": " + string(c.Stop.Scope) + " " + c.Stop.Name})
}

func (b *State) cancelStop(c Change) Result {
	if c.Stop == nil {
		return b.refuse(CodeInvalid, "no stop in the change")
	}
	at, found := b.findStop(c.Stop.ID)
	if !found {
		return b.refuse(CodeNotFound, fmt.Sprintf("no stop %q is planned", c.Stop.ID))
	}
	b.stops = slices.Delete(b.stops, at, at+1)
	return b.accept(c, []string{"stop " + c.Stop.ID + ": cancelled"})
}

func (b *State) findStop(id string) (int, bool) {
	return slices.BinarySearchFunc(b.stops, id, func(s Stop, id string) int {
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

func (b *State) accept(c Change, summary []string) Result {
	b.version++
	b.history = append(b.history, Entry{
		Version: b.version, ChangeID: c.ID, By: c.By, At: c.At, Kind: c.Kind.String(), Summary: summary,
	})
	if len(b.history) > HistoryLength {
		b.history = slices.Delete(b.history, 0, len(b.history)-HistoryLength)
	}
	return Result{Code: CodeAccepted, Version: b.version}
}

func (b *State) refuse(code Code, reason string) Result {
	return Result{Code: code, Version: b.version, Reason: reason}
}

func (b *State) remember(id string, r rememberedResult) {
	b.results[id] = r
	b.order = append(b.order, id)
	if len(b.order) > HistoryLength {
		delete(b.results, b.order[0])
		b.order = slices.Delete(b.order, 0, 1)
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
type bookSnapshot struct {
	Version   uint64                      `msgpack:"version"`
	Catalogue Catalogue                   `msgpack:"catalogue"`
	Stops     []Stop                      `msgpack:"stops"`
	History   []Entry                     `msgpack:"history"`
	Results   map[string]rememberedResult `msgpack:"results"`
	Order     []string                    `msgpack:"order"`
}

// Snapshot encodes the whole State.
func (b *State) Snapshot() ([]byte, error) {
	enc, err := msgpack.Marshal(&bookSnapshot{
		Version: b.version, Catalogue: b.catalogue, Stops: b.stops,
		History: b.history, Results: b.results, Order: b.order,
	})
	return enc, trace.Wrap(err, "step=snapshot catalogue")
}

// RestoreState decodes what Snapshot wrote.
func RestoreState(enc []byte) (*State, error) {
	var s bookSnapshot
	if err := msgpack.Unmarshal(enc, &s); err != nil {
		return nil, trace.Wrap(err, "step=restore catalogue")
	}
	if s.Results == nil {
		s.Results = map[string]rememberedResult{}
	}
	return &State{
		version: s.Version, catalogue: s.Catalogue, stops: s.Stops,
		history: s.History, results: s.Results, order: s.Order,
	}, nil
}
