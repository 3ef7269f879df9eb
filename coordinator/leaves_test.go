package coordinator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
	for _, id := range []string{"s101", "s102"} {
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(id, 1, instance.StateServing)))
	}
	for i := range 20 {
		drains, deregisters := fmt.Sprintf("d%d", i), fmt.Sprintf("g%d", 20+i)
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(drains, 1, instance.StateServing)))
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(deregisters, 1, instance.StateServing)))
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(drains, 2, instance.StateLeaving)))
		require.GreaterOrEqual(t, len(c.holders(drains)), 2)
		require.NoError(t, r.Leave(t.Context(), deregisters, 0))
		require.GreaterOrEqual(t, len(c.holders(deregisters)), 2)
	}
	c.kill(address(1))
	require.NoError(t, r.Leave(t.Context(), "s101", 0), "a majority is left")
	c.kill(address(2))
	start := time.Now()
	require.Error(t, r.Leave(t.Context(), "s102", 0))
	require.Error(t, r.Announce(t.Context(), serverAnnouncement("s103", 1, instance.StateLeaving)))
	require.Less(t, time.Since(start), 2*holdTimeout+time.Second, "the server would have called another replica since")
	require.NoError(t, r.Announce(t.Context(), serverAnnouncement("s101", 2, instance.StateLeaving)), "a majority held it before")
}

// Guards against a leave that is recorded for the start of a server that its replica knows, while
// another replica has a later one, which stays in use.
func TestLeaveHoldsForTheLatestStartThatAnyReplicaKnows(t *testing.T) {
	c := startCluster(t, 3)
	receiving, other := c.replicas[address(0)], c.replicas[address(1)]
	time.Sleep(time.Until(receiving.startedAt.Add(overdueAfter(time.Second)))) // before, it may not acknowledge
	record := func(incarnation uint64) directory.Server {
		a := serverAnnouncement("s1", 1, instance.StateServing)
		a.Incarnation = incarnation
		return directory.Server{Announcement: a}
	}
	for incarnation := uint64(7); incarnation < 12; incarnation++ { // it starts again and leaves again
		other.directory.Merge(directory.Origin{}, []directory.Server{record(incarnation)}, nil, time.Now())
		require.NoError(t, receiving.Leave(t.Context(), "s1", 0))
		require.Eventually(t, func() bool {
			for _, r := range c.replicas {
				rec, _ := r.directory.Lookup("s1", time.Now())
				if rec.Incarnation != incarnation || rec.State != instance.StateGone {
					return false
				}
			}
			return true
		}, testWait, 10*time.Millisecond)
	}
}

// Guards against a leave that is acknowledged though it can't be known what it concerns: all replicas have
// just restarted, and entries know a start of the server that no replica knows yet.
func TestLeaveOfUnknownStartIsNotAcknowledged(t *testing.T) {
	c := startCluster(t, 3)
	r := c.replicas[address(0)]
	require.ErrorIs(t, r.Leave(t.Context(), "s1", 0), errUnknownStart)
	require.NoError(t, r.Leave(t.Context(), "s2", 7), "it says which")
	for i := 3; i < 13; i++ {
		require.NoError(t, r.Announce(t.Context(), serverAnnouncement(fmt.Sprintf("s%d", i), 1, instance.StateServing)))
	}
	var together sync.WaitGroup
	for i := 3; i < 13; i++ {
		together.Go(func() { assert.ErrorIs(t, r.Leave(t.Context(), fmt.Sprintf("u%d", i), 0), errUnknownStart) })
		together.Go(func() {
			assert.NoError(t, r.Leave(t.Context(), fmt.Sprintf("s%d", i), 0), "others that leave together are not known")
		})
	}
	together.Wait()
	require.ErrorIs(t, r.Leave(t.Context(), "s3", 0), errUnknownStart, "it may have started again, which the replica has not lived long enough to know")
	require.Eventually(t, func() bool { return r.Leave(t.Context(), "s3", 0) == nil }, testWait, 100*time.Millisecond)
}

// Guards against a heartbeat that is acknowledged though it is dropped, because the server that had the
// address before has sent a heartbeat a moment ago: the server would not call another replica.
func TestHeartbeatThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	c := newIdleReplica(t)
	c.directory = directory.NewStore(directory.Config{OverdueAfter: time.Second, AddressHold: time.Minute, ForgetAfter: time.Minute})
	previous, successor := serverAnnouncement("s1", 1, instance.StateServing), serverAnnouncement("s2", 1, instance.StateServing)
	successor.Address = previous.Address
	require.NoError(t, c.Announce(t.Context(), previous))
	require.NoError(t, c.Announce(t.Context(), previous), "sent again")
	require.ErrorIs(t, c.Announce(t.Context(), successor), errNotRecorded)
}
