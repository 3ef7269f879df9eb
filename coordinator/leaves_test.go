package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
)

// holders returns the replicas that know that a server leaves or has left.
func (c *cluster) holders(server string) (list []string) {
	for ip, r := range c.replicas {
		if rec, known := r.directory.Lookup(server, time.Now()); known && rec.State != instance.StateServing {
			list = append(list, ip)
		}
	}
	return list
}

// startCluster starts replicas and waits until all know the voters.
func startCluster(t *testing.T, n int) *cluster {
	c := newCluster(t, n)
	c.startFirst(n)
	require.Eventually(t, func() bool {
		for _, r := range c.replicas {
			if _, total, self := r.voters(); total != n || !self || r.ready() != nil {
				return false
			}
		}
		return true
	}, testWait, 10*time.Millisecond)
	return c
}

// Guards against a leave that only one replica holds when it is acknowledged: it would be lost with
// that replica.
func TestLeaveIsAcknowledgedOnceAMajorityHoldsIt(t *testing.T) {
	c := startCluster(t, 3)
	r := c.replicas[address(0)]
	for i := range 20 {
		drains, deregisters := fmt.Sprintf("d%d", i), fmt.Sprintf("g%d", i)
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(drains, 1, instance.StateServing)))
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(drains, 2, instance.StateLeaving)))
		require.GreaterOrEqual(t, len(c.holders(drains)), 2)
		require.NoError(t, r.Leave(t.Context(), deregisters, 0))
		require.GreaterOrEqual(t, len(c.holders(deregisters)), 2)
	}
	c.kill(address(1))
	require.NoError(t, r.Leave(t.Context(), "one-lost", 0), "a majority is left")
	c.kill(address(2))
	start := time.Now()
	require.Error(t, r.Leave(t.Context(), "two-lost", 0))
	require.Error(t, r.Announce(t.Context(), serverAnnouncement("two-lost-too", 1, instance.StateLeaving)))
	require.Less(t, time.Since(start), 2*holdTimeout+time.Second, "the server would have called another replica since")
	require.NoError(t, r.Leave(t.Context(), "one-lost", 0), "a majority held it before")
}

// Guards against a leave that is recorded for the start of a server that its replica knows, while
// another replica has a later one, which stays in use.
func TestLeaveHoldsForTheLatestStartThatAnyReplicaKnows(t *testing.T) {
	c := startCluster(t, 3)
	receiving, other := c.replicas[address(0)], c.replicas[address(1)]
	record := func(incarnation uint64) directory.Server {
		a := serverAnnouncement("s1", 1, instance.StateServing)
		a.Incarnation = incarnation
		return directory.Server{Announcement: a}
	}
	other.directory.Merge(directory.Origin{}, []directory.Server{record(7)}, nil, time.Now())
	require.NoError(t, receiving.Leave(t.Context(), "s1", 0))
	require.Eventually(t, func() bool {
		for _, r := range c.replicas {
			rec, _ := r.directory.Lookup("s1", time.Now())
			if rec.Incarnation != 7 || rec.State != instance.StateGone {
				return false
			}
		}
		return true
	}, testWait, 10*time.Millisecond)
}

// Guards against a heartbeat that is acknowledged though it is dropped, because the server that had the
// address before was heard of a moment ago: the server would not call another replica.
func TestHeartbeatThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	c := newIdleReplica(t)
	c.directory = directory.NewStore(directory.Config{OverdueAfter: time.Second, AddressHold: time.Minute, ForgetAfter: time.Minute})
	previous, successor := serverAnnouncement("s1", 1, instance.StateServing), serverAnnouncement("s2", 1, instance.StateServing)
	successor.Address = previous.Address
	require.NoError(t, c.Announce(t.Context(), previous))
	require.NoError(t, c.Announce(t.Context(), previous), "sent again")
	require.ErrorIs(t, c.Announce(t.Context(), successor), errNotRecorded)
}
