package replica_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
)

// FuzzStep passes arbitrary decoded messages to a follower and a leader. They may
// drop a message or return an error, but must not panic.
func FuzzStep(f *testing.F) {
	entry := replica.Entry{Index: 3, Term: 3, Kind: replica.KindMembership, Data: encode(replica.Members{Voters: []uint64{1}})}
	chunk := &replica.SnapshotChunk{Meta: replica.SnapshotMeta{Index: 9, Term: 3}, Total: 4, Data: []byte("data")}
	for _, m := range []replica.Message{
		{Type: replica.MsgAppend, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Entries: []replica.Entry{entry}, Commit: 3},
		{Type: replica.MsgSnapshot, From: 2, To: 1, Term: 5, Chunk: chunk},
		{Type: replica.MsgAppendReply, From: 2, To: 1, Term: 4, Index: 9, Reject: true, Hint: 1, Round: 1},
		{Type: replica.MsgSnapshotReply, From: 2, To: 1, Term: 4, Hint: 9},
		{Type: replica.MsgHeartbeatReply, From: 2, To: 1, Term: 4, Round: 1},
		{Type: replica.MsgTimeoutNow, From: 2, To: 1, Term: 3},
	} {
		f.Add(encode(m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m replica.Message
		if msgpack.Unmarshal(b, &m) != nil {
			return
		}
		m.To = 1
		for _, c := range []*replica.Core{follower1(t), leader1(t)} {
			if c.Step(simElectionTimeout, m) == nil {
				drain(c)
			}
		}
	})
}
