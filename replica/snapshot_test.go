package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// A replica's uncommitted entry conflicts with the leader's entry at the snapshot
// index, and the leader has compacted the entries before it. The leader must send
// the snapshot; if it kept probing at that index, the replica would never catch
// up.
//
// Fails if findConflictByTerm returns base whatever its term.
func TestReplicaConflictingAtSnapshotIndexReceivesSnapshot(t *testing.T) {
	c, err := replica.NewCore(replica.Config{
		ID: 1, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
		MaxMessageBytes: 4, Rand: func(int64) int64 { return 0 },
	}, replica.State{
		HardState: replica.HardState{Term: 3},
		Snapshot: replica.Snapshot{
			Meta: replica.SnapshotMeta{Index: 5, Term: 3, Members: replica.Members{Voters: []uint64{1, 2, 3}}},
			Data: []byte("state"),
		},
	}, 0)
	require.NoError(t, err)
	c.Tick(simElectionTimeout)
	step(t, c, replica.Message{Type: replica.MsgPreVoteReply, From: 2, Term: 4})
	step(t, c, replica.Message{Type: replica.MsgVoteReply, From: 2, Term: 4})
	drain(c)

	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 3, Term: 4, Reject: true, Index: 5, Hint: 5, HintTerm: 2})
	first := drain(c)
	require.Len(t, first, 1)
	require.Equal(t, "stat", string(first[0].Chunk.Data))
	step(t, c, replica.Message{Type: replica.MsgSnapshotReply, From: 3, Term: 4, Index: 5, Hint: 4})
	require.Equal(t, "e", string(drain(c)[0].Chunk.Data))
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 3, Term: 4, Index: 5})
	require.Equal(t, uint64(6), drain(c)[0].Entries[0].Index)
}
