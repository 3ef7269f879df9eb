package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// exchangeCluster is a set of entries that exchange datagrams over the loopback network.
type exchangeCluster struct {
	exchanges         map[string]*peerExchange
	entries           []directory.Entry
	limits            []*limits // by entry
	sockets           []*datagrams
	datagramAddresses map[string]string // by the host of the address for callers
}

func newExchangeCluster(t *testing.T, n int) *exchangeCluster {
	s := &exchangeCluster{exchanges: make(map[string]*peerExchange), datagramAddresses: make(map[string]string)}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		host := fmt.Sprintf("10.0.0.%d", i+1) // maps to its datagram socket
		x := newPeerExchange(booking.Reporter{Name: name, Incarnation: 1}, time.Now)
		x.liveEntries = func() []directory.Entry { return s.entries }
		x.knownEntries = x.liveEntries
		x.knownEntry = func(name string) (directory.Entry, bool) {
			i := slices.IndexFunc(s.entries, func(e directory.Entry) bool { return e.Name == name })
			if i < 0 {
				return directory.Entry{}, false
			}
			return s.entries[i], true
		}
		x.datagramAddress = func(host string) string { return s.datagramAddresses[host] }
		x.prefillRate = func(string) float64 { return 1 }
		x.slots = func(string) (int, uint64) { return 2, 1 }
		x.entryCount = func() int { return n }
		d := newDatagrams("key", slog.New(slog.DiscardHandler), x.handle)
		require.NoError(t, d.open(t.Context(), "127.0.0.1:0"))
		x.transport = d
		s.sockets = append(s.sockets, d)
		s.exchanges[name] = x
		share := newShares(x.self.Incarnation, time.Now().Add(-time.Minute))
		s.limits = append(s.limits, newLimits(x, share, site.Bounds{}, slog.New(slog.DiscardHandler), time.Now))
		s.entries = append(s.entries, directory.Entry{Name: name, Address: net.JoinHostPort(host, "80")})
		s.datagramAddresses[host] = d.conn.LocalAddr().String()
	}
	for _, d := range s.sockets {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.run(ctx) // returns when ctx ends
		}()
		t.Cleanup(func() { cancel(); <-done })
	}
	return s
}

// An entry places load on servers that others own. Without the owners' responses other
// entries would overload these servers; an entry that got its own load back would count it
// twice.
func TestOwnersReportLoadOfOthers(t *testing.T) {
	s := newExchangeCluster(t, 4)
	var servers []string
	for i := range 12 {
		server := fmt.Sprintf("s%d", i)
		servers = append(servers, server)
		s.exchanges["entry-0"].reportLoads(serverLoad{Server: server, Running: 2, Prefill: 500})
	}
	require.Eventually(t, func() bool {
		loads := s.exchanges["entry-1"].queryLoads(t.Context(), servers)
		for _, l := range loads {
			if l.Running != 2 || l.Prefill < 400 {
				return false
			}
		}
		return len(loads) == len(servers)
	}, 2*time.Second, 10*time.Millisecond)
	for _, l := range s.exchanges["entry-0"].queryLoads(t.Context(), servers) {
		require.Zero(t, l.Running)
	}
}

// distributeShares gives all entries a share of a limit of 100 tokens, whose rate is
// negligible during a test, and waits until the pools' owners have all shares.
func (s *exchangeCluster) distributeShares(t *testing.T) {
	for _, l := range s.limits {
		l.start = time.Now().Add(-time.Minute)
		l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 0.5, Burst: 100}})
		l.shares.record("c1", loneReply(l.exchange.self.Name, l.exchange.self.Incarnation, len(s.limits)), time.Now())
	}
	require.Eventually(t, func() bool {
		for _, l := range s.limits {
			l.updateShare()
			l.renewLeases()
		}
		return s.shareSum(0) > 0.99 && s.shareSum(1) > 0.99
	}, 5*time.Second, 10*time.Millisecond)
}

