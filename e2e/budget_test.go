package e2e

import (
	"context"
	"sync"
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
	s.platformSite = startPlatformSite(t, 3, budgetEntries, func(p *platformSite) { p.retryWindow, p.retrySlack = budgetWindow, budgetSlack })
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

// Guards against a request that crashes each server that runs it and is sent on to the next one
// for as long as its caller comes back: the service loses server after server.
func TestPlatformRequestThatCrashesServersIsNotRepeated(t *testing.T) {
	const path, calls, gap = "/get/crash/1", 30, 500 * time.Millisecond
	shape := budgetCIShape
	shape.webServers = 8
	s := newBudgetSoak(t, 1, shape)
	time.Sleep(shape.bound.window) // until the entries may use the slack
	for i := range s.shape.entries {
		s.callers = append(s.callers, newBudgetCaller(s.audit, s.entryAddr(i), func() string { return path }))
	}
	for i := range calls {
		s.callers[i%len(s.callers)].send(path)
		time.Sleep(gap)
	}
	report := s.audit.check()
	t.Log(report)
	require.GreaterOrEqual(t, len(s.audit.crashes[path]), crashesUntilQuarantine)
	require.LessOrEqual(t, report.crashRetries, allowedCrashRetries)
}
