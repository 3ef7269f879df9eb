package coordinator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// newQuiet returns a replica that runs nothing.
func newQuiet(t *testing.T) *Coordinator {
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
	c := newQuiet(t)
	c.offer(0, []byte("first"))
	reply, err := c.watch(context.Background(), link.PeerInfo{}, api.WatchRequest{Role: api.RoleEntry, Wait: time.Minute})
	require.NoError(t, err)
	require.Equal(t, "first", string(reply.Document))

	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan api.WatchReply, 1)
	go func() {
		next, _ := c.watch(ctx, link.PeerInfo{}, api.WatchRequest{Role: api.RoleEntry, Has: true, Life: reply.Life, Seen: reply.Seen, Wait: time.Minute})
		answered <- next
	}()
	select {
	case <-answered:
		t.Fatal("answered without news")
	case <-time.After(50 * time.Millisecond):
	}
	c.offer(1, []byte("second"))
	require.Equal(t, "second", string((<-answered).Document))
	cancel()
}
