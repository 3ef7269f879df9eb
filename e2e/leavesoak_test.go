package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

const (
	leaveSoakSeeds    = "SAVORYREEL_LEAVE_SEEDS" // environment variable: more seeds, "from-to"
	leaveSoakCISeed   = 1
	leaveSoakDuration = 14 * time.Second
	leaveSoakEntries  = 4
	leaveSoakServers  = 12
	// leaveSoakMaxGap is the longest time between two actions, leaveSoakMaxWave the most servers that
	// leave at once.
	leaveSoakMaxGap  = 400 * time.Millisecond
	leaveSoakMaxWave = 5
	// leaveSoakGiveUp is how long a server asks for an acknowledgement: there may be no majority, or
	// nobody may know it any more.
	leaveSoakGiveUp = 4 * time.Second
	// leaveSoakMaxDown is the longest time for which a process is down, or a replica is frozen.
	leaveSoakMaxDown = 2500 * time.Millisecond
	// leaveSoakMaxPause is the longest time for which an entry is frozen. A request may be about to
	// be sent then.
	leaveSoakMaxPause = time.Second
)

// Guards against requests that reach servers which have left, while servers leave in waves of all kinds
// and start again under their ids, and replicas and entries are killed, stopped, frozen and started.
func TestPlatformLeaveSoak(t *testing.T) {
	from, to := uint64(leaveSoakCISeed), uint64(leaveSoakCISeed)
	if seeds := os.Getenv(leaveSoakSeeds); seeds != "" {
		_, err := fmt.Sscanf(seeds, "%d-%d", &from, &to)
		require.NoError(t, err, "%s=%s", leaveSoakSeeds, seeds)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := &leaveSoak{leaveSite: newLeaveSite(t, leaveSoakEntries), rand: newSoakRand(seed, 0), seed: seed}
			s.run()
		})
	}
}

// leaveSoak is one run of the soak.
type leaveSoak struct {
	*leaveSite
	rand *rand.Rand // of the driver
	seed uint64

	serving []*standin.Server // that have not left
	started int
	down    [2]bool // a control replica or an entry is down; no two of a role at a time
	undos   sync.WaitGroup
	undoMu  sync.Mutex
	due     []undo
	tally   map[string]int
}

// undo ends a disturbance at a time, in the driver's goroutine.
type undo struct {
	at time.Time
	fn func()
}

func (s *leaveSoak) run() {
	s.tally = make(map[string]int)
	for range leaveSoakServers {
		s.startNext(nil)
	}
	s.serve()
	for end := time.Now().Add(leaveSoakDuration); time.Now().Before(end); {
		s.act()
		time.Sleep(time.Duration(s.rand.Int64N(int64(leaveSoakMaxGap))))
		s.undoDue(false)
	}
	s.undoDue(true)
	s.undos.Wait()
	s.t.Logf("seed %d: %v", s.seed, s.tally)
	s.requireNoneLate(time.Second)
}

// startNext starts a server: the one that has left, again, or a new one if that is nil.
func (s *leaveSoak) startNext(left *standin.Server) {
	if left != nil {
		s.serving = append(s.serving, s.startServer(standin.ServerConfig{ID: left.ID, ClockAhead: left.ClockAhead}))
		return
	}
	s.started++
	s.serving = append(s.serving, s.startServer(standin.ServerConfig{
		ID: fmt.Sprintf("s%d", s.started), ClockAhead: time.Duration(s.rand.IntN(3)-1) * 4 * time.Second,
	}))
}

// act does one thing that happens on the platform.
func (s *leaveSoak) act() {
	switch n := s.rand.IntN(10); {
	case n < 5:
		s.leaveTogether()
	case n < 7:
		s.disturbReplica()
	case n < 9:
		s.disturbEntry()
	default:
		s.killReplicas()
	}
}

