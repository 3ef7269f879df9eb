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
)

// booked is some entries on the loopback network that keep each other's books.
type booked struct {
	books   map[string]*bookkeeper
	entries []directory.Entry
	wires   []*datagrams
	ports   map[string]string // datagram address by the host that callers are told
}

func newBooked(t *testing.T, n int) *booked {
	s := &booked{books: make(map[string]*bookkeeper), ports: make(map[string]string)}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		host := fmt.Sprintf("10.0.0.%d", i+1) // stands for its datagram port
		k := newBookkeeper(booking.Teller{Name: name, Life: 1}, time.Now)
		k.entries = func() []directory.Entry { return s.entries }
		k.port = func(host string) string { return s.ports[host] }
		k.rate = func(string) float64 { return 1 }
		k.bucket = func(kept *booking.Limits, workspace string, now time.Time) *booking.Bucket {
			return kept.Bucket(workspace, booking.Limit{Size: 100, Rate: 1}, 100, now)
		}
		d := newDatagrams("key", slog.New(slog.DiscardHandler), k.take)
		require.NoError(t, d.open(t.Context(), "127.0.0.1:0"))
		k.wire = d
		s.wires = append(s.wires, d)
		s.books[name] = k
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

// A workspace's requests come in at all entries. They are let in as by one bucket,
// whichever entry they reach.
func TestOwnerDecidesForAllEntries(t *testing.T) {
	s := newBooked(t, 4)
	let := 0
	for i := range 40 {
		k := s.books[fmt.Sprintf("entry-%d", i%4)]
		answer, asked := k.askLimit(t.Context(), limitQuestion{Workspace: "w", Cost: 10})
		require.True(t, asked)
		if answer.OK {
			let++
		} else {
			require.Positive(t, answer.Wait)
		}
	}
	require.Equal(t, 10, let, "the limit is 100")
}

// The owner of a limit is frozen or has just died. Requests are not held up by it, and
// the entry is told that it has to decide by itself.
func TestOwnerThatDoesNotAnswer(t *testing.T) {
	s := newBooked(t, 2)
	k := s.books["entry-0"]
	for _, d := range s.wires[1:] {
		require.NoError(t, d.conn.Close())
	}
	unanswered := 0
	began := time.Now()
	for i := range 20 {
		if _, asked := k.askLimit(t.Context(), limitQuestion{Workspace: fmt.Sprintf("w%d", i), Cost: 1}); !asked {
			unanswered++
		}
	}
	require.Positive(t, unanswered)
	require.Less(t, time.Since(began), 20*(askWait+time.Second/20))
	require.Empty(t, k.asked, "no question is kept")
}

// An entry that no replica hears, or that is not told which entries are up, must not take
// itself for the owner of all limits: each of seventy would let in the whole limit.
func TestEntryThatKnowsOfNoneOwnsNothing(t *testing.T) {
	s := newBooked(t, 2)
	s.entries = nil
	for _, k := range s.books {
		_, asked := k.askLimit(t.Context(), limitQuestion{Workspace: "w", Cost: 1})
		require.False(t, asked)
	}
}

// Entries disagree for a moment about who is up. One that is asked but is not the owner
// by what it knows does not decide.
func TestOnlyTheOwnerDecides(t *testing.T) {
	s := newBooked(t, 3)
	for name, k := range s.books {
		_, known := k.decide(&limitQuestion{Workspace: "w", Cost: 1})
		local, _, _ := k.limitOwner("w")
		require.Equal(t, local, known, name)
	}
}

// What a request that did not run had used up is given back, also from another entry.
func TestUseIsGivenBack(t *testing.T) {
	s := newBooked(t, 3)
	for _, k := range s.books {
		k.tellLimit(limitQuestion{Workspace: "w", Cost: 30})
	}
	taken := func(cost float64) bool {
		answer, asked := s.books["entry-0"].askLimit(t.Context(), limitQuestion{Workspace: "w", Cost: cost})
		return asked && answer.OK
	}
	require.Eventually(t, func() bool { return !taken(15) }, 2*time.Second, 10*time.Millisecond)
	for _, k := range s.books {
		k.tellLimit(limitQuestion{Workspace: "w", Cost: -30})
	}
	require.Eventually(t, func() bool { return taken(70) }, 2*time.Second, 10*time.Millisecond)
}
