//go:build linux

package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

const (
	soakCISeed    = 1
	soakSeeds     = "SAVORYREEL_SOAK_SEEDS" // environment variable: more seeds, "from-to"
	soakEntries   = 3
	soakControls  = 3
	soakServers   = 2
	soakCallers   = 8
	soakDuration  = 14 * time.Second
	soakStopGrace = 4 * time.Second // grace_s of the settings
	// soakMaxActionGap is the longest time between two actions of the driver. An entry takes
	// more than a second to stop, so that stops overlap.
	soakMaxActionGap    = 400 * time.Millisecond
	soakMaxRevisionGap  = time.Second
	soakAdvanceInterval = 10 * time.Millisecond
)

// Guards against requests that are lost or run twice when planned stops, restarts, reloads and
// catalogue changes overlap: callers would see a connection closed under a request.
func TestPlatformStopsInSeries(t *testing.T) {
	from, to := uint64(soakCISeed), uint64(soakCISeed)
	if seeds := os.Getenv(soakSeeds); seeds != "" {
		_, err := fmt.Sscanf(seeds, "%d-%d", &from, &to)
		require.NoError(t, err, "%s=%s", soakSeeds, seeds)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run of the soak test.
type soak struct {
	*platformSite
	seed     uint64
	rand     *rand.Rand // of the driver
	callers  []*soakCaller
	members  []*soakMember // entries, then control replicas
	revision atomic.Uint64 // last acknowledged
	stops    map[string]int
	hangups  int
}

// soakMember is an entry or a control replica whose process is stopped and started again.
type soakMember struct {
	role    string
	maxDown int // members of the role that may be down at the same time
	start   func() *process
	ready   func() bool

	proc  *process
	ended chan error    // receives the result of a stop in progress; nil: none
	up    chan struct{} // closed once the process is ready
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{platformSite: newPlatformSite(t, soakControls, soakEntries, soakServers), seed: seed, rand: newSoakRand(seed, 0), stops: make(map[string]int)}
	s.revision.Store(1)
	for i := range soakEntries {
		s.members = append(s.members, &soakMember{
			role: "entry", maxDown: soakEntries - 1, proc: s.entries[i], up: make(chan struct{}),
			start: func() *process { return s.startPlatformEntry(i) },
			ready: func() bool { return standin.Ready(s.ctx(), s.addrOf(entryOctet(i), standin.ReadinessPort)) },
		})
	}
	for i := range soakControls {
		s.members = append(s.members, &soakMember{
			role: "control", maxDown: (soakControls - 1) / 2, proc: s.controls[i], up: make(chan struct{}),
			start: func() *process { return s.startPlatformControl(i, false) },
			ready: func() bool {
				acknowledged := s.revision.Load()
				revision, err := standin.Revision(s.ctx(), s.controlAddrs()[i])
				return err == nil && revision >= acknowledged
			},
		})
	}
	for _, m := range s.members {
		go m.awaitUp(s.ctx())
	}
	return s
}

// newSoakRand returns one of the independent sources of a seed.
func newSoakRand(seed, source uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, source)) }

// run runs the callers, the operator and the driver, and checks all requests.
func (s *soak) run() {
	s.awaitAllUp()
	ctx, stopCallers := context.WithCancel(s.ctx())
	defer stopCallers()
	var callers, operator sync.WaitGroup
	for i := range uint64(soakCallers) {
		c := &soakCaller{rand: newSoakRand(s.seed, 2+i)}
		for e := range soakEntries {
			c.entries = append(c.entries, s.entryAddr(e))
		}
		s.callers = append(s.callers, c)
		callers.Go(func() { c.run(ctx) })
	}
	driven := make(chan struct{})
	operator.Go(func() { s.changeCatalogues(driven) })
	s.drive()
	close(driven)
	operator.Wait()
	s.awaitAllUp()
	stopCallers()
	callers.Wait()
	s.checkRequests()
	s.checkCatalogue()
}

// drive sends signals in overlapping series.
func (s *soak) drive() {
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		m, hangup := s.members[s.rand.IntN(len(s.members))], s.rand.IntN(4) == 0
		gap := time.Duration(s.rand.Int64N(int64(soakMaxActionGap)))
		if hangup {
			s.hangup(m)
		} else {
			s.stop(m)
		}
		for next := time.Now().Add(gap); time.Now().Before(next); {
			s.advance()
			time.Sleep(soakAdvanceInterval)
		}
	}
}

// stop begins a planned stop of a member, unless too many of its role would be down.
func (s *soak) stop(m *soakMember) {
	down := 0
	for _, other := range s.members {
		if other.role == m.role && !other.isUp() {
			down++
		}
	}
	if !m.isUp() || down >= m.maxDown {
		return
	}
	s.stops[m.role]++
	m.ended = make(chan error, 1)
	m.proc.signal(s.t, syscall.SIGTERM)
	go m.awaitEnd()
}

// hangup makes a member read its settings again, also while it is stopping.
func (s *soak) hangup(m *soakMember) {
	if !m.isUp() && m.ended == nil {
		return // it may not handle signals yet
	}
	s.hangups++
	if err := m.proc.cmd.Process.Signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) {
		require.NoError(s.t, err)
	}
}

