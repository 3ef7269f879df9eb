package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/routes"
)

// settle makes the entries of a cluster know each other for long enough.
func (s *exchangeCluster) settle() {
	for _, x := range s.exchanges {
		x.currentList()
		x.mu.Lock()
		x.listChangedAt = time.Now().Add(-booking.SettleTime)
		x.mu.Unlock()
	}
}

// ask asks for a place for one more request of an entry, on top of those that it runs.
func (s *exchangeCluster) ask(t *testing.T, entry, server string, running int) bool {
	return s.exchanges[entry].hasPlace(t.Context(), serverLoad{Server: server, Running: running + 1}, 1)
}

// Guards against a brittle server that gets what each entry takes to be room for: two slots, many entries
// that ask at the same time, through whichever entry keeps the server's load.
func TestPlacesHoldOverEntries(t *testing.T) {
	const entries = 8
	s := newExchangeCluster(t, entries)
	s.settle()
	for i := range 6 {
		server := fmt.Sprint("s", i)
		granted := make(map[string]bool)
		var mu sync.Mutex
		var asking sync.WaitGroup
		for name := range s.exchanges {
			asking.Go(func() {
				fits := s.ask(t, name, server, 0)
				mu.Lock()
				granted[name] = fits
				mu.Unlock()
				if !fits {
					s.exchanges[name].reportLoads(serverLoad{Server: server})
				}
			})
		}
		asking.Wait()
		held := 0
		for name, fits := range granted {
			if fits {
				held++
				defer s.exchanges[name].reportLoads(serverLoad{Server: server})
			}
		}
		require.LessOrEqual(t, held, 2)
		require.Positive(t, held)
		require.Eventually(t, func() bool { return !s.ask(t, "entry-0", server, 2) }, 2*time.Second, time.Millisecond, "it is full")
	}
}

// Guards against an entry that has just begun to keep a server's load, and takes it for idle.
func TestNewOwnerGrantsNoPlace(t *testing.T) {
	s := newExchangeCluster(t, 2)
	require.False(t, s.ask(t, "entry-0", "s0", 0))
	s.settle()
	require.Eventually(t, func() bool { return s.ask(t, "entry-0", "s0", 0) }, 2*time.Second, 10*time.Millisecond)
}

// Guards against an owner that goes on to grant places of a server that turns requests away.
func TestOwnerLearnsOfRequestsThatAreTurnedAway(t *testing.T) {
	s := newExchangeCluster(t, 4)
	s.settle()
	for i := range 4 {
		server := fmt.Sprint("s", i)
		require.Eventually(t, func() bool { return s.ask(t, "entry-0", server, 0) }, 2*time.Second, 10*time.Millisecond)
		s.exchanges["entry-1"].reportTurnedAway(server)
		require.Eventually(t, func() bool { return !s.ask(t, "entry-0", server, 0) }, 2*time.Second, time.Millisecond)
	}
}

// Guards against a datagram that makes an entry fail.
func TestMalformedPlaceRequestsAreDropped(t *testing.T) {
	load := serverLoad{Server: "s", Running: 1}
	for _, m := range []message{
		{Kind: kindPlaceRequest},
		{Kind: kindPlaceRequest, Place: &placeRequest{}},
		{Kind: kindPlaceRequest, Loads: []serverLoad{load, load}, Place: &placeRequest{}},
		{Kind: kindPlaceRequest, Loads: []serverLoad{load}, Place: &placeRequest{Brittle: -1}},
	} {
		require.False(t, m.valid())
	}
	require.True(t, (&message{Kind: kindPlaceRequest, Loads: []serverLoad{load}, Place: &placeRequest{}}).valid())
}

// Guards against requests that hang while brittle servers are full, and against a service that counts as
// brittle when its servers no longer say so. The entry knows of no others, so that the servers are its own.
func TestRequestsForFullBrittleServersAreRefusedInTime(t *testing.T) {
	const slots = 8 // of a server of the rig
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, Objective: 400 * time.Millisecond})
	var brittle atomic.Bool
	brittle.Store(true)
	goOn := make(chan struct{})
	s := r.server("web", func(w http.ResponseWriter, req *http.Request) {
		if brittle.Load() {
			w.Header().Set("X-Brittle", "2")
		}
		if req.URL.Path == "/slow" {
			<-goOn
		}
	})
	_, refusal := r.serve("/x")
	require.Nil(t, refusal)
	var slow sync.WaitGroup
	for range slots {
		slow.Go(func() { _, _ = r.serve("/slow") })
	}
	require.Eventually(t, func() bool { return s.count() == 1+slots }, 2*time.Second, time.Millisecond)
	begun := time.Now()
	_, refusal = r.serve("/x")
	require.Equal(t, Overloaded, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.Less(t, time.Since(begun), 400*time.Millisecond)
	brittle.Store(false)
	close(goOn)
	slow.Wait()
	for range 3 {
		_, refusal = r.serve("/x")
		require.Nil(t, refusal)
	}
	_, stillBrittle := r.service("web").brittleLimit(r.now())
	require.False(t, stillBrittle)
	require.Zero(t, r.service("web").brittle.waiting)
}
