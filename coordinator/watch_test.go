package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// commitNothing takes the place of the replicated log of a replica that runs alone.
func commitNothing(context.Context, []origin.ServiceVersion) error { return nil }

// newIdleReplica returns a replica that is not running.
func newIdleReplica(t *testing.T) *Coordinator {
	c, err := New(Config{Node: site.Node{
		Name: "c", IP: "127.0.0.1", Zone: "z", FirstPort: 1, LastPort: 9, Seeds: []string{"127.0.0.1:1"}, DataDir: t.TempDir(),
		Bounds: site.Bounds{
			Drain: time.Second, StopGrace: time.Second, ConfigApply: time.Second, UsageWindow: time.Second, RetryWindow: time.Second, QuotaWindow: time.Second,
		},
	}, ClusterKey: "k"}, Deps{
		Log: slog.New(slog.DiscardHandler), Now: time.Now, FS: storage.OS{}, Seeds: func() []string { return nil },
		Decode: func([]byte) (*routes.Catalogue, error) { return &routes.Catalogue{}, nil },
	})
	require.NoError(t, err)
	t.Cleanup(c.pool.Close)
	c.versions.commit = commitNothing
	return c
}

// Guards against treating revision 0 as no catalogue: the sender would get replies
// without a wait and call again in a busy loop.
func TestRevisionZeroIsACatalogue(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(0, []byte("first"))
	reply, err := c.watch(context.Background(), link.PeerInfo{}, api.WatchRequest{Role: api.RoleEntry, Wait: time.Minute})
	require.NoError(t, err)
	require.Equal(t, "first", string(reply.Document))

	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan api.WatchReply, 1)
	go func() {
		next, _ := c.watch(ctx, link.PeerInfo{}, api.WatchRequest{Role: api.RoleEntry, HasCatalogue: true, Incarnation: reply.Incarnation, Seen: reply.Seen, Wait: time.Minute})
		answered <- next
	}()
	select {
	case <-answered:
		t.Fatal("replied without a change")
	case <-time.After(50 * time.Millisecond):
	}
	c.acceptCatalogue(1, []byte("second"))
	require.Equal(t, "second", string((<-answered).Document))
	cancel()
}

// An entry receives documents from one replica only. Guards against the others sending
// the content too, which would saturate a slow link, or not reporting the new revision
// at once.
func TestRevisionOnlyOmitsDocument(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(1, []byte("first"))
	req := api.WatchRequest{Role: api.RoleEntry, HasCatalogue: true, Revision: 1, RevisionOnly: true, NotifiedRevision: 1, Wait: time.Minute}
	answered := make(chan api.WatchReply, 1)
	go func() {
		reply, _ := c.watch(context.Background(), link.PeerInfo{}, req)
		answered <- reply
	}()
	c.acceptCatalogue(2, []byte("second"))
	reply := <-answered
	require.EqualValues(t, 2, reply.Revision)
	require.Empty(t, reply.Document)

	// Once notified, the sender waits although it lacks the document.
	req.NotifiedRevision, req.Incarnation, req.Seen, req.Wait = 2, reply.Incarnation, reply.Seen, time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.watch(ctx, link.PeerInfo{}, req)
	require.NoError(t, err)
	require.Error(t, ctx.Err(), "it waited")
}

func entryCall(name string, incarnation uint64, usage ...api.WindowUsage) api.WatchRequest {
	return api.WatchRequest{
		Role: api.RoleEntry, Incarnation: incarnation, HasCatalogue: true, Wait: time.Millisecond, Usage: usage, OpenWindow: 1, Share: limit.Report{Index: 1, Held: 1, Divisor: 1},
		Entry: &directory.Entry{Name: name, Incarnation: 1, State: instance.StateServing},
		Loads: []api.ServerLoad{{Server: "s", Running: 1}},
	}
}

// A replica restarts while entries call it. Guards against recording a request for its
// earlier incarnation, which leaves out counts, so that windows would be reported with
// too little usage.
func TestUsageForEarlierIncarnationIsIgnored(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(0, []byte("first"))
	call := func(incarnation uint64, n int64) api.WatchReply {
		usage := api.WindowUsage{Window: 1, Counts: map[string]int64{"w": n}}
		reply, err := c.watch(context.Background(), link.PeerInfo{}, entryCall("a", incarnation, usage))
		require.NoError(t, err)
		return reply
	}
	reply := call(c.incarnation+1, 100) // leaves out other windows
	require.Equal(t, c.incarnation, reply.Incarnation)
	require.Empty(t, c.usage.sum(1))
	call(reply.Incarnation, 5010)
	require.Equal(t, map[string]int64{"w": 5010}, c.usage.sum(1))
}

