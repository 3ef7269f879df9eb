//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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
	stop      chan struct{}
	callers   sync.WaitGroup

	mu    sync.Mutex
	tries []firstTry
}

// firstTry is one request of a caller that does not repeat it.
type firstTry struct {
	entry    int
	path     string
	at       time.Time
	answered bool
	how      string
}

const (
	partitionEntries = 6
	partitionRate    = 20 // requests a second at each entry
	partitionTimeout = time.Second
	partitionBurst   = 8 // requests that each entry gets at once every second, so that it opens connections
)

func newPartitionSite(t *testing.T) *partitionSite {
	s := &partitionSite{stop: make(chan struct{})}
	zoneOf := func(i int) string { return fmt.Sprintf("z%d", 1+i*2/partitionEntries) }
	s.platformSite = startPlatformSite(t, 3, partitionEntries, func(p *platformSite) { p.zoneOfEntry = zoneOf }, budgetTurn)
	s.partition = s.startPartitionedServers(6)
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range partitionEntries {
		s.awaitServing(i, "/get/x")
	}
	for i := range partitionEntries {
		s.callers.Go(func() { s.call(i) })
	}
	return s
}

// call sends requests to entry i at a constant rate, over connections that are kept open.
func (s *partitionSite) call(i int) {
	c := newBudgetCaller(newBudgetAudit(budgetBound{}), s.entryAddr(i), nil)
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
		requests.Go(func() { s.send(c, i, partitionPaths[n%len(partitionPaths)]) })
		if n%partitionRate == 0 {
			for range partitionBurst {
				requests.Go(func() { s.send(c, i, "/get/slow/100") })
			}
		}
	}
}

// send sends a request to entry i and records how it ended.
func (s *partitionSite) send(c *budgetCaller, i int, path string) {
	try := firstTry{entry: i, path: path, at: time.Now()}
	try.how = c.outcome(path)
	try.answered = try.how == http.StatusText(http.StatusOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries = append(s.tries, try)
}

func (s *partitionSite) play(d time.Duration) { time.Sleep(d) }

// measure plays for a time and checks that callers at the entries of the first zone are served.
func (s *partitionSite) measure(d time.Duration) {
	s.t.Helper()
	from := time.Now()
	time.Sleep(d)
	to := time.Now()
	time.Sleep(partitionTimeout + 100*time.Millisecond) // until the last one has ended
	s.mu.Lock()
	defer s.mu.Unlock()
	all, failed := 0, 0
	kinds := make(map[string]int)
	for _, try := range s.tries {
		if try.at.Before(from) || !try.at.Before(to) {
			continue
		}
		all++
		zone := "sound"
		if try.entry < partitionEntries/2 {
			zone = "cut off"
		}
		kinds[zone+" "+try.path+" "+try.how]++
		if !try.answered && try.entry < partitionEntries/2 {
			failed++
		}
	}
	s.t.Logf("%d of %d first tries failed at the entries of the first zone: %v", failed, all, kinds)
	require.LessOrEqual(s.t, float64(failed), maxFirstTriesFailed+maxFirstTriesShare*float64(all))
}

// finish ends the callers and checks that no entry took a server for crashed, or a request for what
// crashes servers: none has.
func (s *partitionSite) finish() {
	close(s.stop)
	s.callers.Wait()
	for i, entry := range s.entries {
		log := entry.log.String()
		require.NotContains(s.t, log, "broke off on a server that is gone", "entry %d", i)
		require.NotContains(s.t, log, "trial of a suspect request", "entry %d", i)
	}
	runs := make(map[string]int)
	for _, run := range s.runs() {
		if strings.HasPrefix(run.Path, "/web/") {
			runs[run.ID]++
			require.Equal(s.t, 1, runs[run.ID], "a call that runs once")
		}
	}
}
