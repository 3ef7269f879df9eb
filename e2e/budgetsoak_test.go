//go:build linux

package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// Environment variables of runs by hand.
const (
	budgetSoakSeeds   = "SAVORYREEL_BUDGET_SEEDS"   // "from-to", in the shape of the smaller deployments
	budgetSoakEntries = "SAVORYREEL_BUDGET_ENTRIES" // that many entries, which divide the requests
)

// budgetShape is the size of a site and the length of a run.
type budgetShape struct {
	entries, chatServers, webServers int
	rate                             int // requests a second at each entry, before any jump
	bound                            budgetBound
	duration                         time.Duration
}

var (
	budgetCIShape = budgetShape{
		entries: 3, chatServers: 4, webServers: 2, rate: 20, duration: 20 * time.Second,
		bound: budgetBound{ratio: standin.RetryRatio, slack: 15, window: 3 * time.Second},
	}
	// budgetSiteShape is that of the smaller deployments.
	budgetSiteShape = budgetShape{
		entries: 7, chatServers: 18, webServers: 3, rate: 15, duration: 60 * time.Second,
		bound: budgetBound{ratio: standin.RetryRatio, slack: 52, window: 10 * time.Second},
	}
)

// Bounds of the soak's driver.
const (
	budgetMaxActionGap = 500 * time.Millisecond
	budgetMaxOutage    = 4 * time.Second // of a server, a process or a link
	budgetCrashCalls   = 8               // of a request that crashes servers
	budgetCrashGap     = 700 * time.Millisecond
)

// Guards against repeats beyond the rules of the users' platform while servers fail in all ways,
// processes are stopped, paused, killed and restarted in overlapping series, links are cut and
// load jumps.
func TestPlatformBudgetSoak(t *testing.T) {
	from, to, shape := uint64(1), uint64(1), budgetCIShape
	if seeds := os.Getenv(budgetSoakSeeds); seeds != "" {
		shape = budgetSiteShape
		_, err := fmt.Sscanf(seeds, "%d-%d", &from, &to)
		require.NoError(t, err, "%s=%s", budgetSoakSeeds, seeds)
	}
	if entries := os.Getenv(budgetSoakEntries); entries != "" {
		n, err := strconv.Atoi(entries)
		require.NoError(t, err, "%s=%s", budgetSoakEntries, entries)
		shape.rate = max(1, shape.rate*shape.entries/n)
		shape.entries = n
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newBudgetSoak(t, seed, shape).run() })
	}
}

// budgetSoak is one run.
type budgetSoak struct {
	*platformSite
	shape   budgetShape
	seed    uint64
	rand    *rand.Rand
	audit   *budgetAudit
	callers []*budgetCaller
	members []*budgetMember // entries, then control replicas
	fleet   []*budgetServer
	planned []plannedAction
	actions map[string]int

	mu     sync.Mutex // guards the servers, which also change when a request crashes one
	nextID int
}

// plannedAction undoes a disturbance at its time.
type plannedAction struct {
	at time.Time
	do func()
}

// budgetMember is an entry or a control replica.
type budgetMember struct {
	role  string
	start func() *process
	proc  *process
	busy  bool // stopped, paused or being restarted
}

func newBudgetSoak(t *testing.T, seed uint64, shape budgetShape) *budgetSoak {
	s := &budgetSoak{shape: shape, seed: seed, rand: newSoakRand(seed, 0), audit: newBudgetAudit(shape.bound), actions: make(map[string]int)}
	s.platformSite = startPlatformSite(t, soakControls, shape.entries, func(p *platformSite) {
		p.retryWindow, p.retrySlack = shape.bound.window, int(shape.bound.slack)
	})
	t.Cleanup(s.closeServers)
	for i := range shape.chatServers + shape.webServers {
		b := &budgetServer{service: "web"}
		if i < shape.chatServers {
			b.service = "chat"
		}
		s.fleet = append(s.fleet, b)
		s.startServer(b, s.newServerID())
	}
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", ChatService: "chat", Keys: []string{platformKey}})
	for i := range shape.entries {
		s.awaitServing(i, "/get/x")
		s.awaitServing(i, "/chat/stream/1")
		s.members = append(s.members, &budgetMember{role: "entry", proc: s.entries[i], start: func() *process { return s.startPlatformEntry(i) }})
	}
	for i := range soakControls {
		s.members = append(s.members, &budgetMember{role: "control", proc: s.controls[i], start: func() *process { return s.startPlatformControl(i, false) }})
	}
	return s
}

// run runs the callers and the driver, and checks what was recorded.
func (s *budgetSoak) run() {
	ctx, stopCallers := context.WithCancel(s.ctx())
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range s.shape.entries {
		random := newSoakRand(s.seed, 1+uint64(i))
		c := newBudgetCaller(s.audit, s.entryAddr(i), func() string { return budgetPath(random) })
		c.service = budgetService
		c.perSecond.Store(int64(s.shape.rate))
		s.callers = append(s.callers, c)
		callers.Go(func() { c.run(ctx) })
	}
	s.drive()
	stopCallers()
	callers.Wait()
	s.report()
	for i := range s.shape.entries {
		s.awaitServing(i, "/get/x")
	}
}

// report checks the rules, and that the system still served.
func (s *budgetSoak) report() {
	var answered, failed int64
	for _, c := range s.callers {
		answered += c.answered.Load()
		failed += c.failed.Load()
	}
	report := s.audit.check()
	s.t.Logf("seed %d: %s; %d answered, %d failed; %v", s.seed, report, answered, failed, s.actions)
	for _, v := range report.violations() {
		s.t.Errorf("seed %d: %s", s.seed, v)
	}
	require.Positive(s.t, answered)
}

