package replica

import "slices"

// Kinds of entries written by this package. KindApplication and above belong to
// the application; the values in between are reserved.
const (
	KindNone        uint8 = 0 // first entry of a leader's term, without data
	KindMembership  uint8 = 1 // Data is the new Members in msgpack
	KindApplication uint8 = 16
)

// entryOverhead is the encoded size of an entry without its data, in bytes: three
// integers and the field names.
const entryOverhead = 40

// Entry is an entry of the log. The first has index 1, and there are no gaps. Data
// must not be modified once the entry is proposed.
type Entry struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	Kind  uint8  `msgpack:"k,omitempty"`
	Data  []byte `msgpack:"d,omitempty"`
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the state that must be synced before messages that depend on it are
// sent. Commit may lag on disk: it only saves work after a restart.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   uint64 `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Position identifies an entry of the log.
type Position struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
}

// Members is the membership of the group. Voters elect leaders and count towards
// commits; learners only receive the log.
type Members struct {
	Voters   []uint64 `msgpack:"v"`
	Learners []uint64 `msgpack:"l,omitempty"`
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id uint64) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id uint64) bool { return slices.Contains(m.Learners, id) }

// Has reports whether id is a voter or a learner.
func (m Members) Has(id uint64) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Clone returns a deep copy of m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Members) quorum() int { return len(m.Voters)/2 + 1 }

// KindIndex is the highest index of an entry of one kind.
type KindIndex struct {
	Kind  uint8  `msgpack:"k"`
	Index uint64 `msgpack:"i"`
}

// SnapshotMeta describes a snapshot that replaces all entries up to Index.
// LastByKind has the highest index of each kind among them.
type SnapshotMeta struct {
	Index      uint64      `msgpack:"i"`
	Term       uint64      `msgpack:"t"`
	Members    Members     `msgpack:"m"`
	LastByKind []KindIndex `msgpack:"k,omitempty"`
}

// Snapshot is the state of the state machine after the entry at Meta.Index was
// applied.
type Snapshot struct {
	Meta SnapshotMeta `msgpack:"m"`
	Data []byte       `msgpack:"d"`
}

// State is a replica's state on disk. The first of Entries has the index
// Snapshot.Meta.Index+1.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// LastIndex returns the index of the last entry, or the snapshot's if there is
// none.
func (s State) LastIndex() uint64 {
	if len(s.Entries) == 0 {
		return s.Snapshot.Meta.Index
	}
	return s.Entries[len(s.Entries)-1].Index
}
