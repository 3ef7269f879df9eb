package replica

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MessageType tells the messages apart.
type MessageType uint8

// The types of message. A reply carries the replier's term; a higher one than
// the receiver's makes the receiver a follower.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
)

// Message is everything that replicas say to each other. Its encoded size is
// bounded: entries by Config.MaxMessageBytes or one entry, whichever is larger;
// a snapshot chunk by Config.MaxMessageBytes.
type Message struct {
	Type MessageType `msgpack:"y"`
	From uint64      `msgpack:"f"`
	To   uint64      `msgpack:"o"`
	Term uint64      `msgpack:"t"`

	// Index and LogTerm: the entry before Entries in MsgAppend; the sender's last
	// entry in votes; the last entry held in MsgAppendReply; the snapshot's index
	// in MsgSnapshotReply.
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"g,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`

	// Reject refuses a vote or an append. For an append, Hint and HintTerm name the
	// last entry that may match; in MsgSnapshotReply, Hint is the offset wanted.
	Reject   bool   `msgpack:"r,omitempty"`
	Hint     uint64 `msgpack:"h,omitempty"`
	HintTerm uint64 `msgpack:"ht,omitempty"`

	// Round numbers a leader's heartbeats, and apart from them its appends. It goes
	// back unchanged in MsgHeartbeatReply and in a rejecting MsgAppendReply; so does
	// Sent in the former. Sent is the leader's own clock and means nothing to others.
	Round uint64        `msgpack:"n,omitempty"`
	Sent  time.Duration `msgpack:"s,omitempty"`

	// Force marks a vote that the leader itself asked for by MsgTimeoutNow.
	Force bool           `msgpack:"z,omitempty"`
	Chunk *SnapshotChunk `msgpack:"p,omitempty"`
}

// SnapshotChunk is a part of a snapshot's data, Total bytes long as a whole.
type SnapshotChunk struct {
	Meta   SnapshotMeta `msgpack:"m"`
	Offset uint64       `msgpack:"o"`
	Total  uint64       `msgpack:"l"`
	Data   []byte       `msgpack:"d"`
}

// fromLeader reports whether only the leader of m.Term sends messages like m.
func (m Message) fromLeader() bool {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTimeoutNow:
		return true
	default:
		return false
	}
}

// requestsVote reports whether m asks for a vote or a pre-vote.
func (m Message) requestsVote() bool { return m.Type == MsgVote || m.Type == MsgPreVote }

// wellFormed reports whether the parts of m fit together. A message that does not
// come from a Core, after a mix-up of versions or addresses, would otherwise leave
// a gap in the log.
func (m Message) wellFormed() bool {
	if c := m.Chunk; (m.Type == MsgSnapshot) != (c != nil) || (c != nil && c.Offset+uint64(len(c.Data)) > c.Total) {
		return false
	}
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.Index != index+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		index, term = e.Index, e.Term
	}
	return true
}

// messageFields has Message's fields and not its methods.
type messageFields Message

// EncodeMsgpack writes integers in as few bytes as they need. By default the
// library takes nine for each, and heartbeats are nearly all integers: with seven
// replicas they are most of what a control instance at rest sends.
func (m Message) EncodeMsgpack(enc *msgpack.Encoder) error {
	enc.UseCompactInts(true)
	fields := messageFields(m)
	return enc.Encode(&fields)
}
