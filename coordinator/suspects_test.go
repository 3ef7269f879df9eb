package coordinator

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/suspect"
)

func brokenOffOn(fingerprint uint64, servers ...string) []suspect.Record {
	r := suspect.Record{Fingerprint: fingerprint}
	for _, id := range servers {
		r.Breaks = append(r.Breaks, suspect.Break{Server: suspect.Server{ID: id}})
	}
	return []suspect.Record{r}
}

// Guards against entries that learn of a request that crashes servers only with the next change of
// something else: callers that come back through them take more servers.
func TestSuspectsWakeWaitingEntries(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(0, []byte("first"))
	report := func(name string, records []suspect.Record) {
		req := entryCall(name, c.incarnation)
		req.BrokenOff = records
		_, err := c.watch(t.Context(), link.PeerInfo{ID: name}, req)
		require.NoError(t, err)
	}
	report("a", brokenOffOn(7, "s1"))
	req := entryCall("c", c.incarnation)
	first, err := c.watch(t.Context(), link.PeerInfo{ID: "c"}, req)
	require.NoError(t, err)
	require.False(t, first.HasSuspects, "one server has many causes")

	req.Seen, req.Wait = first.Seen, time.Minute
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	replied := make(chan api.WatchReply, 1)
	go func() {
		reply, _ := c.watch(ctx, link.PeerInfo{ID: "c"}, req)
		replied <- reply
	}()
	report("b", brokenOffOn(7, "s2"))
	reply := <-replied
	require.NoError(t, ctx.Err(), "it did not wait")
	require.True(t, reply.HasSuspects)
	require.Equal(t, []uint64{7}, reply.Suspects)

	// An entry that has just started gets the list with its first reply.
	started, err := c.watch(t.Context(), link.PeerInfo{ID: "d"}, api.WatchRequest{Role: api.RoleEntry, Detail: api.DetailNone})
	require.NoError(t, err)
	require.Equal(t, []uint64{7}, started.Suspects)

	answered := suspect.Record{Fingerprint: 7, Answered: true}
	report("b", []suspect.Record{answered})
	list, _, _ := c.suspects.current()
	require.Empty(t, list)
}

// Guards against trials that each replica, or each new leader, grants by itself.
func TestTrialsAreSharedByAllReplicas(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(3)
	take := func(r *testReplica, fingerprint uint64) suspect.Grant {
		var grant suspect.Grant
		ask := rand.Uint64() // the same each time, as an entry's: an answer may be late, and its trial counted
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var err error
			grant, err = r.trial(ctx, link.PeerInfo{}, api.TrialRequest{Fingerprints: []uint64{fingerprint}, Ask: ask})
			return err == nil
		}, testWait, 10*time.Millisecond)
		return grant
	}
	c.replaceCatalogue(c.replicas[address(0)], 1)
	require.True(t, take(c.replicas[address(0)], 7).Granted)
	for i := range 3 {
		grant := take(c.replicas[address(i)], 7)
		require.False(t, grant.Granted)
		require.Positive(t, grant.After)
		require.Eventually(t, func() bool {
			list, _, _ := c.replicas[address(i)].suspects.current()
			return len(list) == 1
		}, testWait, 10*time.Millisecond, "a request with trials is listed")
	}
	for i := range 3 {
		if c.replicas[address(i)].group.current.Load().leading() {
			c.kill(address(i))
			break
		}
	}
	for _, r := range c.replicas {
		require.False(t, take(r, 7).Granted, "after another replica leads")
		require.True(t, take(r, 8).Granted)
		break
	}
}

// Guards against a request that has crashed two servers and crashes as many again once all entries and
// control replicas have restarted at once, before it has had a trial.
func TestSuspectsOutlastAllProcesses(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(3)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.replicas[address(1)].suspects.merge(brokenOffOn(7, "s1", "s2"))
	c.replicas[address(0)].suspects.merge(brokenOffOn(7, "s1", "s2")) // entries report to all replicas
	c.replicas[address(2)].suspects.merge(brokenOffOn(7, "s1", "s2"))
	require.Eventually(t, func() bool {
		return len(c.replicas[address(0)].group.current.Load().state.withoutTrials([]uint64{7})) == 0
	}, testWait, 10*time.Millisecond, "committed")
	for i := range 3 {
		c.kill(address(i))
	}
	for i := range 3 {
		c.start(address(i), false)
	}
	for i := range 3 {
		require.Eventually(t, func() bool {
			list, _, _ := c.replicas[address(i)].suspects.current()
			return len(list) == 1
		}, testWait, 10*time.Millisecond, "listed again")
	}
}
