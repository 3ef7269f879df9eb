package e2e

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// The site of the tests of the retry budget. The window is short so that a test plays several.
const (
	budgetEntries = 3
	budgetServers = 6
	budgetRate    = 100 // requests a second at each entry
	budgetSlack   = 20
	budgetWindow  = 3 * time.Second
)

// Guards against repeats beyond the site's budget when servers fail after a time without
// failures: the servers that are left get more requests than they can take, and fail too.
func TestPlatformRepeatsStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      standin.FaultKind
		restarts   bool
	}{
		{"errors", "/get/x", standin.FaultError, false},
		{"resets", "/get/x", standin.FaultReset, false},
		{"shed requests that run once", "/web/x", standin.FaultShed, false},
		{"streams cut off", "/chat/stream/6", standin.FaultBreak, false},
		{"errors while entries restart", "/get/x", standin.FaultError, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newBudgetSite(t, c.path)
			s.play(budgetWindow * 2)
			s.setFault(standin.Fault{Kind: c.fault, Share: 0.7})
			if c.restarts {
				s.restartEntries(budgetWindow * 2)
			} else {
				s.play(budgetWindow * 2)
			}
			report := s.finish()
			t.Log(report)
			require.Empty(t, report.violations())
			require.Greater(t, report.repeats, report.requests/20, "repeats that the budget allows are made")
		})
	}
}

// Guards against servers that are handed more time than is left: a request is sent to another server
// once the first one has failed after a while, and its server works on when its caller has gone.
func TestPlatformLateRepeatsGiveServersWhatIsLeft(t *testing.T) {
	s := newBudgetSite(t, "/get/x")
	s.setFault(standin.Fault{Kind: standin.FaultLate, Share: 0.3})
	s.play(budgetWindow * 2)
	report := s.finish()
	t.Log(report)
	require.Empty(t, report.violations())
	require.Greater(t, report.lateRepeats, report.requests/20, "late repeats that the budget allows are made")
}

// budgetTurn lets one budgetSite at a time run: this process plays all their callers and servers, and
// several keep it from sending the requests that it counts.
var budgetTurn = make(chan struct{}, 1)

// budgetSite is a site whose callers send requests at a constant rate.
type budgetSite struct {
	*platformSite
	audit   *budgetAudit
	callers []*budgetCaller
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

func newBudgetSite(t *testing.T, path string) *budgetSite {
	s := &budgetSite{audit: newBudgetAudit(budgetBound{ratio: standin.RetryRatio, slack: budgetSlack, window: budgetWindow})}
	configure := func(p *platformSite) { p.retryWindow, p.retrySlack = budgetWindow, budgetSlack }
	s.platformSite = startPlatformSite(t, 3, budgetEntries, configure, budgetTurn)
	s.startServers(budgetServers)
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range budgetEntries {
		s.awaitServing(i, path)
	}
	for _, server := range s.servers {
		server.OnArrival(s.audit.recordArrival)
	}
	ctx, stop := context.WithCancel(s.ctx())
	s.stop = stop
	for i := range budgetEntries {
		c := newBudgetCaller(s.audit, s.entryAddr(i), func() string { return path })
		c.perSecond.Store(budgetRate)
		s.callers = append(s.callers, c)
		s.wg.Go(func() { c.run(ctx) })
	}
	return s
}

func (s *budgetSite) setFault(f standin.Fault) {
	for _, server := range s.servers {
		server.SetFault(f)
	}
}

// play lets the callers go on for a time.
func (s *budgetSite) play(d time.Duration) { time.Sleep(d) }

// restartEntries kills an entry and starts it again, one each second in turn, for a time.
func (s *budgetSite) restartEntries(d time.Duration) {
	for i := 0; d > 0; i, d = (i+1)%budgetEntries, d-time.Second {
		s.entries[i].kill(s.t)
		s.entries[i] = s.startPlatformEntry(i)
		s.play(time.Second)
	}
}

// finish stops the callers and returns the result of the audit.
func (s *budgetSite) finish() *budgetReport {
	s.stop()
	s.wg.Wait()
	return s.audit.check()
}

// Guards against a request that crashes each server that runs it and is sent to the next one for
// as long as its caller comes back, through whatever entry and with whatever kind of route: the
// service loses server after server, and callers of other requests lose their answers.
func TestPlatformRequestThatCrashesServersIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name     string
		restarts bool
	}{{"steady", false}, {"entries restart", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newCrashSite(t)
			s.playCrashes(c.restarts)
			report := s.audit.check()
			t.Log(report)
			for _, path := range crashPaths {
				t.Logf("%s: %d servers crashed", path, len(s.audit.crashes[path]))
				require.GreaterOrEqual(t, len(s.audit.crashes[path]), crashesUntilQuarantine)
			}
			require.LessOrEqual(t, report.crashArrivals, allowedCrashArrivals)
			s.requireServed(t)
		})
	}
}

// crashPaths are requests that crash servers, of each kind of route: one that may be repeated, one
// that runs once, a stream.
var crashPaths = []string{"/get/crash/1", "/web/crash/2", "/chat/crash/3"}

const (
	crashCalls   = 24 // of each request
	crashCallGap = 500 * time.Millisecond
)

// newCrashSite returns a site with enough servers that some run while others are down.
func newCrashSite(t *testing.T) *budgetSoak {
	shape := budgetCIShape
	shape.webServers, shape.chatServers = 8, 8
	s := newBudgetSoak(t, 1, shape)
	time.Sleep(shape.bound.window) // until the entries may use the slack
	for i := range s.shape.entries {
		c := newBudgetCaller(s.audit, s.entryAddr(i), func() string { return "/get/x" })
		c.service = budgetService
		s.callers = append(s.callers, c)
	}
	return s
}

// playCrashes lets one caller send each of crashPaths again and again, each time through the next
// entry. With restarts an entry is killed and started again every second.
func (s *budgetSoak) playCrashes(restarts bool) {
	var calls sync.WaitGroup
	for i := range crashCalls {
		for j, path := range crashPaths {
			c := s.callers[(i+j)%len(s.callers)]
			calls.Go(func() { c.send(path) })
		}
		if m := s.members[i/2%s.shape.entries]; restarts && i%2 == 1 {
			m.proc.kill(s.t)
			m.restart()
		}
		time.Sleep(crashCallGap)
	}
	calls.Wait()
}

// requireServed checks that each other request is served when the crashes are over.
func (s *budgetSoak) requireServed(t *testing.T) {
	for i, c := range s.callers {
		s.awaitServing(i, "/get/x")
		s.awaitServing(i, "/chat/stream/1")
		c.answered.Store(0)
		for _, path := range []string{"/get/x", "/web/x", "/chat/stream/3"} {
			c.send(path)
		}
		require.EqualValues(t, 3, c.answered.Load())
	}
}

// Guards against stand-ins that do not reset connections, so that the tests of resets run on a connection that
// hangs and pass: the entry must see that its peer has reset the connection.
func TestPlatformStandInResetsConnections(t *testing.T) {
	p := newPlatformSite(t, 3, 1, 1)
	p.servers[0].SetFault(standin.Fault{Kind: standin.FaultReset, Share: 1})
	started := time.Now()
	a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/web/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, a.Status, "it may have run")
	require.Less(t, time.Since(started), time.Second)
	p.eventually(func() bool { return strings.Contains(p.entries[0].log.String(), syscall.ECONNRESET.Error()) }, "the entry has seen a reset")
}