// budgetPath draws a request of any kind. It is called by one goroutine.
func budgetPath(random *rand.Rand) string {
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		return fmt.Sprintf("/chat/stream/%d", 1+random.IntN(30))
	case 4, 5:
		return "/web/x"
	case 6:
		return fmt.Sprintf("/web/slow/%d", random.IntN(200))
	case 7:
		return fmt.Sprintf("/get/slow/%d", random.IntN(200))
	default:
		return "/get/x"
	}
}

func budgetService(path string) string {
	if len(path) > 5 && path[:5] == "/chat" {
		return "chat"
	}
	return "web"
}

// drive disturbs the site in overlapping series, with calm times between them, in which a budget
// might save up, and ends with everything undone.
func (s *budgetSoak) drive() {
	for end := time.Now().Add(s.shape.duration); time.Now().Before(end); {
		s.changeAllLoad(1 + 4*s.rand.Float64())
		s.wait(time.Duration((0.5 + 1.5*s.rand.Float64()) * float64(s.shape.bound.window)))
		s.failAllServers()
		for storm := time.Now().Add(s.shape.bound.window); time.Now().Before(storm); {
			s.wait(time.Duration(s.rand.Int64N(int64(budgetMaxActionGap))))
			s.disturb()
		}
		s.setAllFaults(standin.Fault{})
	}
	for len(s.planned) > 0 {
		s.wait(soakAdvanceInterval)
	}
}

// wait goes on undoing disturbances for a time.
func (s *budgetSoak) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(soakAdvanceInterval) {
		s.advance()
	}
}

// advance undoes the disturbances that are due.
func (s *budgetSoak) advance() {
	now, rest := time.Now(), []plannedAction(nil)
	due := s.planned
	s.planned = nil
	for _, a := range due {
		if now.Before(a.at) {
			rest = append(rest, a)
		} else {
			a.do()
		}
	}
	s.planned = append(s.planned, rest...)
}

// undo plans the end of a disturbance.
func (s *budgetSoak) undo(do func()) {
	s.planned = append(s.planned, plannedAction{at: time.Now().Add(time.Duration(s.rand.Int64N(int64(budgetMaxOutage)))), do: do})
}

// disturb makes one disturbance.
func (s *budgetSoak) disturb() {
	kinds := []struct {
		name string
		do   func()
	}{
		{"fault", s.failServers},
		{"fault", s.failServers},
		{"fault", s.failServers},
		{"load", s.changeLoad},
		{"load", s.changeLoad},
		{"member", s.disturbMember},
		{"member", s.disturbMember},
		{"server", s.endOneServer},
		{"link", s.disturbLink},
		{"crash", s.sendCrashingRequest},
	}
	k := kinds[s.rand.IntN(len(kinds))]
	s.actions[k.name]++
	k.do()
}

// changeLoad changes the rate of requests at one entry or at all.
func (s *budgetSoak) changeLoad() {
	factor := []float64{0, 0.3, 1, 1, 3, 5}[s.rand.IntN(6)]
	if s.rand.IntN(2) == 0 {
		s.callers[s.rand.IntN(len(s.callers))].perSecond.Store(int64(float64(s.shape.rate) * factor))
		return
	}
	s.changeAllLoad(factor)
}

func (s *budgetSoak) changeAllLoad(factor float64) {
	for _, c := range s.callers {
		c.perSecond.Store(int64(float64(s.shape.rate) * factor))
	}
}

// disturbMember stops, pauses or kills an entry or a control replica.
func (s *budgetSoak) disturbMember() {
	m := s.members[s.rand.IntN(len(s.members))]
	if m.busy {
		return
	}
	m.busy = true
	how := s.rand.IntN(3)
	s.actions[m.role+[]string{" paused", " killed", " stopped"}[how]]++
	switch how {
	case 0:
		m.proc.signal(s.t, syscall.SIGSTOP)
		s.undo(func() {
			m.proc.signal(s.t, syscall.SIGCONT)
			m.busy = false
		})
	case 1:
		m.proc.kill(s.t)
		s.undo(func() { m.restart() })
	default:
		m.proc.signal(s.t, syscall.SIGTERM)
		s.planned = append(s.planned, plannedAction{do: func() { s.awaitMemberEnd(m, time.Now().Add(soakStopGrace+exitDelay)) }})
	}
}

// awaitMemberEnd restarts a member once it has ended; if it does not end in time, it is killed,
// as by the platform.
func (s *budgetSoak) awaitMemberEnd(m *budgetMember, deadline time.Time) {
	switch {
	case isClosed(m.proc.done):
		m.restart()
	case time.Now().After(deadline):
		m.proc.kill(s.t)
		m.restart()
	default:
		s.planned = append(s.planned, plannedAction{do: func() { s.awaitMemberEnd(m, deadline) }})
	}
}

func (m *budgetMember) restart() {
	m.proc = m.start()
	m.busy = false
}

// sendCrashingRequest lets a caller send a request that crashes servers, again and again, at
// random entries.
func (s *budgetSoak) sendCrashingRequest() {
	path := fmt.Sprintf("/get/crash/%d", s.rand.Int64())
	for range budgetCrashCalls {
		c := s.callers[s.rand.IntN(len(s.callers))]
		s.undo(func() { c.requests.Go(func() { c.send(path) }) })
	}
}