// leaveTogether lets some servers leave at once, and starts others, some of them under the same ids.
func (s *leaveSoak) leaveTogether() {
	n := min(1+s.rand.IntN(leaveSoakMaxWave), len(s.serving)-leaveSoakServers/3)
	for range n {
		i := s.rand.IntN(len(s.serving))
		server := s.serving[i]
		if !server.Announced() {
			continue // a server that nobody knows yet doesn't leave
		}
		s.serving = append(s.serving[:i], s.serving[i+1:]...)
		kind, replica := leaveKinds[s.rand.IntN(len(leaveKinds))], s.rand.IntN(3)
		again := kind.goesSilent && s.rand.IntN(3) == 0
		s.tally["leaves"]++
		downtime := 500*time.Millisecond + time.Duration(s.rand.Int64N(int64(time.Second)))
		if !again {
			s.later(downtime, func() { s.startNext(nil) })
		}
		s.undos.Go(func() {
			for end := time.Now().Add(leaveSoakGiveUp); s.leave(server, kind, replica) != nil && time.Now().Before(end); {
				time.Sleep(100 * time.Millisecond)
			}
			if again {
				s.later(downtime, func() { s.startNext(server) })
			}
		})
	}
}

// later does something after a time, in the driver's goroutine.
func (s *leaveSoak) later(d time.Duration, fn func()) {
	s.undoMu.Lock()
	defer s.undoMu.Unlock()
	s.due = append(s.due, undo{time.Now().Add(d), fn})
}

// undoDue does what is due, or all.
func (s *leaveSoak) undoDue(all bool) {
	s.undoMu.Lock()
	list := s.due
	s.due = nil
	s.undoMu.Unlock()
	for _, u := range list {
		if all || !time.Now().Before(u.at) {
			u.fn()
			continue
		}
		s.later(time.Until(u.at), u.fn)
	}
}

func (s *leaveSoak) disturbReplica() {
	if s.down[0] {
		return
	}
	s.down[0] = true
	i := s.rand.IntN(len(s.controls))
	s.disturb()
	if s.rand.IntN(2) == 0 {
		s.tally["replicas frozen"]++
		s.controls[i].signal(s.t, syscall.SIGSTOP)
		s.later(s.downtime(leaveSoakMaxDown), func() {
			s.controls[i].signal(s.t, syscall.SIGCONT)
			s.down[0] = false
		})
		return
	}
	s.tally["replicas killed"]++
	s.controls[i].kill(s.t)
	s.later(s.downtime(leaveSoakMaxDown), func() {
		s.controls[i] = s.startPlatformControl(i, false)
		s.down[0] = false
	})
}

// killReplicas kills all replicas at the same moment and starts them again at once.
func (s *leaveSoak) killReplicas() {
	if s.down[0] {
		return
	}
	s.tally["all replicas killed"]++
	s.disturb()
	for _, p := range s.controls {
		p.kill(s.t)
	}
	for i := range s.controls {
		s.controls[i] = s.startPlatformControl(i, false)
	}
}

func (s *leaveSoak) disturbEntry() {
	if s.down[1] {
		return
	}
	s.down[1] = true
	i := s.rand.IntN(len(s.entries))
	switch s.rand.IntN(3) {
	case 0:
		s.tally["entries frozen"]++
		s.entries[i].signal(s.t, syscall.SIGSTOP)
		s.later(s.downtime(leaveSoakMaxPause), func() {
			s.entries[i].signal(s.t, syscall.SIGCONT)
			s.down[1] = false
		})
		return
	case 1:
		s.tally["entries killed"]++
		s.entries[i].kill(s.t)
	default:
		s.tally["entries stopped"]++
		s.entries[i].signal(s.t, syscall.SIGTERM)
	}
	s.later(s.downtime(leaveSoakMaxDown), func() {
		<-s.entries[i].done // a stop takes up to the grace
		s.entries[i] = s.startPlatformEntry(i)
		s.down[1] = false
	})
}

func (s *leaveSoak) downtime(most time.Duration) time.Duration {
	return 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(most)))
}