// shareSum returns the largest sum of shares that an entry has for a pool.
func (s *exchangeCluster) shareSum(pool int) float64 {
	highest := 0.0
	for _, l := range s.limits {
		l.mu.Lock()
		poolLimit, _ := l.poolLimit("w")
		highest = max(highest, l.pools.Pool(limit.Key{Workspace: "w", Number: pool}, poolLimit, time.Now()).ShareSum(time.Now()))
		l.mu.Unlock()
	}
	return highest
}

// fill fills the pools of the limit, which hold 100 tokens in all.
func (s *exchangeCluster) fill() {
	for _, l := range s.limits {
		for pool := range limitPools {
			l.refundLocal(&limitRequest{Workspace: "w", Pool: pool, Cost: 1000})
		}
	}
}

// A workspace's requests reach all entries. Together the entries must admit what one token
// bucket would.
func TestPoolOwnersAdmitForAllEntries(t *testing.T) {
	s := newExchangeCluster(t, 4)
	s.distributeShares(t)
	s.fill()
	admitted := 0
	for i := range 40 {
		d := s.limits[i%4].admit(t.Context(), "w", 10, false)
		if d.ok {
			admitted++
		} else {
			require.Positive(t, d.wait)
		}
	}
	require.Equal(t, 10, admitted, "the limit is 100")
}

// The owners of a limit's pools are frozen or have crashed. Requests must not wait long for
// them, and refused callers must get a Retry-After.
func TestUnreachablePoolOwners(t *testing.T) {
	s := newExchangeCluster(t, 3)
	s.distributeShares(t)
	s.fill()
	for _, d := range s.sockets[1:] {
		require.NoError(t, d.conn.Close())
	}
	l := s.limits[0]
	start := time.Now()
	for range 20 {
		if d := l.admit(t.Context(), "w", 100, false); !d.ok {
			require.Positive(t, d.wait)
		}
	}
	require.Less(t, time.Since(start), 20*(maxLimitAttempts*limitPools*responseTimeout+time.Second/20))
	require.Empty(t, l.exchange.pending, "no call is pending")
}

// An entry for which no replica has voted admits nothing. Otherwise each such entry would
// admit the whole limit.
func TestEntryWithoutShareAdmitsNothing(t *testing.T) {
	s := newExchangeCluster(t, 2)
	s.entries = nil
	for _, l := range s.limits {
		l.start = time.Now().Add(-time.Minute)
		l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 1e6, Burst: 1e6}})
		l.updateShare()
		d := l.admit(t.Context(), "w", 1, false)
		require.False(t, d.ok)
		require.Positive(t, d.wait)
	}
}

// Entries disagree for a moment about the owner of a pool. An entry that is asked but isn't
// the owner has lent its share, and must not admit requests in addition to the owner.
func TestOnlyPoolOwnerAdmits(t *testing.T) {
	s := newExchangeCluster(t, 3)
	s.distributeShares(t)
	s.fill()
	for pool := range limitPools {
		admitted := 0
		for _, l := range s.limits {
			answer, known := l.decide(&limitRequest{Workspace: "w", Pool: pool, Cost: 30})
			require.True(t, known)
			if answer.OK {
				admitted++
			}
		}
		require.Equal(t, 1, admitted)
	}
}

// Requests that did not run are refunded by another entry than the pools' owners. Without
// the refund the workspace would be refused below its limit.
func TestRefundFromAnotherEntry(t *testing.T) {
	s := newExchangeCluster(t, 3)
	s.distributeShares(t)
	s.fill()
	var decisions []decision
	for range 10 {
		for _, l := range s.limits {
			if d := l.admit(t.Context(), "w", 10, false); d.ok {
				decisions = append(decisions, d)
			}
		}
	}
	require.Len(t, decisions, 10)
	for i := range decisions {
		s.limits[0].refund("w", 10, &decisions[i])
	}
	admitted := 0
	require.Eventually(t, func() bool {
		for _, l := range s.limits {
			if l.admit(t.Context(), "w", 10, false).ok {
				admitted++
			}
		}
		return admitted == 10
	}, 5*time.Second, 10*time.Millisecond)
}
