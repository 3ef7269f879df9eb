package replica

import "slices"

// The kinds of entry that the package itself writes. Kinds from
// KindApplication on belong to the application; those between are reserved.
const (
	KindNone        uint8 = 0 // a leader's first entry of its term, no data
	KindMembership  uint8 = 1 // data: Members in msgpack
	KindApplication uint8 = 16
)

// entryOverhead is what an entry costs in a message beyond its data, in bytes:
// three integers and the field names.
const entryOverhead = 40

// Entry is one element of the log. Index starts at 1 and has no gaps. Data must
// not be changed after the entry was proposed.
type Entry struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	Kind  uint8  `msgpack:"k,omitempty"`
	Data  []byte `msgpack:"d,omitempty"`
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is what a replica must have synced before it sends a message that
// depends on it. Commit may lag behind on disk: it is a hint that saves work
// after a restart.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   uint64 `msgpack:"v"`
	Commit uint64 `msgpack:"c"`
}

// Position names one entry of the log.
type Position struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
}

// Members are the replicas that hold the log. Voters elect and commit; learners
// only receive.
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

// Clone returns a copy that shares nothing with m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func (m Members) quorum() int { return len(m.Voters)/2 + 1 }

// KindIndex is the highest index of an entry of one kind.
type KindIndex struct {
	Kind  uint8  `msgpack:"k"`
	Index uint64 `msgpack:"i"`
}

// SnapshotMeta says what a snapshot stands for: every entry up to Index.
type SnapshotMeta struct {
	Index      uint64      `msgpack:"i"`
	Term       uint64      `msgpack:"t"`
	Members    Members     `msgpack:"m"`
	LastByKind []KindIndex `msgpack:"k,omitempty"`
}

// Snapshot is the state machine's state after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta `msgpack:"m"`
	Data []byte       `msgpack:"d"`
}

// State is what a replica's disk holds: the input of a restart. Entries follow
// Snapshot.Meta.Index without a gap.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// LastIndex returns the index of the last entry, or the snapshot's.
func (s State) LastIndex() uint64 {
	if len(s.Entries) == 0 {
		return s.Snapshot.Meta.Index
	}
	return s.Entries[len(s.Entries)-1].Index
}
