package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
)

// shareCaller is an entry that calls all replicas for its share of the limits.
type shareCaller struct {
	c      *cluster
	name   string
	holder *limit.Holder
}

func newShareCaller(c *cluster, name string) *shareCaller {
	return &shareCaller{c: c, name: name, holder: limit.NewHolder(1, time.Now())}
}

// call calls all replicas once, as an entry with a wait of its own would.
func (e *shareCaller) call() {
	for ip, r := range e.c.replicas {
		ctx, cancel := context.WithTimeout(e.c.t.Context(), testWait)
		sentAt := time.Now()
		reply, err := r.watch(ctx, link.PeerInfo{ID: e.name}, api.WatchRequest{
			Role: api.RoleEntry, HasCatalogue: true, Revision: 100, Share: e.holder.Report(sentAt), Wait: time.Millisecond,
			Entry: &directory.Entry{Name: e.name, Incarnation: 1, State: instance.StateServing},
		})
		cancel()
		require.NoError(e.c.t, err)
		e.holder.Record(ip, reply.Share, sentAt)
	}
	e.holder.Share(time.Now())
}

// requireShares has entries call until each has an even share.
func requireShares(t *testing.T, entries ...*shareCaller) {
	t.Helper()
	require.Eventually(t, func() bool {
		even := true
		for _, e := range entries {
			e.call()
			even = even && e.holder.Share(time.Now()) == 1/float64(len(entries))
		}
		return even
	}, testWait, 20*time.Millisecond)
}

// Guards against entries that lose their shares of the limits, and one that gets none, for up to a minute
// since a majority of the replicas has been replaced by others without a disk.
func TestSharesOutlastReplicasThatAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(5)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.waitForVoters()
	a, b := newShareCaller(c, "a"), newShareCaller(c, "b")
	requireShares(t, a, b)
	for i := range 3 {
		c.kill(address(i))
		c.seeds = append(c.seeds[1:], net.JoinHostPort(address(3+i), "1"))
		c.start(address(5+i), false)
		c.waitForVoters()
		requireShares(t, a, b)
	}
	begun := time.Now()
	requireShares(t, a, b, newShareCaller(c, "c"))
	require.Less(t, time.Since(begun), limit.ShareTTL/4)
}

// Guards against a share that is withheld for a minute from the others although its entry has given it up.
func TestShareOfStoppedEntryGoesToTheOthers(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(3)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	a, b := newShareCaller(c, "a"), newShareCaller(c, "b")
	requireShares(t, a, b)
	a.holder.GiveUp(time.Now())
	a.call() // its last report
	require.Zero(t, a.holder.Share(time.Now()))
	requireShares(t, b)
}

// An entry that has just started refuses callers until it has its share of the limits. Guards against
// delaying the grant by the wait of the call.
func TestStartingEntryGetsItsGrantImmediately(t *testing.T) {
	c := newCluster(t, 1)
	c.startFirst(1)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	a := newShareCaller(c, "a")
	requireShares(t, a)
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	reply, err := c.replicas[address(0)].watch(ctx, link.PeerInfo{}, api.WatchRequest{
		Role: api.RoleEntry, HasCatalogue: true, Revision: 100, Wait: time.Minute,
		Entry: &directory.Entry{Name: "a", Incarnation: 1, State: instance.StateServing},
	})
	require.NoError(t, err)
	require.NoError(t, ctx.Err(), "it did not wait")
	require.Equal(t, 1, reply.Share.Grant.Divisor)
}

// Guards against a replica without a group, whose reply would confirm a share or break a call.
func TestReplicaWithoutAGroupConfirmsNoShare(t *testing.T) {
	c := newIdleReplica(t)
	require.Zero(t, c.shareReply("a"))
	_, err := c.revokeShares(t.Context(), link.PeerInfo{}, api.RevokeSharesRequest{Grants: []limit.Grant{{Name: "a", Index: 1}}})
	require.Error(t, err)
}
