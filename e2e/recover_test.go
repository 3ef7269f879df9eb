//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

const (
	// contactTime is from the start of a partition until callers must not notice it.
	contactTime = 3 * time.Second
	// maxFirstTriesFailed and maxFirstTriesShare bound the requests that may fail at entries that
	// are cut off: so many, and a share of all.
	maxFirstTriesFailed = 10
	maxFirstTriesShare  = 1.0 / 50
)

// partitionPaths are requests of each kind: one that may be repeated, one that runs once, a stream.
var partitionPaths = []string{"/get/x", "/web/x", "/chat/stream/3"}

// Guards against callers that get no answers from an entry which reaches no backend server, though
// other entries do: its callers keep it, so that half of them, or a whole zone, fail for as long as
// it lasts. Servers that one entry can't reach must not count as crashed.
func TestPlatformEntriesWithoutPathToServers(t *testing.T) {
	for _, mode := range []partitionMode{partitionHang, partitionReset, partitionNoDial} {
		t.Run(string(mode), func(t *testing.T) {
			s := newPartitionSite(t)
			s.play(2 * time.Second)
			s.partition.cut(mode, s.entries[:len(s.entries)/2]...)
			s.play(contactTime)
			s.measure(4 * time.Second)
			s.partition.heal()
			s.play(contactTime)
			s.measure(2 * time.Second)
			s.finish()
		})
	}
}

// partitionSite is a site of entries in two zones, of which one can be cut off from servers.
type partitionSite struct {
	*platformSite
	partition *partition
	audit     *budgetAudit
	stop      chan struct{}
	callers   sync.WaitGroup
	tries     firstTries
}

// partitionTurn lets one partitionSite at a time run: this process plays all their callers and servers.
var partitionTurn = make(chan struct{}, 1)

const (
	partitionEntries = 6
	partitionRate    = 20 // requests a second at each entry
	partitionTimeout = time.Second
	partitionBurst   = 8 // requests that each entry gets at once every second, so that it opens connections
)

func newPartitionSite(t *testing.T) *partitionSite {
	s := &partitionSite{
		audit: newBudgetAudit(budgetBound{ratio: standin.RetryRatio, slack: standin.DefaultRetrySlack, window: standin.DefaultRetryWindow}),
		stop:  make(chan struct{}),
	}
	zoneOf := func(i int) string { return fmt.Sprintf("z%d", 1+i*2/partitionEntries) }
	s.platformSite = startPlatformSite(t, 3, partitionEntries, func(p *platformSite) { p.zoneOfEntry = zoneOf }, partitionTurn)
	s.partition = s.startPartitionedServers(6)
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range partitionEntries {
		s.awaitServing(i, "/get/x")
	}
	for _, server := range s.servers {
		server.OnArrival(s.audit.recordArrival)
	}
	for i := range partitionEntries {
		s.callers.Go(func() { s.call(i) })
	}
	return s
}

// call sends requests to entry i at a constant rate, over connections that are kept open.
func (s *partitionSite) call(i int) {
	c := newBudgetCaller(s.audit, s.entryAddr(i), nil)
	c.timeout = partitionTimeout
	defer c.client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	tick := time.NewTicker(time.Second / partitionRate)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		requests.Go(func() { s.tries.add(c.try(i, partitionPaths[n%len(partitionPaths)], "")) })
		if n%partitionRate == 0 {
			for range partitionBurst {
				requests.Go(func() { s.tries.add(c.try(i, "/get/slow/100", "")) })
			}
		}
	}
}

func (s *partitionSite) play(d time.Duration) { time.Sleep(d) }

// measure plays for a time and checks that callers at the entries of the first zone are served.
func (s *partitionSite) measure(d time.Duration) {
	s.t.Helper()
	s.tries.measure(s.t, partitionEntries/2, d, partitionTimeout)
}

// finish ends the callers and checks that no entry took a server for crashed, or a request for what
// crashes servers: none has.
func (s *partitionSite) finish() {
	close(s.stop)
	s.callers.Wait()
	for i, entry := range s.entries {
		log := entry.log.String()
		s.t.Logf("entry %d: own path lost %d times", i, strings.Count(log, "own path to backend servers lost"))
		require.NotContains(s.t, log, "broke off on a server that is gone", "entry %d", i)
		require.NotContains(s.t, log, "trial of a suspect request", "entry %d", i)
	}
	report := s.audit.check()
	s.t.Log(report)
	require.Empty(s.t, report.violations())
	s.requireOnce()
}

// requireOnce checks that each call that may run once has run at most once.
func (s *partitionSite) requireOnce() {
	runs := make(map[string]int)
	for _, run := range s.runs() {
		if strings.HasPrefix(run.Path, "/web/") {
			runs[run.ID]++
			require.Equal(s.t, 1, runs[run.ID], "a call that runs once")
		}
	}
}

// Guards against answers that are cut off when the entry which carries them for another one stops as
// planned, and against calls that run twice when such an entry is killed: callers at an entry that is cut
// off from servers must not notice a stop, and lose only what was under way at a kill.
func TestPlatformStopsOfEntriesThatHelpOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		stop func(p *process)
		lost int // answers that may be lost: those under way at the entry that ends
	}{
		{"planned stop", func(p *process) { p.signal(t, syscall.SIGTERM) }, 0},
		{"kill", func(p *process) { p.kill(t) }, stoppedCalls},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPartitionSite(t)
			s.partition.cut(partitionReset, s.entries[:partitionEntries-2]...)
			s.play(contactTime)
			outcomes := make(chan string, stoppedCalls)
			caller := newBudgetCaller(s.audit, s.entryAddr(0), nil)
			caller.timeout = 4 * time.Second
			for range stoppedCalls {
				go func() { outcomes <- caller.outcome("/web/slow/900") }()
			}
			s.play(300 * time.Millisecond)
			c.stop(s.entries[partitionEntries-1])
			lost := make(map[string]int) // by how they ended
			for range stoppedCalls {
				if how := <-outcomes; how != http.StatusText(http.StatusOK) {
					lost[how]++
				}
			}
			t.Logf("of %d answers these were lost: %v", stoppedCalls, lost)
			require.LessOrEqual(t, total(lost), c.lost)
			s.measure(time.Second)
			close(s.stop)
			s.callers.Wait()
			s.requireOnce()
		})
	}
}

// stoppedCalls are under way through two entries when one of them ends.
const stoppedCalls = 20
