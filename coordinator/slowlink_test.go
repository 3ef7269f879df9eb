package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
)

// slowFollower follows replicas over a link of some bytes per second, as an entry does, and counts
// what it receives.
type slowFollower struct {
	*follow.Follower
	revision atomic.Uint64
	has      atomic.Bool
	replies  atomic.Int64
	content  atomic.Pointer[[]byte]
	link     *testutil.SlowLink
}

func newSlowFollower(t *testing.T, bytesPerSecond int, seeds []string) *slowFollower {
	f := &slowFollower{link: testutil.NewSlowLink(bytesPerSecond)}
	self := link.PeerInfo{ID: "entry", Incarnation: 1, Role: api.RoleEntry}
	pool := link.NewPool(api.PoolConfig(self, "k"), link.PoolDeps{Dial: f.link.Dial})
	f.Follower = follow.New(follow.Config{SingleSource: true, Zone: "z"}, follow.Deps{
		Pool: pool, Log: slog.New(slog.DiscardHandler), Now: time.Now, Seeds: func() []string { return seeds },
		Request: func() api.WatchRequest {
			return api.WatchRequest{
				Role: api.RoleEntry, HasCatalogue: f.has.Load(), Revision: f.revision.Load(), Wait: 400 * time.Millisecond,
				Entry: &directory.Entry{Name: "entry", Incarnation: 1, State: instance.StateServing}, Share: limit.Report{Index: 1, Held: 1, Divisor: 1},
			}
		},
		Reply: func(string, api.WatchReply) { f.replies.Add(1) }, Catalogue: func(_ string, revision uint64, document []byte) { f.take(revision, document) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		pool.Close()
		<-done
	})
	return f
}

func (f *slowFollower) take(revision uint64, document []byte) {
	if document != nil && (!f.has.Load() || revision > f.revision.Load()) {
		f.content.Store(&document)
		f.revision.Store(revision)
		f.has.Store(true)
	}
}

// await waits until a revision has arrived.
func (f *slowFollower) await(t *testing.T, revision uint64, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return f.has.Load() && f.revision.Load() >= revision }, within, 10*time.Millisecond, "revision %d", revision)
}

// serveReplicas serves replicas that are not running, each with its own state, and returns their
// addresses.
func serveReplicas(t *testing.T, n int, handlers func(i int, srv *link.Server)) (replicas []*Coordinator, addresses []string) {
	for i := range n {
		c := newIdleReplica(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c.self = l.Addr().String()
		srv := link.NewServer(api.ServerConfig(c.peerInfo(), "k"), link.ServerDeps{})
		c.registerHandlers(srv)
		if handlers != nil {
			handlers(i, srv)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, l) }()
		t.Cleanup(func() { cancel(); <-done })
		replicas, addresses = append(replicas, c), append(addresses, c.self)
	}
	return replicas, addresses
}

// routesText returns a document of n routes that doesn't compress to little.
func routesText(n int, random *rand.Rand) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"a.example","path_prefix":"/%016x/","timeout_ms":3000,"note":"%016x%016x"}`, i, random.Uint64(), random.Uint64(), random.Uint64())
	}
	return b.Bytes()
}

// Guards against a catalogue that never reaches an entry, since its transfer takes longer than a
// call may: each call throws away what has arrived, and the next replica begins anew. Callers of
// new routes get 404 from that entry for good.
func TestCatalogueArrivesOverSlowLink(t *testing.T) {
	const bytesPerSecond = 200 << 10
	replicas, addresses := serveReplicas(t, 3, nil)
	random := rand.New(rand.NewPCG(1, 2))
	put := func(revision uint64, document []byte) {
		for _, c := range replicas {
			c.acceptCatalogue(revision, document)
		}
	}
	put(1, []byte("first"))
	f := newSlowFollower(t, bytesPerSecond, addresses)
	f.await(t, 1, 10*time.Second)

	large := routesText(5000, random)
	put(2, large)
	read := f.link.BytesRead()
	transfer := time.Duration(len(large)) * time.Second / bytesPerSecond
	f.await(t, 2, 2*transfer)
	require.Equal(t, string(large), string(*f.content.Load()))
	require.Less(t, f.link.BytesRead()-read, int64(len(large))*5/4, "bytes that the transfer took")

	// A change of one route arrives soon, however large the catalogue is.
	changed := bytes.Replace(large, []byte(`"timeout_ms":3000`), []byte(`"timeout_ms":2000`), 1)
	put(3, changed)
	f.await(t, 3, time.Second)
	require.Equal(t, string(changed), string(*f.content.Load()))
}

// Guards against an entry that waits for a stalled replica, although others have the catalogue: a change would not be in force in time.
func TestCatalogueArrivesBesideStalledReplica(t *testing.T) {
	for still := range 3 {
		t.Run(fmt.Sprint("replica ", still), func(t *testing.T) {
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			replicas, addresses := serveReplicas(t, 3, func(i int, srv *link.Server) {
				if i != still {
					return
				}
				link.Handle(srv, api.MethodDocument, func(ctx context.Context, _ link.PeerInfo, _ document.Request) (document.Part, error) {
					select {
					case <-ctx.Done():
					case <-stop:
					}
					return document.Part{}, ctx.Err()
				})
			})
			f := newSlowFollower(t, 1<<20, addresses)
			for revision := range uint64(4) {
				for _, c := range replicas {
					c.acceptCatalogue(revision+1, routesText(3000, rand.New(rand.NewPCG(revision, 1))))
				}
				f.await(t, revision+1, 1500*time.Millisecond)
			}
		})
	}
}

// Guards against an entry that gets no reply while it asks for one again and again: it would know of no
// server that leaves, and refuse its callers.
func TestRepliesArriveWhileTheyAreAskedForOften(t *testing.T) {
	const slowness, between = 150 * time.Millisecond, 50 * time.Millisecond
	_, seeds := serveReplicas(t, 1, func(_ int, srv *link.Server) {
		link.Handle(srv, api.MethodWatch, func(context.Context, link.PeerInfo, api.WatchRequest) (api.WatchReply, error) {
			time.Sleep(slowness)
			return api.WatchReply{Incarnation: 1}, nil
		})
	})
	f := newSlowFollower(t, 1<<20, seeds)
	require.Eventually(t, func() bool {
		f.Prompt()
		return f.replies.Load() >= 5
	}, testWait/3, between)
}
