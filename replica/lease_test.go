package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// A heartbeat reply arrives late, and the voter's clock is faster than the
// leader's. A lease counted from the reply, or without a margin for clock drift,
// would outlast the time for which the voter refuses other candidates, and two
// leaders could hold leases.
//
// Fails if handleHeartbeatReply uses c.now, or leaseDuration has no margin.
func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	const replyReceived = 3 * simElectionTimeout / 2
	c := leader1(t)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	_, _, ok := c.Lease()
	require.False(t, ok, "no heartbeat is acknowledged yet")

	reply := replica.Message{Type: replica.MsgHeartbeatReply, From: 2, To: 1, Term: 4, Round: 1, Sent: simElectionTimeout}
	require.NoError(t, c.Step(replyReceived, reply))
	term, until, ok := c.Lease()
	require.True(t, ok)
	require.Equal(t, uint64(4), term)
	require.Equal(t, simElectionTimeout+simElectionTimeout*(100-replica.DefaultMaxDriftPercent)/100, until)

	c.Tick(until)
	_, _, ok = c.Lease()
	require.False(t, ok)
	c.Tick(simElectionTimeout + simElectionTimeout - time.Nanosecond)
	require.Equal(t, replica.Leader, c.Role())
	c.Tick(simElectionTimeout + simElectionTimeout)
	require.Equal(t, replica.Follower, c.Role(), "a leader without replies from a majority steps down")
}
