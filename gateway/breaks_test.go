package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/routes"
)

// breakAt reports a break of the request with fingerprint 7 from an entry.
func (s *exchangeCluster) breakAt(t *testing.T, entry, server string) int {
	return s.exchanges[entry].reportBreak(t.Context(), breakMessage{Fingerprint: 7, Server: server, Incarnation: 1})
}

// Guards against a request that crashes servers and comes through another entry each time: each
// entry would take it for one that broke off once.
func TestBreaksAreCountedOverAllEntries(t *testing.T) {
	s := newExchangeCluster(t, 6)
	require.Equal(t, 1, s.breakAt(t, "entry-0", "a"))
	require.Equal(t, 2, s.breakAt(t, "entry-1", "b"))
	require.Equal(t, 2, s.breakAt(t, "entry-2", "b"))
	require.Equal(t, suspect.MaxServers, s.breakAt(t, "entry-3", "c"))
	require.Equal(t, suspect.MaxServers, s.breakAt(t, "entry-4", "a"))
}

// Guards against an owner that starts anew and has lost what it counted.
func TestBreaksAreKnownWithoutOneOwner(t *testing.T) {
	s := newExchangeCluster(t, 6)
	s.breakAt(t, "entry-0", "a")
	s.breakAt(t, "entry-0", "b")
	lost := s.exchanges["entry-0"].currentList().owners.OwnerAt("request/7", 0)
	s.exchanges[lost].breaks.forget(7) // as if it had started anew
	for i := range 6 {
		require.Equal(t, suspect.MaxServers, s.breakAt(t, fmt.Sprint("entry-", i), "c"))
	}
}

// Guards against a request of many callers that is not repeated any more after some broken
// connections, although servers answer it.
func TestAnswerClearsBreaksAtOwners(t *testing.T) {
	s := newExchangeCluster(t, 4)
	for _, server := range []string{"a", "b", "c"} {
		s.breakAt(t, "entry-0", server)
	}
	require.True(t, s.exchanges["entry-0"].breaks.forget(7))
	s.exchanges["entry-0"].reportAnswer(7)
	require.Eventually(t, func() bool {
		for _, x := range s.exchanges {
			if !x.breaks.empty() {
				return false
			}
		}
		return true
	}, 2*time.Second, time.Millisecond)
}

// Guards against a request of many callers that is not repeated any more because servers reset
// some of its connections.
func TestBrokenConnectionsMakeNoSuspect(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2})
	for range suspect.MaxServers + 1 {
		r.server("web", abort)
	}
	r.server("web", respond("ok"))
	r.fillBudgetFor(40)
	for range 20 {
		_, _ = r.serve("/x")
	}
	require.True(t, r.exchange.breaks.empty())
}
