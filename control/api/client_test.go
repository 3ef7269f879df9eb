package api

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/link"
)

// versionReplies returns the replies of replicas with these indexes.
func versionReplies(indexes []uint64) []VersionReply {
	replies := make([]VersionReply, len(indexes))
	for i, index := range indexes {
		replies[i].Index = index
	}
	return replies
}

func TestMain(m *testing.M) { testutil.Main(m) }

// replicaLogs models the logs of the control replicas.
type replicaLogs struct {
	newest   []uint64 // by replica: index of the newest catalogue change in its log
	accepted uint64   // index of the newest change that is in the logs of a majority
}

func drawReplicaLogs(t *rapid.T) replicaLogs {
	n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
	m := replicaLogs{newest: make([]uint64, n)}
	for index := range uint64(rapid.IntRange(0, 12).Draw(t, "changes")) {
		holders := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, n, rapid.ID[int]).Draw(t, "holders")
		for _, r := range holders {
			m.newest[r] = index + 1
		}
		if len(holders) > n/2 {
			m.accepted = index + 1
		}
	}
	return m
}

// Guards against a confirmed catalogue that lacks an accepted change: an entry would
// still serve a workspace that an operator has removed. Whichever majority replies,
// Needed must be at least the newest accepted change. Fails with indexes[0] in
// confirmation.
func TestConfirmationCoversEveryAcceptedChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawReplicaLogs(t)
		n := len(m.newest)
		replied := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID[int]).Draw(t, "answered")
		var indexes []uint64
		for _, r := range replied {
			indexes = append(indexes, m.newest[r])
		}
		c, err := confirmation(versionReplies(indexes), n)
		if len(replied) <= n/2 {
			require.ErrorIs(t, err, ErrNoMajority)
			return
		}
		require.NoError(t, err)
		require.GreaterOrEqual(t, c.Needed, m.accepted)
		require.Equal(t, slices.Max(indexes), c.Newest)
	})
}

// Guards against a change that only a partitioned old leader has in its log making
// every entry's catalogue outdated: the entries would refuse all requests until the
// partition ends. Fails with the highest index in confirmation.
func TestConfirmationIgnoresUncommittedChangeOfOldLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		current := rapid.Uint64Range(1, 100).Draw(t, "current")
		indexes := make([]uint64, rapid.IntRange(n/2+2, n).Draw(t, "answers"))
		for i := range indexes {
			indexes[i] = rapid.Uint64Range(0, current).Draw(t, "index")
		}
		indexes[rapid.IntRange(0, len(indexes)-1).Draw(t, "old leader")] = current + 1
		c, err := confirmation(versionReplies(indexes), n)
		require.NoError(t, err)
		require.LessOrEqual(t, c.Needed, current)
	})
}

// Guards against confirmations that wait until the timeout for a replica whose process
// is suspended: the catalogue of every entry would come close to expiry. Fails without
// the grace in collectReplies.
func TestCollectDoesNotWaitForUnresponsiveReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replies := make(chan *VersionReply, 3)
		replies <- &VersionReply{Index: 4}
		replies <- &VersionReply{Index: 7}
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		defer cancel()
		start := time.Now()
		require.Equal(t, versionReplies([]uint64{4, 7}), collectReplies(ctx, replies, 3))
		require.Equal(t, majorityGrace, time.Since(start))
	})
}

// Guards against a single reply of three that counts as a majority, and against a call
// that does not end with its timeout. Fails without the majority check in
// confirmation.
func TestNoConfirmationWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replies := make(chan *VersionReply, 3)
		replies <- nil
		replies <- &VersionReply{Index: 7}
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		defer cancel()
		start := time.Now()
		collected := collectReplies(ctx, replies, 3)
		require.Equal(t, attemptTimeout, time.Since(start))
		_, err := confirmation(collected, 3)
		require.ErrorIs(t, err, ErrNoMajority)
	})
}

// Guards against a majority counted over voters that an old leader appended and never
// committed: an entry could confirm an outdated catalogue and accept a revoked key.
// Fails without Term in the comparison of newestVoters.
func TestNewestVotersAreThoseOfHighestTerm(t *testing.T) {
	uncommitted := VotersReply{Term: 2, VotersIndex: 50, Voters: []ReplicaAddress{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}, {ID: 4, Address: "d"}}}
	committed := VotersReply{Term: 3, VotersIndex: 40, Voters: []ReplicaAddress{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}}
	withoutVoters := VotersReply{Term: 9}
	require.Equal(t, []string{"a", "b", "c"}, newestVoters([]VotersReply{uncommitted, committed, withoutVoters}))
	require.Equal(t, []string{"a", "b", "c"}, newestVoters([]VotersReply{withoutVoters, committed, uncommitted}))
	_, err := confirmation([]VersionReply{{Index: 7}}, 3)
	require.ErrorIs(t, err, ErrNoMajority)
}

// Guards against a catalogue that never reaches an entry over a slow link, since its transfer takes
// longer than one call to a replica: the entry would serve by the old one for good.
func TestCatalogueArrivesOverSlowLink(t *testing.T) {
	const bytesPerSecond, workspaces = 200 << 10, 8000
	reply := CatalogueReply{Index: 5, Version: 3}
	for i := range workspaces {
		reply.Catalogue.Workspaces = append(reply.Catalogue.Workspaces, contract.Workspace{Name: fmt.Sprint("workspace-", i), Owner: fmt.Sprint("owner-", i)})
	}
	encoded, err := EncodeCatalogue(&reply)
	require.NoError(t, err)
	documents := document.NewStore(time.Now)
	documents.Put(reply.Index, encoded)
	var replicas []string
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		srv := link.NewServer(link.ServerConfig{Self: link.PeerInfo{ID: fmt.Sprint("r", i)}, ClusterKey: []byte("k")}, link.ServerDeps{})
		link.Handle(srv, MethodCatalogue, func(_ context.Context, _ link.PeerInfo, r document.Request) (document.Part, error) {
			return documents.Part(&r), nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, l) }()
		t.Cleanup(func() { cancel(); <-done })
		replicas = append(replicas, l.Addr().String())
	}
	pool := link.NewPool(link.PoolConfig{Self: link.PeerInfo{ID: "entry"}, ClusterKey: []byte("k")}, link.PoolDeps{Dial: testutil.NewSlowLink(bytesPerSecond).Dial})
	t.Cleanup(pool.Close)
	client := NewClient(pool, replicas, "entry")
	var got CatalogueReply
	transfer := time.Duration(len(encoded)) * time.Second / bytesPerSecond
	require.Greater(t, transfer, 2*attemptTimeout)
	for deadline := time.Now().Add(2 * transfer); time.Now().Before(deadline) && got.Index == 0; {
		if r, err := client.Catalogue(t.Context(), 1); err == nil && !r.Unchanged {
			got = r
		}
	}
	require.Equal(t, reply.Index, got.Index)
	require.Len(t, got.Catalogue.Workspaces, workspaces)
}

// Guards against replies that grow with each kind of record whose index they contain, or that can't be
// decoded.
func TestVersionReplyIsSmall(t *testing.T) {
	r := VersionReply{Replica: "1", Index: 70_000, Set: 1 << 63, Quarantine: 70_001}
	encoded, err := msgpack.Marshal(r)
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), 22)
	var decoded VersionReply
	require.NoError(t, msgpack.Unmarshal(encoded, &decoded))
	require.Equal(t, r, decoded)
}
