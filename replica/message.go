package replica

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MessageType is the type of a Message.
type MessageType uint8

// The message types. A reply carries the replier's term; if that is higher than
// the receiver's term, the receiver becomes a follower.
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

// Message is a message between replicas. Its encoded size is bounded: entries by
// Config.MaxMessageBytes or one entry, whichever is larger; a snapshot chunk by
// Config.MaxMessageBytes.
type Message struct {
	Type MessageType `msgpack:"y"`
	From uint64      `msgpack:"f"`
	To   uint64      `msgpack:"o"`
	Term uint64      `msgpack:"t"`

	// Index and LogTerm identify the entry before Entries in MsgAppend and the
	// candidate's last entry in vote requests. Index alone is the last matching
	// entry in MsgAppendReply, the rejected Index in a rejecting one, and the
	// snapshot's index in MsgSnapshotReply.
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"g,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`

	// Reject rejects a vote request or an append, or a heartbeat of a lower term.
	// In a rejecting MsgAppendReply, Hint and HintTerm identify the last entry
	// that may match; in MsgSnapshotReply, Hint is the offset of the next chunk.
	Reject   bool   `msgpack:"r,omitempty"`
	Hint     uint64 `msgpack:"h,omitempty"`
	HintTerm uint64 `msgpack:"ht,omitempty"`

	// Round numbers a leader's heartbeats and, separately, its appends.
	// MsgHeartbeatReply and a rejecting MsgAppendReply return it unchanged.
	// MsgHeartbeatReply also returns Sent, a reading of the leader's clock that
	// only the leader can interpret.
	Round uint64        `msgpack:"n,omitempty"`
	Sent  time.Duration `msgpack:"s,omitempty"`

	// Force marks a vote request in response to MsgTimeoutNow. Voters accept it
	// even while a leader is active.
	Force bool           `msgpack:"z,omitempty"`
	Chunk *SnapshotChunk `msgpack:"p,omitempty"`
}

// SnapshotChunk is the part of a snapshot's data at Offset. Total is the size of
// the whole data in bytes.
type SnapshotChunk struct {
	Meta   SnapshotMeta `msgpack:"m"`
	Offset uint64       `msgpack:"o"`
	Total  uint64       `msgpack:"l"`
	Data   []byte       `msgpack:"d"`
}

// fromLeader reports whether only the leader of m.Term sends messages of this
// type.
func (m Message) fromLeader() bool {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTimeoutNow:
		return true
	default:
		return false
	}
}

// requestsVote reports whether m is a vote or pre-vote request.
func (m Message) requestsVote() bool { return m.Type == MsgVote || m.Type == MsgPreVote }

// wellFormed reports whether the fields of m are consistent. A message from an
// incompatible version or from another program could otherwise leave a gap in the
// log.
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

// messageFields has the fields of Message without its methods, so that
// EncodeMsgpack does not call itself.
type messageFields Message

// EncodeMsgpack encodes m with compact integers. By default the library writes
// nine bytes per integer, and heartbeats, which consist almost only of integers,
// make up most of the traffic of an idle group.
func (m Message) EncodeMsgpack(enc *msgpack.Encoder) error {
	enc.UseCompactInts(true)
	fields := messageFields(m)
	return enc.Encode(&fields)
}
