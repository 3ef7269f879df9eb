package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// MsgTimeoutNow is lost or delayed. If the old leader took a lease again, the
// delayed message could make the target a second leader during that lease; so the
// old leader must step down.
//
// Fails if tickTransfer continues as leader after MsgTimeoutNow was sent.
func TestLeaderStepsDownAfterUnfinishedTransfer(t *testing.T) {
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	require.ErrorIs(t, c.Transfer(1), replica.ErrNotVoter)
	require.ErrorIs(t, c.Transfer(9), replica.ErrNotVoter)
	require.NoError(t, c.Transfer(2))
	require.ErrorIs(t, c.Transfer(3), replica.ErrTransferring)
	drain(c)
	reply := replica.Message{Type: replica.MsgHeartbeatReply, From: 2, To: 1, Term: 4, Round: 1, Sent: 2 * simElectionTimeout}
	require.NoError(t, c.Step(2*simElectionTimeout, reply))
	require.Contains(t, drain(c), replica.Message{Type: replica.MsgTimeoutNow, From: 1, To: 2, Term: 4})
	_, _, leased := c.Lease()
	require.False(t, leased)
	_, err := c.Propose(simKind, nil)
	require.ErrorIs(t, err, replica.ErrTransferring)

	reply.Sent = 3*simElectionTimeout - 1
	require.NoError(t, c.Step(3*simElectionTimeout-1, reply))
	c.Tick(3 * simElectionTimeout)
	require.Equal(t, replica.Follower, c.Role())
}
