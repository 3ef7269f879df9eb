package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// follower1 returns replica 1 of three, in term 3 with two entries, started at
// time 0.
func follower1(t *testing.T) *replica.Core {
	c, err := replica.NewCore(replica.Config{
		ID: 1, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
		Rand: func(int64) int64 { return 0 },
	}, replica.State{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Meta: replica.SnapshotMeta{Members: replica.Members{Voters: []uint64{1, 2, 3}}}},
		Entries:   []replica.Entry{{Index: 1, Term: 1, Kind: simKind}, {Index: 2, Term: 2, Kind: simKind}},
	}, 0)
	require.NoError(t, err)
	return c
}

// leader1 returns replica 1 as the leader of term 4, with its first entry at index
// 3.
func leader1(t *testing.T) *replica.Core {
	c := follower1(t)
	c.Tick(simElectionTimeout)
	step(t, c, replica.Message{Type: replica.MsgPreVoteReply, From: 2, Term: 4})
	step(t, c, replica.Message{Type: replica.MsgVoteReply, From: 2, Term: 4})
	require.Equal(t, replica.Leader, c.Role())
	drain(c)
	return c
}

// step passes m to replica 1 at the end of its first election timeout.
func step(t *testing.T, c *replica.Core, m replica.Message) {
	m.To = 1
	require.NoError(t, c.Step(simElectionTimeout, m))
}

// drain processes all Ready values and returns the messages sent.
func drain(c *replica.Core) (sent []replica.Message) {
	for {
		rd, ok := c.Ready()
		if !ok {
			return sent
		}
		sent = append(append(sent, rd.Early...), rd.Messages...)
		c.Advance(rd)
	}
}

func voteRequest(term uint64, force bool) replica.Message {
	return replica.Message{Type: replica.MsgVote, From: 2, To: 1, Term: term, Index: 9, LogTerm: 9, Force: force}
}

// A replica that acknowledged a heartbeat just before a restart must not vote
// during the leader's lease: two leaders could hold leases.
//
// Fails without ignoreVoteRequestsUntil in initElectionTimer.
func TestRestartedReplicaDelaysVote(t *testing.T) {
	c := follower1(t)
	require.NoError(t, c.Step(simElectionTimeout-1, voteRequest(4, false)))
	require.Empty(t, drain(c))
	require.Equal(t, uint64(3), c.Term())

	require.NoError(t, c.Step(simElectionTimeout, voteRequest(4, false)))
	require.False(t, drain(c)[0].Reject)
}

// A replica that does not receive the leader's messages must not depose it while
// others do: commits would stop at each attempt. Only a candidate that the leader
// itself chose may be elected.
//
// Fails without ignoresVoteRequests in handleHigherTerm.
func TestVoterIgnoresVoteRequestsWhileLeaderIsActive(t *testing.T) {
	c := follower1(t)
	step(t, c, replica.Message{Type: replica.MsgHeartbeat, From: 3, Term: 3})
	drain(c)
	require.NoError(t, c.Step(2*simElectionTimeout-1, voteRequest(4, false)))
	require.Empty(t, drain(c))
	require.NoError(t, c.Step(2*simElectionTimeout-1, voteRequest(4, true)))
	require.False(t, drain(c)[0].Reject)
}

// A deposed leader's own vote counted towards its lease, on which an operation in
// progress may rely. It must not help to elect another leader before the lease has
// ended.
//
// Fails without ignoreVoteRequestsUntil in becomeFollower.
func TestDeposedLeaderDelaysVoteUntilLeaseEnds(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgHeartbeatReply, From: 3, Term: 5, Reject: true})
	require.Equal(t, replica.Follower, c.Role())
	drain(c)
	require.NoError(t, c.Step(2*simElectionTimeout-1, voteRequest(6, false)))
	require.Empty(t, drain(c))
	require.NoError(t, c.Step(2*simElectionTimeout, voteRequest(6, false)))
	require.False(t, drain(c)[0].Reject)
}