// Guards against every replica sending the loads and names of hundreds of entries to
// each of them: only the one that also sends the catalogue does.
func TestRevisionOnlyOmitsLoads(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(0, []byte("first"))
	for _, name := range []string{"a", "b"} {
		_, err := c.watch(context.Background(), link.PeerInfo{}, entryCall(name, 0))
		require.NoError(t, err)
	}
	req := entryCall("a", 0)
	var source api.WatchReply
	require.Eventually(t, func() bool {
		var err error
		source, err = c.watch(context.Background(), link.PeerInfo{}, req)
		return err == nil && len(source.LiveNames) == 2
	}, 10*time.Second, liveListTTL)
	require.True(t, source.HasLoads)
	require.Equal(t, []api.ServerLoad{{Server: "s", Running: 1}}, source.Loads)
	req.LiveDigest, req.RevisionOnly = source.LiveDigest, true
	other, err := c.watch(context.Background(), link.PeerInfo{}, req)
	require.NoError(t, err)
	require.False(t, other.HasLoads)
	require.Empty(t, other.Loads)
	req.RevisionOnly = false
	unchanged, err := c.watch(context.Background(), link.PeerInfo{}, req)
	require.NoError(t, err)
	require.Empty(t, unchanged.LiveNames, "the list has not changed")
	require.Equal(t, source.LiveDigest, unchanged.LiveDigest)
}

func serverAnnouncement(id string, sequence uint64, state instance.State) instance.Announcement {
	return instance.Announcement{ID: id, Sequence: sequence, State: state, Address: "10.0.0.1:" + id[1:], Zone: "z", Slots: 1, Services: []string{"web"}}
}

// An entry gets complete records from one replica. Guards against the others sending them
// too, which filled the replicas' memory when hundreds of entries started, and against a
// leave that they do not report.
func TestStatusesReplaceRecords(t *testing.T) {
	c := newIdleReplica(t)
	require.NoError(t, c.Announce(t.Context(), serverAnnouncement("s1", 1, instance.StateServing)))
	req := api.WatchRequest{Role: api.RoleEntry, Detail: api.DetailNone, Wait: time.Minute}
	call := func() api.WatchReply {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		reply, err := c.watch(ctx, link.PeerInfo{ID: "e"}, req)
		require.NoError(t, err)
		require.NoError(t, ctx.Err(), "it did not wait")
		req.Incarnation, req.Seen = reply.Incarnation, reply.Seen
		return reply
	}
	first := call()
	require.Equal(t, "z", first.Zone)
	require.Empty(t, first.Statuses)

	req.Detail = api.DetailStatuses
	statuses := call()
	require.Empty(t, statuses.Servers)
	require.Equal(t, 1, statuses.Statuses.Len())
	require.ErrorIs(t, c.Announce(t.Context(), serverAnnouncement("s1", 2, instance.StateLeaving)), errNoMajorityHolds, "the replica is alone")
	require.Equal(t, instance.StateLeaving, slices.Collect(call().Statuses.All())[0].State)

	req.Detail, req.Seen = api.DetailRecords, 0
	records, err := call().Packed.Unpack()
	require.NoError(t, err)
	require.Equal(t, "s1", records[0].ID)
}

// A site starts: entries wait while servers announce themselves one after the other. Guards
// against a reply to each entry for each server.
func TestSeriesOfChangesIsReportedInBatches(t *testing.T) {
	c := newIdleReplica(t)
	const entries, servers = 50, 200
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var replies atomic.Int64
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() {
			req := api.WatchRequest{Role: api.RoleEntry, Detail: api.DetailStatuses, Wait: time.Minute}
			for ctx.Err() == nil {
				reply, err := c.watch(ctx, link.PeerInfo{ID: fmt.Sprint(i)}, req)
				if err == nil && len(reply.Statuses) > 0 {
					replies.Add(1)
				}
				req.Incarnation, req.Seen = reply.Incarnation, reply.Seen
			}
		})
	}
	for i := range servers {
		require.NoError(t, c.Announce(t.Context(), serverAnnouncement(fmt.Sprintf("s%d", i), 1, instance.StateServing)))
		time.Sleep(time.Second / servers / 2)
	}
	wg.Wait()
	require.LessOrEqual(t, replies.Load(), int64(2*entries+reportRates.Routine))
}

// All replicas restart, and thousands of servers connect to them again over some seconds.
// Guards against judging those that have not yet connected unreachable: entries would refuse
// requests for lack of servers.
func TestReplicaThatHasJustStartedJudgesNoServer(t *testing.T) {
	c := newIdleReplica(t)
	require.False(t, c.judgesServers(5, 5))
	c.startedAt = c.now().Add(-c.judgeAfter - time.Second)
	require.True(t, c.judgesServers(5, 5))
	require.True(t, c.judgesServers(3, 5))
	require.False(t, c.judgesServers(2, 5), "out of contact with most voters")
	require.False(t, c.judgesServers(c.reachedVoters()), "no voters are known")
}
