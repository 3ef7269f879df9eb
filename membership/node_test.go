package membership

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/relay"
	"savoryreel.example/savoryreel/link"
)

const waitTimeout = 30 * time.Second // limit of waits in real time, reached only on failure

// testProcess is one member over real connections.
type testProcess struct {
	node *Node
	addr string
}

// startProcess runs a node until the test ends. proxy, if not nil, may start a relay
// before it and returns the address that others use.
func startProcess(t *testing.T, id string, seeds []string, proxy func(string) string, antiEntropy time.Duration) *testProcess {
	key := []byte("cluster")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	if proxy != nil {
		addr = proxy(addr)
	}
	self := link.PeerInfo{ID: id, Incarnation: 1, Address: addr, Role: instance.RoleEntry}
	pool := link.NewPool(link.PoolConfig{Self: self, ClusterKey: key}, link.PoolDeps{})
	server := link.NewServer(link.ServerConfig{Self: self, ClusterKey: key}, link.ServerDeps{})
	node, err := New(Config{
		Self:  instance.Member{ID: id, Incarnation: 1, Role: instance.RoleEntry, Region: "r", Zone: "z", LinkAddress: addr},
		Seeds: append(seeds, addr),
		// the tests announce only once
		ServerTimeout:       time.Hour,
		AntiEntropyInterval: antiEntropy,
	}, Deps{Pool: pool})
	require.NoError(t, err)
	node.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- server.Serve(ctx, l) }()
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		pool.Close()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
	})
	return &testProcess{node: node, addr: addr}
}

func eventually(t *testing.T, what string, cond func() bool) {
	start := time.Now()
	require.Eventually(t, cond, waitTimeout, 5*time.Millisecond, what)
	t.Logf("%s after %v", what, time.Since(start).Round(time.Millisecond))
}

// A member that joins must receive the whole state, though it takes many compressed
// messages.
func TestNewMemberReceivesAllRecords(t *testing.T) {
	const servers = 300
	first := startProcess(t, "a", nil, nil, 0)
	for i := range servers {
		require.NoError(t, first.node.Announce(instance.Announcement{
			ID: fmt.Sprintf("gpu-server-%03d", i), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("10.0.1.%d:8000", i),
			State: instance.StateServing, Model: "llama-70b", Region: "r", Zone: "z", Slots: 64,
		}))
	}
	second := startProcess(t, "b", []string{first.addr}, nil, time.Hour)
	eventually(t, "whole state", func() bool { return len(second.node.View().Servers("llama-70b")) == servers })
}

