package fleet

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/policy/scale"
)

// MaxStateBytes bounds an encoded State, in bytes.
const MaxStateBytes = 128 << 10

// State is what the leaders of the control replicas hand on to each other about
// the fleet. It is kept in the replicated log and changed as a whole.
type State struct {
	Version uint64      `msgpack:"ver"` // counts the changes
	Scale   scale.State `msgpack:"scale"`
	// Starts are decided and not settled: the cloud has neither taken nor refused
	// them, as far as the log knows.
	Starts []Start `msgpack:"starts"`
	// Accepted are the starts that the cloud took and did not list yet: its list may
	// lag behind its answers.
	Accepted []Accepted `msgpack:"accepted"`
	// Stops are the instances that are to leave and then to be stopped.
	Stops      []string    `msgpack:"stops"`
	Loads      []ModelLoad `msgpack:"loads"`
	LastNotice uint64      `msgpack:"notice"` // number of the last reclaim notice taken in
}

// Start is a decided start of an instance.
type Start struct {
	Token   string       `msgpack:"token"`
	Option  scale.Option `msgpack:"opt"`
	Ordinal uint64       `msgpack:"ord"`
	Reason  scale.Reason `msgpack:"why"`
}

// Accepted is an instance that the cloud has started.
type Accepted struct {
	ID     string       `msgpack:"id"`
	Option scale.Option `msgpack:"opt"`
	At     time.Time    `msgpack:"at"`
}

// Command replaces the State if its version is still Base. A leader that has been
// replaced without knowing decides on an old state; its command changes nothing.
type Command struct {
	BaseVersion uint64 `msgpack:"base"`
	Next        State  `msgpack:"next"`
}

// Result is the answer to a Command.
type Result struct {
	Applied bool `msgpack:"taken"`
}

// Encode returns the command as a log entry's data.
func (c Command) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&c)
	if err == nil && len(b) > MaxStateBytes {
		err = trace.LimitExceeded("fleet state of %d bytes, at most %d", len(b), MaxStateBytes)
	}
	return b, trace.Wrap(err, "step=encode fleet command")
}

// Apply changes the state by a log entry's data. It is the same at every replica.
func (s *State) Apply(data []byte) (Result, error) {
	var c Command
	if len(data) > MaxStateBytes {
		return Result{}, trace.LimitExceeded("fleet command of %d bytes", len(data))
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

// without returns the state without a pending start.
func (s State) without(token string) State {
	s.Starts = slices.DeleteFunc(slices.Clone(s.Starts), func(x Start) bool { return x.Token == token })
	return s
}
