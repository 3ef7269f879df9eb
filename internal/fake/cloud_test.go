package fake_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

func startCloud(t *testing.T) (*fake.Cloud, *native.CloudClient) {
	t.Helper()
	cloud := fake.NewCloud(fake.CloudConfig{Prices: []native.Price{
		{Zone: "z1", Class: "gpu", Kind: native.Reclaimable, PerHour: 1},
		{Zone: "z1", Class: "gpu", Kind: native.OnDemand, PerHour: 3},
		{Zone: "z2", Class: "gpu", Kind: native.Reclaimable, PerHour: 2},
	}}, fake.Deps{})
	server := httptest.NewServer(cloud.Handler())
	client := native.NewCloud(native.CloudConfig{Address: server.Listener.Addr().String()})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return cloud, client
}

// Guards against a retried start, after a lost answer, that starts and bills a
// second instance.
func TestCloudStartsOncePerToken(t *testing.T) {
	cloud, client := startCloud(t)
	ctx := context.Background()
	req := native.StartRequest{ClientToken: "t1", Zone: "z1", Class: "gpu", Kind: native.Reclaimable}
	first, err := client.Start(ctx, req)
	require.NoError(t, err)
	repeated, err := client.Start(ctx, req)
	require.NoError(t, err)
	require.Equal(t, first, repeated)
	require.Equal(t, fake.CloudStats{Started: 1, Repeated: 1}, cloud.Stats())
	require.NoError(t, client.Stop(ctx, first.ID))
	list, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, native.InstanceStopped, list[0].State)
}

// Guards against a refused zone that starts instances or affects other zones.
func TestCloudRefusesStartsByZone(t *testing.T) {
	cloud, client := startCloud(t)
	cloud.Refuse("z1")
	ctx := context.Background()
	_, err := client.Start(ctx, native.StartRequest{ClientToken: "a", Zone: "z1", Class: "gpu", Kind: native.OnDemand})
	require.True(t, native.NoCapacity(err))
	require.True(t, native.NotRun(err))
	_, err = client.Start(ctx, native.StartRequest{ClientToken: "b", Zone: "z2", Class: "gpu", Kind: native.Reclaimable})
	require.NoError(t, err)
}

// Guards against a wave that misses reclaimable instances, affects on-demand ones
// or doesn't wake a waiting long poll.
func TestCloudReclaimsAZoneInOneWave(t *testing.T) {
	cloud, client := startCloud(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for token, kind := range map[string]native.PurchaseKind{
		"a": native.Reclaimable, "b": native.Reclaimable, "c": native.OnDemand,
	} {
		_, err := client.Start(ctx, native.StartRequest{ClientToken: token, Zone: "z1", Class: "gpu", Kind: kind})
		require.NoError(t, err)
	}
	pages := make(chan native.NoticePage, 1)
	go func() {
		page, _ := client.Notices(ctx, 0, waitTimeout)
		pages <- page
	}()
	require.Len(t, cloud.Wave("z1", 0), 2)
	page := <-pages
	require.Len(t, page.Notices, 2)
	require.EqualValues(t, 2, page.Last(0))
	empty, err := client.Notices(ctx, page.Last(0), time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, empty.Notices)
	list, err := client.Instances(ctx)
	require.NoError(t, err)
	states := make(map[native.InstanceState]int)
	for _, i := range list {
		states[i.State]++
	}
	require.Equal(t, map[native.InstanceState]int{native.InstanceReclaimed: 2, native.InstanceRunning: 1}, states)
}
