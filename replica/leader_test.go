package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// A new leader copies an entry of an earlier term to a majority and dies. Another
// replica with a later entry at that index may then win and replace it; a caller
// told that it was committed would see it vanish.
//
// Breaks without lead.start in maybeCommit.
func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 2})
	require.Zero(t, c.CommitIndex())
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	require.Equal(t, uint64(3), c.CommitIndex())
}

// A follower is faster than the leader's own disk, which then fails: the leader
// has lost the entry that it counted. With the other follower it would elect a
// leader without it, and an acknowledged change is gone.
//
// Breaks when matchOf counts the leader's last entry.
func TestLeaderEntryCountsOnlyOnceSynced(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	_, err := c.Propose(simKind, nil)
	require.NoError(t, err)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 4})
	require.Equal(t, uint64(3), c.CommitIndex())
	drain(c)
	require.Equal(t, uint64(4), c.CommitIndex())
}

// A replica loses its disk and is started under its old id. What it acknowledged
// before counts towards commits although it is gone; so it counts no more and
// the operator is told.
//
// Breaks without the first branch of handleAppendReject.
func TestReplicaWithLostLogIsNotCounted(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	drain(c)
	_, err := c.Propose(simKind, nil)
	require.NoError(t, err)
	for _, m := range drain(c) {
		if m.Type == replica.MsgAppend && m.To == 2 {
			step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Reject: true, Index: m.Index, Round: m.Round})
		}
	}
	require.Equal(t, []uint64{2}, c.ReplicasWithLostLog())
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 4})
	require.Equal(t, uint64(3), c.CommitIndex())
}

// The last message before a quiet hour is lost. Without a repeat its caller would
// wait until somebody else proposes something.
//
// Breaks without nudge in handleHeartbeatReply.
func TestLostAppendIsResentAfterHeartbeat(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	_, err := c.Propose(simKind, nil)
	require.NoError(t, err)
	drain(c)
	step(t, c, replica.Message{Type: replica.MsgHeartbeatReply, From: 2, Term: 4, Round: 1, Sent: simElectionTimeout})
	sent := drain(c)
	require.Len(t, sent, 1)
	require.Equal(t, replica.MsgAppend, sent[0].Type)
	require.Equal(t, uint64(4), sent[0].Index, "a replica without entry 4 rejects this and is sent it again")
}

// A busy leader must not strain the collector, which would delay heartbeats for
// everybody: one proposal, its round and its two replies stay within a bound.
func TestAllocationsOfACommit(t *testing.T) {
	c := leader1(t)
	index := uint64(3)
	commit := func() {
		step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: index})
		step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 3, Term: 4, Index: index})
		drain(c)
		at, err := c.Propose(simKind, nil)
		require.NoError(t, err)
		index = at.Index
		drain(c)
	}
	commit()
	allocations := testing.AllocsPerRun(1000, commit)
	t.Logf("%.1f allocations a commit at a leader of three", allocations)
	require.Less(t, allocations, 24.0)
}
