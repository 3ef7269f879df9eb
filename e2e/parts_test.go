//go:build linux

package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// What the rules allow once a part has crashed crashesUntilPartKnown servers: so many requests with it
// that reach servers later than contactTime after that.
const (
	crashesUntilPartKnown = 5
	allowedPartArrivals   = 3
)

// The site of the tests of parts that crash servers.
const (
	partsEntries = 6
	partsServers = 10
	partsRate    = 50 // requests a second, over all entries
	partsBadOf   = 10 // one request of so many has the part that crashes servers
	partsOutage  = 1500 * time.Millisecond
	partsTime    = 20 * time.Second
	soundTime    = 4 * time.Second // at least, in which sound requests are counted
)

// Guards against a part of a prompt that crashes each server which begins to answer it: requests with it
// are never alike, come at any entry and take server after server; sound requests of the same caller,
// which share their first part, are refused or lose their servers. That holds while processes restart and
// control changes its leader.
func TestPlatformPartThatCrashesServers(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(s *partsSite, i int) // each second
	}{
		{"steady", func(*partsSite, int) {}},
		{"entries restart", func(s *partsSite, i int) {
			n := i % partsEntries
			s.entries[n].kill(s.t)
			s.entries[n] = s.startPlatformEntry(n)
		}},
		{"control replicas restart", func(s *partsSite, i int) {
			if n := i / 3 % 3; i%3 == 0 {
				s.controls[n].kill(s.t)
				s.controls[n] = s.startPlatformControl(n, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPartsSite(t)
			s.callers.Go(s.call)
			time.Sleep(2 * time.Second)
			s.bad.Store(true)
			for i := range int(partsTime / time.Second) {
				if i >= 5 {
					c.disturb(s, i)
				}
				time.Sleep(time.Second)
			}
			for time.Now().Before(s.partKnown().Add(contactTime + soundTime)) {
				time.Sleep(100 * time.Millisecond) // the fifth crash may be that of a late trial
			}
			close(s.stop)
			s.callers.Wait()
			s.check(c.name == "steady")
		})
	}
}

// partsSite is a site to which sound requests come, and some with a part that crashes servers.
type partsSite struct {
	*platformSite
	callers sync.WaitGroup
	stop    chan struct{}
	bad     atomic.Bool // requests with the part are sent
	servers fallingServers
	sound   firstTries

	mu       sync.Mutex
	arrivals []time.Time // of requests with the part, at servers
}

func newPartsSite(t *testing.T) *partsSite {
	s := &partsSite{stop: make(chan struct{})}
	s.servers = fallingServers{outage: partsOutage, started: s.watchServer}
	s.platformSite = startPlatformSite(t, 3, partsEntries, func(*platformSite) {}, fallingTurn)
	s.startFallingServers(&s.servers, partsServers)
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range partsEntries {
		s.awaitServing(i, "/get/x")
	}
	return s
}

// watchServer notes the requests that reach a server, and lets it fall when one crashes it.
func (s *partsSite) watchServer(i int, server *standin.Server) {
	server.OnArrival(func(a standin.Arrival) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.Crashes {
			s.arrivals = append(s.arrivals, a.At)
		}
	})
	server.OnCrash(func(string) { s.servers.fall(i, server) })
}

// call sends requests to the entries in turn. All share their first part; those with the part that
// crashes servers have a path, a body and a last part of their own, as the others.
func (s *partsSite) call() {
	var callers []*budgetCaller
	for i := range partsEntries {
		callers = append(callers, newBudgetCaller(newBudgetAudit(budgetBound{}), s.entryAddr(i), nil))
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	tick := time.NewTicker(time.Second / partsRate)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		middle := fmt.Sprintf("cafe%04d", rand.IntN(8))
		bad := s.bad.Load() && n%partsBadOf == 0
		if bad {
			middle = standin.CrashPart
		}
		parts := fmt.Sprintf("feed0001:400,%s:200,%08x:100", middle, rand.Uint32())
		path := []string{"/get/x", "/web/x", "/chat/stream/3"}[n%3]
		if n%3 != 2 {
			path = fmt.Sprintf("%s%d", path, n)
		}
		i := rand.IntN(partsEntries)
		requests.Go(func() {
			if try := callers[i].try(i, path, parts); !bad {
				s.sound.add(try)
			}
		})
	}
}

// partKnown returns from when requests with the part must be held back, after the fifth crash or the last one.
func (s *partsSite) partKnown() time.Time {
	crashes := s.servers.fallTimes()
	require.NotEmpty(s.t, crashes)
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes[min(crashesUntilPartKnown, len(crashes))-1].Add(contactTime)
}

// check checks what reached servers, and how sound requests were served.
func (s *partsSite) check(steady bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.partKnown()
	late := 0
	for _, at := range s.arrivals {
		if at.After(known) {
			late++
		}
	}
	sound := outcomes(s.sound.between(known.Add(contactTime), time.Now()))
	all := total(sound)
	s.t.Logf("%d servers crashed, %d requests with the part reached servers, %d of them late; sound requests: %v", len(s.servers.fallTimes()), len(s.arrivals), late, sound)
	require.LessOrEqual(s.t, late, allowedPartArrivals)
	require.Greater(s.t, all, 100)
	atLeast := 0.5
	if steady {
		atLeast = 0.97
	}
	require.GreaterOrEqual(s.t, float64(sound[http.StatusText(http.StatusOK)]), atLeast*float64(all))
}