func TestNodesOverRealLinks(t *testing.T) {
	first := startProcess(t, "a", nil, nil, 0)
	second := startProcess(t, "b", []string{first.addr}, nil, 0)
	third := startProcess(t, "c", []string{first.addr}, nil, 0)
	all := []*testProcess{first, second, third}
	var leaving atomic.Bool
	third.node.Subscribe(func(e Event) {
		if e.Kind == ServerLeaving {
			leaving.Store(true)
		}
	})
	a := instance.Announcement{ID: "s", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", State: instance.StateServing, Model: "m", Slots: 4}
	require.NoError(t, second.node.Announce(a))
	first.node.Put("quarantine/x", 2, []byte("body"))
	first.node.SetSelf(func(m *instance.Member) { m.Catalogue = 7 })
	for _, p := range all {
		v := p.node.View()
		eventually(t, "members", func() bool { return len(v.Members(instance.RoleEntry)) == 3 })
		eventually(t, "server", func() bool { return len(v.Servers("m")) == 1 })
		eventually(t, "record", func() bool { r, ok := v.Record("quarantine/x"); return ok && string(r.Body) == "body" })
		eventually(t, "catalogue version", func() bool { m, ok := v.Member("a"); return ok && m.Catalogue == 7 })
	}
	a.Sequence, a.State, a.LeavingIn = 2, instance.StateLeaving, 30_000
	require.NoError(t, second.node.Announce(a))
	eventually(t, "leaving", func() bool {
		s, ok := third.node.View().Server("s")
		return ok && s.State == instance.StateLeaving && s.LeavingIn == 30_000 && len(third.node.View().Servers("m")) == 0
	})
	eventually(t, "event", leaving.Load)
	require.Error(t, second.node.Announce(instance.Announcement{ID: "s"}))
	require.Error(t, second.node.Announce(instance.Announcement{
		ID: strings.Repeat("s", MaxSharedBytes), Address: "x:1", State: instance.StateServing,
	}))
	require.Error(t, second.node.Announce(instance.Announcement{ID: "s", Address: "x:1", State: "asleep"}))
}

// When open connections to an entry go silent while new ones work, its neighbours must
// detect it and reconnect. Otherwise the entry sends requests to servers that have
// left. Digest comparison is set to an hour, so that it doesn't hide the failure.
func TestUpdateArrivesDespiteSilentConnection(t *testing.T) {
	var r *relay.Relay
	first := startProcess(t, "a", nil, nil, time.Hour)
	second := startProcess(t, "b", []string{first.addr}, func(target string) string {
		var err error
		r, err = relay.New(target)
		require.NoError(t, err)
		t.Cleanup(r.Close)
		return r.Addr()
	}, time.Hour)
	v := second.node.View()
	eventually(t, "joined", func() bool { return len(v.Members("")) == 2 && len(first.node.View().Members("")) == 2 })
	r.Silence()
	a := instance.Announcement{ID: "s", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", State: instance.StateLeaving, Model: "m"}
	require.NoError(t, first.node.Announce(a))
	eventually(t, "update", func() bool { _, ok := v.Server("s"); return ok })
}

// Guards against a leave that is acknowledged by the one member that has it, and against a member that
// acknowledges none because others are down.
func TestLeaveIsHeldByOtherMembers(t *testing.T) {
	first := startProcess(t, "a", nil, nil, time.Hour)
	announce := func(id string, sequence uint64, state instance.State) {
		require.NoError(t, first.node.Announce(instance.Announcement{
			ID: id, Incarnation: 1, Sequence: sequence, Address: "10.0.1.1:" + id[1:], State: state, Model: "m", Region: "r", Zone: "z", Slots: 1,
		}))
	}
	announce("s1", 1, instance.StateServing)
	announce("s1", 2, instance.StateLeaving)
	require.NoError(t, first.node.Hold(t.Context(), "s1"), "it is the only member")

	members := []*testProcess{first}
	for i, id := range []string{"b", "c", "d", "e"} {
		members = append(members, startProcess(t, id, []string{first.addr}, nil, time.Hour))
		eventually(t, "members", func() bool { return len(first.node.View().Members("")) == i+2 })
	}
	for i := range 20 {
		id := fmt.Sprintf("s%d", 10+i)
		state := []instance.State{instance.StateLeaving, instance.StateGone}[i%2]
		announce(id, 1, instance.StateServing)
		announce(id, 2, state)
		require.NoError(t, first.node.Hold(t.Context(), id))
		holders := 0
		for _, m := range members[1:] {
			if s, known := m.node.View().Server(id); known && s.State == state {
				holders++
			}
		}
		require.GreaterOrEqual(t, holders, maxHolders)
	}
}

// Guards against an acknowledgement while no other member holds the leave: they are cut off.
func TestLeaveIsNotHeldWithoutOtherMembers(t *testing.T) {
	require.Equal(t, []int{0, 1, 1, 2, 2, 2}, []int{holdersNeeded(1), holdersNeeded(2), holdersNeeded(3), holdersNeeded(4), holdersNeeded(5), holdersNeeded(400)})
	var proxy *relay.Relay
	first := startProcess(t, "a", nil, nil, time.Hour)
	startProcess(t, "b", []string{first.addr}, func(addr string) string {
		var err error
		proxy, err = relay.New(addr)
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		return proxy.Addr()
	}, time.Hour)
	eventually(t, "members", func() bool { return len(first.node.View().Members("")) == 2 })
	proxy.Delay(time.Second)
	require.NoError(t, first.node.Announce(instance.Announcement{
		ID: "s1", Incarnation: 1, Sequence: 1, Address: "10.0.1.1:1", State: instance.StateLeaving, Model: "m", Region: "r", Zone: "z", Slots: 1,
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, first.node.Hold(ctx, "s1"))
}
