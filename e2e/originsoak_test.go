package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

const (
	originSoakSeeds    = "SAVORYREEL_ORIGIN_SEEDS" // environment variable: more seeds, "from-to"
	originSoakDuration = 12 * time.Second
	originSoakCallers  = 24
	originSoakPath     = "/chat/stream/120"
	originSoakMaxGap   = 500 * time.Millisecond
	originSoakMaxDown  = 1500 * time.Millisecond
	originSoakMinUp    = 3 // servers
)

// Guards against streams that are joined from two versions while versions come and go, servers crash and
// start again at once under their ids and addresses with another version, and entries and replicas are
// killed and frozen, alone and together.
func TestPlatformOriginSoak(t *testing.T) {
	from, to := uint64(1), uint64(1)
	if seeds := os.Getenv(originSoakSeeds); seeds != "" {
		_, err := fmt.Sscanf(seeds, "%d-%d", &from, &to)
		require.NoError(t, err, "%s=%s", originSoakSeeds, seeds)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := &originSoak{platformSite: newOriginSite(t), rand: newSoakRand(seed, 0), tally: make(map[string]int)}
			s.up = slices.Clone(s.servers)
			s.run()
		})
	}
}

// originSoak is one run of the soak.
type originSoak struct {
	*platformSite
	rand  *rand.Rand
	up    []*standin.Server
	began int // servers under new ids
	tally map[string]int

	mu    sync.Mutex
	calls []*streamCall
}

func (s *originSoak) run() {
	ctx, stop := context.WithCancel(s.ctx())
	var callers sync.WaitGroup
	for i := range originSoakCallers {
		callers.Go(func() { s.stream(ctx, i) })
	}
	for end := time.Now().Add(originSoakDuration); time.Now().Before(end); {
		s.act()
		time.Sleep(time.Duration(s.rand.Int64N(int64(originSoakMaxGap))))
	}
	stop()
	callers.Wait()
	tally := tallyStreams(s.calls)
	s.t.Logf("%v %d streams %+v", s.tally, len(s.calls), tally)
	for _, c := range s.calls {
		if len(c.versions) > 1 {
			s.t.Logf("joined: began as %s, versions %v, attempts %+v", c.first, c.versions, c.attempts)
		}
	}
	require.Zero(s.t, tally.joined, "streams with events of two versions")
	require.Positive(s.t, tally.wentOn)
}

// stream runs one stream after the other until ctx ends.
func (s *originSoak) stream(ctx context.Context, caller int) {
	var entries []string
	for i := range s.entries {
		entries = append(entries, s.entryAddr(i))
	}
	for n := 0; ctx.Err() == nil; n++ {
		c := &streamCall{path: originSoakPath, number: n*originSoakCallers + caller, entries: entries, deadline: time.Now().Add(4 * time.Second)}
		c.run(s.ctx(), caller+n)
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}
}

// act does one thing that happens on the platform.
func (s *originSoak) act() {
	switch n := s.rand.IntN(12); {
	case n < 3:
		s.tally["servers come back with another version"]++
		old := s.takeServer()
		old.Close()
		s.start(old.ID, old.ListenAddress())
	case n < 5:
		s.tally["servers crash"]++
		if len(s.up) > originSoakMinUp {
			s.takeServer().Close()
		}
	case n < 7:
		s.tally["servers start"]++
		s.began++
		s.start(fmt.Sprint("n", s.began), "")
	case n < 8:
		s.tally["an entry killed"]++
		i := s.rand.IntN(len(s.entries))
		s.entries[i].kill(s.t)
		s.entries[i] = s.startPlatformEntry(i)
	case n < 10:
		s.tally["all entries killed"]++
		s.killEntries()
	case n < 11:
		s.tally["a replica frozen"]++
		c := s.controls[s.rand.IntN(len(s.controls))]
		c.signal(s.t, syscall.SIGSTOP)
		time.Sleep(time.Duration(s.rand.Int64N(int64(originSoakMaxDown))))
		c.signal(s.t, syscall.SIGCONT)
	default:
		s.tally["all replicas killed"]++
		s.killControls()
	}
}

// takeServer removes a server from those that are up.
func (s *originSoak) takeServer() *standin.Server {
	i := s.rand.IntN(len(s.up))
	server := s.up[i]
	s.up = slices.Delete(s.up, i, i+1)
	return server
}

func (s *originSoak) start(id, address string) {
	s.up = append(s.up, s.startVersionAt(id, fmt.Sprint("v", 1+s.rand.IntN(3)), address))
}