// advance starts the members that have ended.
func (s *soak) advance() {
	for _, m := range s.members {
		if m.ended == nil {
			if isClosed(m.proc.done) {
				s.t.Fatalf("%s has ended unasked: %v", m.proc.name, m.proc.exitErr)
			}
			continue
		}
		select {
		case err := <-m.ended:
			if err != nil {
				s.t.Errorf("stop of %s: %v", m.proc.name, err)
				m.proc.kill(s.t)
			}
			if m.role == "entry" {
				s.checkDrain(m.proc)
			}
			m.ended, m.up, m.proc = nil, make(chan struct{}), m.start()
			go m.awaitUp(s.ctx())
		default:
		}
	}
}

// checkDrain checks that an entry had answered everything when it ended the components that
// requests need. All requests of the callers can be answered within the grace.
func (s *soak) checkDrain(entry *process) {
	for line := range strings.Lines(entry.log.String()) {
		var done struct{ Unfinished, Connections, InRequest int }
		if strings.Contains(line, `"drain done"`) && json.Unmarshal([]byte(line), &done) == nil {
			if done.Unfinished+done.Connections+done.InRequest > 0 {
				s.t.Errorf("%s ended its components before its requests: %s", entry.name, line)
			}
			return
		}
	}
	s.t.Errorf("%s has not logged the end of its drain", entry.name)
}

// awaitAllUp waits until all members are up.
func (s *soak) awaitAllUp() {
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(soakAdvanceInterval) {
		s.advance()
		if !slices.ContainsFunc(s.members, func(m *soakMember) bool { return !m.isUp() }) {
			return
		}
		require.True(s.t, time.Now().Before(deadline), "all members are up")
	}
}

// changeCatalogues replaces the catalogue with rising revisions, each through any control
// replica that acknowledges it, until done is closed.
func (s *soak) changeCatalogues(done chan struct{}) {
	random := newSoakRand(s.seed, 1)
	for !isClosed(done) {
		revision := s.revision.Load() + 1
		change := standin.Catalogue{Revision: revision, Service: "web", Keys: []string{platformKey}, ExtraPrefix: soakPrefix(revision)}
		deadline := time.Now().Add(waitTimeout)
		for standin.ReplaceCatalogue(s.ctx(), s.controlAddrs()[random.IntN(soakControls)], change) != nil {
			if time.Now().After(deadline) {
				s.t.Errorf("revision %d is not acknowledged", revision)
				return
			}
			time.Sleep(soakAdvanceInterval)
		}
		s.revision.Store(revision)
		time.Sleep(time.Duration(random.Int64N(int64(soakMaxRevisionGap))))
	}
}

// soakPrefix returns the path prefix of a revision's additional route.
func soakPrefix(revision uint64) string { return fmt.Sprintf("/extra-%d/", revision) }

// checkCatalogue checks that the last acknowledged revision is in force everywhere.
func (s *soak) checkCatalogue() {
	last := s.revision.Load()
	for i := range soakControls {
		s.eventually(func() bool {
			revision, err := standin.Revision(s.ctx(), s.controlAddrs()[i])
			return err == nil && revision == last
		}, "the last revision is returned")
	}
	for i := range soakEntries {
		s.eventually(func() bool {
			a, err := standin.Call(s.ctx(), s.entryAddr(i), platformKey, soakPrefix(last)+"x", "")
			return err == nil && a.Status == http.StatusOK
		}, "the last revision's route is served")
	}
}

// checkRequests checks the requests of all callers against the servers' runs.
func (s *soak) checkRequests() {
	runs := make(map[string]int)
	for _, r := range s.runs() {
		runs[r.ID]++
	}
	var total, answered, refused, announced, unanswered, unannounced, neverAccepted int
	for _, c := range s.callers {
		for _, r := range c.requests {
			if v := r.violation(runs[r.id]); v != "" {
				s.t.Errorf("%s: %d runs, %s", v, runs[r.id], &r)
			}
			total++
			answered += count(r.err == nil && r.status == http.StatusOK)
			refused += count(r.err == nil && r.refused())
			announced += count(r.announced)
			unanswered += count(r.err != nil)
			unannounced += count(r.err != nil && !r.announcedBefore)
			neverAccepted += count(r.err != nil && r.neverAccepted())
		}
	}
	s.t.Logf("seed %d: %d requests, %d answered, %d refused (%.2f%%), %d announced a close, %d not answered (%d without an announced close, %d possibly never accepted); stops %v, %d hangups, %d revisions",
		s.seed, total, answered, refused, 100*float64(refused)/float64(total), announced, unanswered, unannounced, neverAccepted, s.stops, s.hangups, s.revision.Load())
	require.Positive(s.t, answered)
	require.Positive(s.t, announced, "requests met a leaving entry")
	require.Positive(s.t, s.stops["control"])
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// awaitEnd waits for the end of a stopped process and sends the result of the stop.
func (m *soakMember) awaitEnd() {
	select {
	case <-m.proc.done:
		m.ended <- m.proc.exitErr
	case <-time.After(soakStopGrace + exitDelay):
		m.ended <- fmt.Errorf("it has not ended within its grace of %s", soakStopGrace)
	}
}

// awaitUp closes up once the process is ready.
func (m *soakMember) awaitUp(ctx context.Context) {
	up := m.up
	for !m.ready() {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(soakAdvanceInterval)
	}
	close(up)
}

func (m *soakMember) isUp() bool { return m.ended == nil && isClosed(m.up) }

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
