//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// What the rules allow the servers of a service in one time in which they are brittle: so many falls and
// a share of their number.
const (
	allowedFalls      = 2
	allowedFallsShare = 0.1
)

// The site of the tests of brittle servers. All of them together run brittleCapacity requests a second.
const (
	brittleEntries   = 6
	brittleServers   = 6
	brittleSlots     = 2
	brittleWork      = 100 * time.Millisecond
	brittleCapacity  = brittleServers * brittleSlots * float64(time.Second/brittleWork)
	brittleOutage    = 2 * time.Second
	brittleTurnaways = 3 // in a second, that a server bears
	brittleTime      = 12 * time.Second
)

// Guards against servers that fall over because each entry sends what it takes to be room for, and
// against callers that are refused though the servers have room.
func TestPlatformBrittleServersAreNotOverrun(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int     // requests at each entry
		room      int     // requests that may wait at a server while it is brittle
		minServed float64 // of what is offered, or of the capacity if that is less
		restarts  bool    // of entries, one every two seconds
	}{
		{"load below the capacity", 15, 2, 0.97, false},
		{"load above the capacity", 27, 2, 0.85, false},
		{"no room to wait", 27, 0, 0.7, false},
		{"entries restart", 27, 2, 0.5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBrittleSite(t)
			s.setRate(c.perSecond)
			time.Sleep(2 * time.Second)
			s.setRoom(standin.Room{Slots: brittleSlots, Waiting: 8, Brittle: brittleTurnaways})
			time.Sleep(contactTime)
			s.setRoom(standin.Room{Slots: brittleSlots, Waiting: c.room, Brittle: brittleTurnaways, Falls: true})
			from := time.Now()
			t.Logf("may fall from %s", from.Format("05.000"))
			s.playBrittle(c.restarts)
			to := time.Now()
			s.stop()
			offered := s.tries.between(from, to)
			counts := outcomes(offered)
			served, falls := counts[http.StatusText(http.StatusOK)], len(s.servers.fallTimes())
			due := min(float64(len(offered)), brittleCapacity*to.Sub(from).Seconds())
			t.Logf("%d of %d served, %.0f due, %d falls: %v", served, len(offered), due, falls, counts)
			require.LessOrEqual(t, float64(falls), allowedFalls+allowedFallsShare*brittleServers)
			require.GreaterOrEqual(t, float64(served), c.minServed*due)
		})
	}
}

// playBrittle lets the callers go on for brittleTime.
func (s *brittleSite) playBrittle(restarts bool) {
	const gap = 2 * time.Second
	for i := range int(brittleTime / gap) {
		if restarts {
			s.entries[i].kill(s.t)
			s.entries[i] = s.startPlatformEntry(i)
		}
		time.Sleep(gap)
	}
}

// brittleSite is a site whose servers have little room.
type brittleSite struct {
	*platformSite
	callers []*budgetCaller
	stop    func()
	tries   firstTries
	servers fallingServers

	mu   sync.Mutex
	room standin.Room
}

func newBrittleSite(t *testing.T) *brittleSite {
	s := &brittleSite{room: standin.Room{Slots: brittleSlots, Waiting: 8}}
	s.servers = fallingServers{cfg: standin.ServerConfig{Slots: brittleSlots}, outage: brittleOutage, started: s.setRoomOf}
	s.platformSite = startPlatformSite(t, 3, brittleEntries, func(*platformSite) {}, fallingTurn)
	s.startFallingServers(&s.servers, brittleServers)
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range brittleEntries {
		s.awaitServing(i, "/get/x")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range brittleEntries {
		c := newBudgetCaller(newBudgetAudit(budgetBound{}), s.entryAddr(i), nil)
		c.timeout = time.Second
		s.callers = append(s.callers, c)
		callers.Go(func() { s.call(c, i, stop) })
	}
	s.stop = sync.OnceFunc(func() {
		close(stop)
		callers.Wait()
	})
	t.Cleanup(s.stop)
	return s
}

func (s *brittleSite) setRate(perSecond int) {
	for _, c := range s.callers {
		c.perSecond.Store(int64(perSecond))
	}
}

// call sends requests to entry i at the caller's rate.
func (s *brittleSite) call(c *budgetCaller, i int, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	due, last := 0.0, time.Now()
	path := fmt.Sprintf("/web/slow/%d", brittleWork.Milliseconds())
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		now := time.Now()
		due += now.Sub(last).Seconds() * float64(c.perSecond.Load())
		last = now
		for ; due >= 1; due-- {
			requests.Go(func() { s.tries.add(c.try(i, path, "")) })
		}
	}
}

// setRoom changes the room of all servers.
func (s *brittleSite) setRoom(r standin.Room) {
	s.mu.Lock()
	s.room = r
	s.mu.Unlock()
	s.servers.each(s.setRoomOf)
}

// setRoomOf sets the room of a server.
func (s *brittleSite) setRoomOf(i int, server *standin.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.SetRoom(s.room, func() { s.servers.fall(i, server) })
}
