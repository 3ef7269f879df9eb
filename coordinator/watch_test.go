package coordinator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// newIdleReplica returns a replica that runs nothing.
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
	return c
}

// The operators number their first catalogue 0. A process that has it is kept
// waiting like any other: answered at once it would call again at once, and spend
// its whole processor on that.
//
// It breaks if revision 0 stands for having none.
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
		t.Fatal("answered without news")
	case <-time.After(50 * time.Millisecond):
	}
	c.acceptCatalogue(1, []byte("second"))
	require.Equal(t, "second", string((<-answered).Document))
	cancel()
}

// An entry on a thin link gets each catalogue from one replica. The others tell it at
// once that there is a new one, without the content: three catalogues of hundreds of
// kilobytes from six replicas each would take its link for seconds.
//
// It breaks if the content is sent all the same, or the call waits on.
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

	// It knows of it now, and is kept waiting though it has not got it yet.
	req.NotifiedRevision, req.Incarnation, req.Seen, req.Wait = 2, reply.Incarnation, reply.Seen, time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.watch(ctx, link.PeerInfo{}, req)
	require.NoError(t, err)
	require.Error(t, ctx.Err(), "it waited")
}

func entryCall(name string, incarnation uint64, usage ...api.WindowUsage) api.WatchRequest {
	return api.WatchRequest{
		Role: api.RoleEntry, Incarnation: incarnation, HasCatalogue: true, Wait: time.Millisecond, Usage: usage, OpenWindow: 1, ShareDivisor: 1,
		Entry: &directory.Entry{Name: name, Incarnation: 1, State: instance.StateServing},
		Loads: []api.ServerLoad{{Server: "s", Running: 1}},
	}
}

// A replica starts anew while entries call it. Their calls leave out what the life before
// was told of; taken for all that they have counted, windows would be reported with too
// little.
func TestUsageForEarlierIncarnationIsIgnored(t *testing.T) {
	c := newIdleReplica(t)
	c.acceptCatalogue(0, []byte("first"))
	call := func(incarnation uint64, n int64) api.WatchReply {
		usage := api.WindowUsage{Window: 1, Counts: map[string]int64{"w": n}}
		reply, err := c.watch(context.Background(), link.PeerInfo{}, entryCall("a", incarnation, usage))
		require.NoError(t, err)
		return reply
	}
	reply := call(c.incarnation+1, 100) // left out: what it counted in other windows
	require.Equal(t, c.incarnation, reply.Incarnation)
	require.Empty(t, c.usage.sum(1))
	call(reply.Incarnation, 5010)
	require.Equal(t, map[string]int64{"w": 5010}, c.usage.sum(1))
}

// Callers wait for an entry that has just started until it knows its share of the limits.
// It is told at once, and not when a call has been kept waiting for news.
func TestStartingEntryGetsShareVoteImmediately(t *testing.T) {
	c := newIdleReplica(t)
	c.shares = newShareRegistry(c.now(), true)
	c.acceptCatalogue(0, []byte("first"))
	req := entryCall("a", 0)
	req.ShareDivisor, req.Wait = 0, time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	reply, err := c.watch(ctx, link.PeerInfo{}, req)
	require.NoError(t, err)
	require.NoError(t, ctx.Err(), "it did not wait")
	require.Equal(t, limit.ShareVote{Entries: 1, Allowed: true}, reply.ShareVote)
}

// Hundreds of entries follow each of some replicas. One of these tells an entry what all
// others have running and which entries there are; told by each, the replicas would do
// little else.
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
