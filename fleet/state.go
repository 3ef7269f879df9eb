package fleet

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/policy/scale"
)

// MaxStateBytes is the maximum size of an encoded Command, which contains a State.
const MaxStateBytes = 128 << 10

// State is the fleet state that a leader passes on to its successors. It is stored
// in the replicated log and always replaced as a whole.
type State struct {
	Version uint64      `msgpack:"ver"` // number of changes
	Scale   scale.State `msgpack:"scale"`
	// Starts are decided, but the log has no answer of the cloud yet: neither
	// accepted nor refused.
	Starts []Start `msgpack:"starts"`
	// Accepted are the starts that the cloud has accepted but does not list yet, as
	// its list may lag behind its answers.
	Accepted []Accepted `msgpack:"accepted"`
	// Stops are instances whose servers must leave before they are stopped.
	Stops      []string    `msgpack:"stops"`
	Loads      []ModelLoad `msgpack:"loads"`
	LastNotice uint64      `msgpack:"notice"` // sequence number of the last processed reclaim notice
}

// Start is a start that was decided, with its client token.
type Start struct {
	Token   string       `msgpack:"token"`
	Option  scale.Option `msgpack:"opt"`
	Ordinal uint64       `msgpack:"ord"`
	Reason  scale.Reason `msgpack:"why"`
}

// Accepted is an instance whose start the cloud has accepted.
type Accepted struct {
	ID     string       `msgpack:"id"`
	Option scale.Option `msgpack:"opt"`
	At     time.Time    `msgpack:"at"`
}

// Command replaces the State if its version still equals BaseVersion. The command
// of a replaced leader, which decided on an old state, has no effect.
type Command struct {
	BaseVersion uint64 `msgpack:"base"`
	Next        State  `msgpack:"next"`
}

// Result reports whether a Command was applied.
type Result struct {
	Applied bool `msgpack:"taken"`
}

// Encode returns the command as the data of a log entry.
func (c Command) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&c)
	if err == nil && len(b) > MaxStateBytes {
		err = trace.LimitExceeded("fleet command of %d bytes, at most %d", len(b), MaxStateBytes)
	}
	return b, trace.Wrap(err, "step=encode fleet command")
}

// Apply applies the data of a log entry. It is deterministic: every replica gets
// the same state.
func (s *State) Apply(data []byte) (Result, error) {
	var c Command
	if len(data) > MaxStateBytes {
		return Result{}, trace.LimitExceeded("fleet command of %d bytes exceeds the limit", len(data))
	}
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return Result{}, trace.Wrap(err, "step=apply fleet command")
	}
	if c.BaseVersion != s.Version {
		return Result{}, nil
	}
	*s = c.Next
	s.Version = c.BaseVersion + 1
	return Result{Applied: true}, nil
}

// without returns a copy of the state without the pending start of a token.
func (s State) without(token string) State {
	s.Starts = slices.DeleteFunc(slices.Clone(s.Starts), func(x Start) bool { return x.Token == token })
	return s
}
