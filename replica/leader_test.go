package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// An entry of an earlier term on a majority of replicas can still be replaced by a
// later leader (Raft paper, figure 8). If it were committed, an acknowledged entry
// could vanish.
//
// Fails without firstIndex in maybeCommit.
func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 2})
	require.Zero(t, c.CommitIndex())
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	require.Equal(t, uint64(3), c.CommitIndex())
}

// A follower syncs an entry before the leader does. If the leader counted its own
// copy and lost it in a crash, an acknowledged entry could vanish.
//
// Fails if matchIndex returns the leader's last index.
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

// A replica restarts with an empty disk under its old id. It must be reported and
// no longer count towards commits.
//
// Fails without the first branch of handleAppendReject.
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

// A lost append must be resent after a heartbeat. Otherwise its caller would wait
// until the next proposal.
//
// Fails without appendRequested in handleHeartbeatReply.
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
	require.Equal(t, uint64(4), sent[0].Index, "a replica without entry 4 rejects this append and is then sent the entry")
}

// Bounds the allocations of a commit at the leader, as garbage collection delays
// heartbeats.
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
	t.Logf("%.1f allocations per commit at the leader of a group of three", allocations)
	require.Less(t, allocations, 24.0)
}
