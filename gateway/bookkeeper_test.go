package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// booked is some entries on the loopback network that keep each other's books.
type booked struct {
	books   map[string]*bookkeeper
	entries []directory.Entry
	limits  []*limits // by entry
	wires   []*datagrams
	ports   map[string]string // datagram address by the host that callers are told
}

func newBooked(t *testing.T, n int) *booked {
	s := &booked{books: make(map[string]*bookkeeper), ports: make(map[string]string)}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		host := fmt.Sprintf("10.0.0.%d", i+1) // stands for its datagram port
		k := newBookkeeper(booking.Reporter{Name: name, Incarnation: 1}, time.Now)
		k.entries = func() []directory.Entry { return s.entries }
		k.known = k.entries
		k.port = func(host string) string { return s.ports[host] }
		k.rate = func(string) float64 { return 1 }
		d := newDatagrams("key", slog.New(slog.DiscardHandler), k.take)
		require.NoError(t, d.open(t.Context(), "127.0.0.1:0"))
		k.wire = d
		s.wires = append(s.wires, d)
		s.books[name] = k
		own := newShares(time.Now().Add(-time.Minute))
		s.limits = append(s.limits, newLimits(k, own, site.Bounds{}, slog.New(slog.DiscardHandler), time.Now))
		s.entries = append(s.entries, directory.Entry{Name: name, Address: net.JoinHostPort(host, "80")})
		s.ports[host] = d.conn.LocalAddr().String()
	}
	for _, d := range s.wires {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.run(ctx) // it ends with ctx
		}()
		t.Cleanup(func() { cancel(); <-done })
	}
	return s
}

// An entry has sent work to servers. Whichever other entry asks next hears of it, and
// the one that sent it is not told of its own.
func TestOwnersTellWhatRuns(t *testing.T) {
	s := newBooked(t, 4)
	var servers []string
	for i := range 12 {
		server := fmt.Sprintf("s%d", i)
		servers = append(servers, server)
		s.books["entry-0"].tell(serverLoad{Server: server, Running: 2, Prefill: 500})
	}
	require.Eventually(t, func() bool {
		loads := s.books["entry-1"].ask(t.Context(), servers)
		for _, l := range loads {
			if l.Running != 2 || l.Prefill < 400 {
				return false
			}
		}
		return len(loads) == len(servers)
	}, 2*time.Second, 10*time.Millisecond)
	for _, l := range s.books["entry-0"].ask(t.Context(), servers) {
		require.Zero(t, l.Running)
	}
}

// share has a control replica give all entries a share of a limit of 100 tokens, which
// brings too few in the course of a test to matter, and waits until the pools' keepers have
// all shares.
func (s *booked) share(t *testing.T) {
	for _, l := range s.limits {
		l.start = time.Now().Add(-time.Minute)
		l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 0.5, Burst: 100}})
		l.shares.take("c1", limit.ShareVote{Entries: len(s.limits), Allowed: true}, 1, time.Now())
	}
	require.Eventually(t, func() bool {
		for _, l := range s.limits {
			l.takePart()
			l.askShares()
		}
		return s.parts(0) > 0.99 && s.parts(1) > 0.99
	}, 5*time.Second, 10*time.Millisecond)
}

// parts returns what the keeper of a pool has of its shares.
func (s *booked) parts(pool int) float64 {
	most := 0.0
	for _, l := range s.limits {
		l.mu.Lock()
		of, _ := l.limitOf("w")
		most = max(most, l.keeper.Pool(limit.Key{Workspace: "w", Number: pool}, of, time.Now()).ShareSum(time.Now()))
		l.mu.Unlock()
	}
	return most
}

// fill has what the limit's pools hold be a hundred tokens in all.
func (s *booked) fill() {
	for _, l := range s.limits {
		for pool := range limitPools {
			l.putBack(&limitQuestion{Workspace: "w", Pool: pool, Cost: 1000})
		}
	}
}

// A workspace's requests come in at all entries. They are let in as by one bucket,
// whichever entry they reach.
func TestKeepersDecideForAllEntries(t *testing.T) {
	s := newBooked(t, 4)
	s.share(t)
	s.fill()
	let := 0
	for i := range 40 {
		d := s.limits[i%4].take(t.Context(), "w", 10, false)
		if d.ok {
			let++
		} else {
			require.Positive(t, d.wait)
		}
	}
	require.Equal(t, 10, let, "the limit is 100")
}

// The keepers of a limit are frozen or have just died. Requests are not held up by them for
// long, and callers are told to come back when others have taken the pools over.
func TestKeeperThatDoesNotAnswer(t *testing.T) {
	s := newBooked(t, 3)
	s.share(t)
	s.fill()
	for _, d := range s.wires[1:] {
		require.NoError(t, d.conn.Close())
	}
	l := s.limits[0]
	began := time.Now()
	for range 20 {
		if d := l.take(t.Context(), "w", 100, false); !d.ok {
			require.Positive(t, d.wait)
		}
	}
	require.Less(t, time.Since(began), 20*(limitTries*limitPools*askWait+time.Second/20))
	require.Empty(t, l.books.asked, "no question is kept")
}

// An entry of which no replica says that it has a share must not take itself for the only
// one: each of seventy would let in the whole limit.
func TestEntryWithoutAShareLetsInNothing(t *testing.T) {
	s := newBooked(t, 2)
	s.entries = nil
	for _, l := range s.limits {
		l.start = time.Now().Add(-time.Minute)
		l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 1e6, Burst: 1e6}})
		l.takePart()
		d := l.take(t.Context(), "w", 1, false)
		require.False(t, d.ok)
		require.Positive(t, d.wait)
	}
}

// Entries disagree for a moment about who keeps a pool. One that is asked and is not the
// keeper has lent its share, and lets in nothing beside the keeper.
func TestOnlyTheKeeperLetsIn(t *testing.T) {
	s := newBooked(t, 3)
	s.share(t)
	s.fill()
	for pool := range limitPools {
		let := 0
		for _, l := range s.limits {
			answer, known := l.decide(&limitQuestion{Workspace: "w", Pool: pool, Cost: 30})
			require.True(t, known)
			if answer.OK {
				let++
			}
		}
		require.Equal(t, 1, let)
	}
}

// What a request that did not run had used up is given back, also from another entry.
func TestUseIsGivenBack(t *testing.T) {
	s := newBooked(t, 3)
	s.share(t)
	s.fill()
	var taken []decision
	for range 10 {
		for _, l := range s.limits {
			if d := l.take(t.Context(), "w", 10, false); d.ok {
				taken = append(taken, d)
			}
		}
	}
	require.Len(t, taken, 10)
	for i := range taken {
		s.limits[0].refund("w", 10, &taken[i])
	}
	let := 0
	require.Eventually(t, func() bool {
		for _, l := range s.limits {
			if l.take(t.Context(), "w", 10, false).ok {
				let++
			}
		}
		return let == 10
	}, 5*time.Second, 10*time.Millisecond)
}
