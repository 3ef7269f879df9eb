package e2e

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

// startCloud serves a stand-in cloud API until the test ends and configures the site's
// control replicas to use it. It must be called before startControl.
func (s *site) startCloud() *fake.Cloud {
	s.t.Helper()
	var prices []native.Price
	for _, z := range []string{"z1", "z2"} {
		prices = append(prices, native.Price{Zone: z, Class: "g1", Kind: native.Reclaimable, PerHour: 1})
	}
	c := fake.NewCloud(fake.CloudConfig{Prices: prices}, fake.Deps{})
	l, err := net.Listen("tcp", s.addr(7400))
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx, l) // ends with the test
	}()
	s.t.Cleanup(func() { cancel(); <-done })
	s.extraControlArgs = []string{
		"--cloud", s.addr(7400), "--cloud-zones", "z1=r1/dc1,z2=r1/dc2", "--cloud-classes", "g1=400",
		"--entries", s.addr(entryPort(1) + 1),
	}
	return c
}

// leaveOrderFences returns the fencing tokens of the leave orders that engine i followed.
func (s *site) leaveOrderFences(i int) []fleet.Fence {
	var fences []fleet.Fence
	for _, o := range s.engineStats(i).Orders {
		if o.Kind == native.OrderLeave {
			fences = append(fences, fleet.Fence(o.Fence))
		}
	}
	return fences
}

// Guards against orders from a replaced control leader: it is frozen, the cloud
// reclaims a zone, and the new leader orders the server to leave. The resumed leader
// sees the same notice but must send no order; the stand-in server does not check
// fencing tokens, so it would record one.
func TestFrozenLeaderGivesNoOrder(t *testing.T) {
	s := newSite(t)
	cloud := s.startCloud()
	api := native.NewCloud(native.CloudConfig{Address: s.addr(7400)})
	defer api.Close()
	replicas := s.startControl(3)
	s.startEntry(1, "z1")
	s.apply(newTestCatalogue())
	for i, z := range []string{"z1", "z2"} {
		started, err := api.Start(t.Context(), native.StartRequest{ClientToken: fmt.Sprint("other/", i), Zone: z, Class: "g1", Kind: native.Reclaimable})
		require.NoError(t, err)
		s.startEngine(i+1, z, "--id", started.ID)
	}
	s.waitForServers(1, 2)
	waitForLeaveOrders := func(i, n int) {
		s.eventually(fmt.Sprintf("engine %d is ordered to leave", i), func() error {
			if got := s.leaveOrderFences(i); len(got) < n {
				return fmt.Errorf("orders %v", got)
			}
			return nil
		})
	}
	cloud.Wave("z1", time.Minute)
	waitForLeaveOrders(1, 1)
	oldLeader := s.leaderID()
	frozen := replicas[oldLeader[0]-'1']
	frozen.freeze(t)
	cloud.Wave("z2", time.Minute)
	waitForLeaveOrders(2, 1)
	frozen.signal(t, syscall.SIGCONT)
	s.eventually("the old leader is a follower", func() error {
		for _, r := range s.operator().Replicas(t.Context()) {
			if r.ID == oldLeader && r.Role != "leader" && r.Leader != "0" {
				return nil
			}
		}
		return fmt.Errorf("not a follower yet")
	})
	first, second := s.leaveOrderFences(1), s.leaveOrderFences(2)
	require.Greater(t, second[0].Term(), first[0].Term())
	for _, f := range second {
		require.Equal(t, second[0].Term(), f.Term(), "%v", second)
	}
}
