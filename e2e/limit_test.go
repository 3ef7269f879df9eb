package e2e

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// What the rules allow a server that names a limit, over all entries.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitAudit records what arrives at servers.
type limitAudit struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time // by server
}

func (a *limitAudit) record(r standin.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals[r.Server] = append(a.arrivals[r.Server], r.At)
}

// worst returns the most requests that a server got in any window from a time on, and all of them.
func (a *limitAudit) worst(server string, from time.Time) (most, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := slices.DeleteFunc(slices.Clone(a.arrivals[server]), func(at time.Time) bool { return at.Before(from) })
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		most = max(most, countBetween(times, at, at.Add(limitWindow)))
	}
	return most, len(times)
}

// Guards against a server in need that gets more than it says it takes from all entries together,
// since each entry counts by itself, also while the leader of the control replicas changes and
// entries restart; and against a server that gets nothing for naming a limit.
func TestPlatformServerLimitHoldsOverEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		limited int // servers
		disturb bool
	}{
		{"one server, 2 a second", 2, 1, false},
		{"one server, 1 a second, processes restart", 1, 1, true},
		{"all servers, 5 a second", 5, limitServers, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitSite(t)
			time.Sleep(2 * time.Second)
			for _, server := range s.servers[:c.limited] {
				server.SetLimit(c.limit)
			}
			time.Sleep(auditContactTime) // until all entries know the limits
			from := time.Now()
			s.playLimits(3*limitWindow, c.disturb)
			s.stop()
			allowed := limitFactor*c.limit*limitWindow.Seconds() + limitSlack
			for _, server := range s.servers[:c.limited] {
				most, all := s.limits.worst(server.ID, from)
				t.Logf("%s: %d in the worst window, %.0f allowed; %d in all", server.ID, most, allowed, all)
				require.LessOrEqual(t, float64(most), allowed)
				if !c.disturb {
					require.Greater(t, float64(all), c.limit*(3*limitWindow).Seconds()/3, "requests that the limit allows")
				}
			}
			for _, server := range s.servers[:c.limited] {
				server.SetLimit(0)
			}
		})
	}
}

const (
	limitEntries = 6
	limitServers = 6
	limitRate    = 10 // requests a second at each entry
)

// limitSite is a site whose callers send requests at a constant rate.
type limitSite struct {
	*platformSite
	limits *limitAudit
	stop   func()
}

func newLimitSite(t *testing.T) *limitSite {
	s := &limitSite{limits: &limitAudit{arrivals: make(map[string][]time.Time)}}
	s.platformSite = newPlatformSite(t, 3, limitEntries, limitServers)
	for i := range limitEntries {
		s.awaitServing(i, "/get/x")
	}
	for _, server := range s.servers {
		server.OnArrival(s.limits.record)
	}
	audit := newBudgetAudit(budgetBound{})
	ctx, cancel := context.WithCancel(s.ctx())
	var callers sync.WaitGroup
	for i := range limitEntries {
		c := newBudgetCaller(audit, s.entryAddr(i), func() string { return "/get/x" })
		c.perSecond.Store(limitRate)
		callers.Go(func() { c.run(ctx) })
	}
	s.stop = func() {
		cancel()
		callers.Wait()
	}
	t.Cleanup(s.stop)
	return s
}

// playLimits lets the callers go on for a time. With disturb a process, an entry or a control
// replica in turn, is killed and started again every two seconds.
func (s *limitSite) playLimits(d time.Duration, disturb bool) {
	const gap = 2 * time.Second
	for i := 0; d > 0; i, d = i+1, d-gap {
		if disturb {
			s.restartOne(i)
		}
		time.Sleep(gap)
	}
}

func (s *limitSite) restartOne(i int) {
	if i%2 == 0 {
		n := i / 2 % 3
		s.controls[n].kill(s.t)
		s.controls[n] = s.startPlatformControl(n, false)
		return
	}
	n := i / 2 % limitEntries
	s.entries[n].kill(s.t)
	s.entries[n] = s.startPlatformEntry(n)
}
