package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

const (
	// leaveHeartbeat and leaveDrain are heartbeat_ms and drain_ms of the smaller deployments, and
	// leaveAck how long a server waits for an answer to a heartbeat or a deregistration.
	leaveHeartbeat = 1200 * time.Millisecond
	leaveDrain     = 2 * time.Second
	leaveAck       = time.Second
	leaveEntries   = 6
	leaveServers   = 24
	leaveCallers   = 4 // at each entry
	// leaveContact is contact_ms: machines are in touch again so long after a fault of a control replica.
	leaveContact = 3 * time.Second
)

// leaveSite is a site whose servers leave under load. Requests are counted at the servers.
type leaveSite struct {
	*platformSite

	mu           sync.Mutex
	acknowledged map[serverRun]time.Time
	disturbed    time.Time            // last fault of a control replica
	kinds        map[string]leaveKind // by id, for the output
	late         []lateArrival
	arrivals     int
}

// lateArrival is a request that reached a server later than leaveDrain after the acknowledgement of
// its leave.
type lateArrival struct {
	server  serverRun
	after   time.Duration // the acknowledgement
	inTouch bool          // the entries were, by the platform's rules
}

func newLeaveSite(t *testing.T, entries int) *leaveSite {
	s := &leaveSite{acknowledged: make(map[serverRun]time.Time), kinds: make(map[string]leaveKind)}
	s.platformSite = startPlatformSite(t, 3, entries, func(p *platformSite) {
		p.heartbeatInterval, p.drain = leaveHeartbeat, leaveDrain
	})
	return s
}

// startServer starts a server as the platform's are.
func (s *leaveSite) startServer(cfg standin.ServerConfig) *standin.Server {
	s.t.Helper()
	cfg.Service, cfg.Zone, cfg.ControlAddrs, cfg.HeartbeatInterval = "web", "z1", s.controlAddrs(), leaveHeartbeat
	cfg.Listener, cfg.ArrivedAt, cfg.OnPanic = newTimedListener, kernelArrival, s.failOnPanic
	server, err := standin.StartServer(cfg)
	require.NoError(s.t, err)
	s.t.Cleanup(server.Close)
	server.OnArrival(s.recordArrival)
	s.servers = append(s.servers, server)
	return server
}

func (s *leaveSite) startServers(n int, cfg standin.ServerConfig) {
	for i := range n {
		cfg.ID = fmt.Sprintf("s%d", i)
		s.startServer(cfg)
	}
}

// serve puts a catalogue in force, waits until all entries serve, and sends requests to all of them
// until the test ends.
func (s *leaveSite) serve() {
	s.t.Helper()
	s.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range s.entries {
		s.awaitServing(i, "/get/x")
	}
	ctx, cancel := context.WithCancel(s.ctx())
	var callers sync.WaitGroup
	for i := range s.entries {
		for range leaveCallers {
			callers.Go(func() {
				for ctx.Err() == nil {
					_, _ = standin.Call(ctx, s.entryAddr(i), platformKey, "/get/x", "") // entries are restarted
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	s.t.Cleanup(func() {
		cancel()
		callers.Wait()
	})
}

// recordArrival counts a request that a server runs, by the bound that the platform sets.
func (s *leaveSite) recordArrival(a standin.Arrival) {
	if !a.Runs {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	server := serverRun{a.Server, a.Incarnation}
	if at, left := s.acknowledged[server]; left && a.At.Sub(at) > leaveDrain {
		s.late = append(s.late, lateArrival{server, a.At.Sub(at), a.At.Sub(s.disturbed) > leaveContact})
	}
}

// leaveKind is how a server leaves.
type leaveKind struct {
	deregisters bool // without having announced that it drains
	goesSilent  bool // its heartbeats end
}

func (k leaveKind) String() string {
	how, heartbeats := "drains", "heartbeats go on"
	if k.deregisters {
		how = "deregisters"
	}
	if k.goesSilent {
		heartbeats = "heartbeats end"
	}
	return how + ", " + heartbeats
}

// leave lets a server leave through a control replica, and through the next ones if that one does not
// acknowledge it in time.
func (s *leaveSite) leave(server *standin.Server, kind leaveKind, replica int) error {
	if kind.goesSilent {
		server.StopHeartbeats()
	}
	var err error
	for i := range s.controlAddrs() {
		addr := s.controlAddrs()[(replica+i)%len(s.controlAddrs())]
		ctx, cancel := context.WithTimeout(s.ctx(), leaveAck)
		if kind.deregisters {
			err = server.Deregister(ctx, addr)
		} else {
			err = server.DrainAt(ctx, addr)
		}
		cancel()
		if err == nil {
			s.mu.Lock()
			s.acknowledged[serverRun{server.ID, server.Incarnation()}] = time.Now()
			s.mu.Unlock()
			return nil
		}
	}
	return err
}

// leaveAll lets servers leave at the same time through one replica, as many in each of the ways, and waits
// for the acknowledgements.
func (s *leaveSite) leaveAll(servers []*standin.Server, replica int, kinds ...leaveKind) {
	s.t.Helper()
	var wg sync.WaitGroup
	for i, server := range servers {
		kind := kinds[i%len(kinds)]
		wg.Go(func() {
			if err := s.leave(server, kind, replica); err != nil {
				s.t.Errorf("%s: no acknowledgement: %v", server.ID, err)
				return
			}
			s.mu.Lock()
			s.kinds[server.ID] = kind
			s.mu.Unlock()
		})
	}
	wg.Wait()
}

// requireNoneLate waits until the bound has passed for all servers that left, and long enough for one
// whose leave was lost to be used again, and checks that none got a request too late.
func (s *leaveSite) requireNoneLate(watch time.Duration) {
	s.t.Helper()
	time.Sleep(leaveDrain + watch)
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Duration
	inTouch, servers, kinds := 0, make(map[serverRun]int), make(map[string]int)
	for _, l := range s.late {
		last = max(last, l.after)
		servers[l.server]++
		kinds[s.kinds[l.server.id].String()]++
		if l.inTouch {
			inTouch++
		}
	}
	s.t.Logf("%d late of %d arrivals, %d of them while the entries were in touch, at %d of %d servers that left, the last %s after the acknowledgement: %v",
		len(s.late), s.arrivals, inTouch, len(servers), len(s.acknowledged), last, kinds)
	require.Empty(s.t, servers, "requests reached servers that had left")
}

// disturb records that a fault of a control replica begins.
func (s *leaveSite) disturb() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = time.Now()
}

// leaveKinds are all ways to leave.
var leaveKinds = []leaveKind{{false, false}, {false, true}, {true, false}, {true, true}}

// Guards against a leave that is lost with the one control replica that has it: requests would go on
// reaching a server whose leave was acknowledged.
func TestPlatformLeaveOutlastsTheReplicaThatAcknowledgedIt(t *testing.T) {
	for _, kind := range leaveKinds {
		for name, end := range map[string]func(*testing.T, *process){
			"killed": func(t *testing.T, p *process) { p.kill(t) },
			"frozen": func(t *testing.T, p *process) { p.signal(t, syscall.SIGSTOP) },
		} {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				s := newLeaveSite(t, leaveEntries)
				s.startServers(leaveServers/2, standin.ServerConfig{})
				s.serve()
				s.leaveAll(s.servers[:leaveServers/4], 0, kind) // few: the last reports must not outlive the replica
				end(t, s.controls[0])
				s.disturb()
				s.requireNoneLate(5 * time.Second)
			})
		}
	}
}

// Guards against a leave that is ignored, and acknowledged all the same, because the server's clock is
// ahead of that of the control replica.
func TestPlatformLeaveOfServerWhoseClockIsAhead(t *testing.T) {
	s := newLeaveSite(t, 2)
	s.startServers(leaveServers, standin.ServerConfig{ClockAhead: 20 * time.Second})
	s.serve()
	s.leaveAll(s.servers[:leaveServers*2/3], 1, leaveKinds...)
	s.requireNoneLate(5 * time.Second)
}

// Guards against leaves that are lost when all processes end: the servers that left are still there.
func TestPlatformLeaveOutlastsARestartOfAllProcesses(t *testing.T) {
	for _, unversioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("unversioned=%t", unversioned), func(t *testing.T) {
			s := newLeaveSite(t, 2)
			s.startServers(leaveServers, standin.ServerConfig{Unversioned: unversioned})
			s.serve()
			time.Sleep(1500 * time.Millisecond) // the replicas save the servers that serve
			s.leaveAll(s.servers[:leaveServers*2/3], 1, leaveKinds...)
			s.restartAll()
			s.requireNoneLate(6 * time.Second)
		})
	}
}

// restartAll kills all processes and starts them again.
func (s *leaveSite) restartAll() {
	for _, p := range append(s.controls, s.entries...) {
		p.kill(s.t)
	}
	s.disturb()
	for i := range s.controls {
		s.controls[i] = s.startPlatformControl(i, false)
	}
	for i := range s.entries {
		s.entries[i] = s.startPlatformEntry(i)
	}
}

// throttle gives the processes a share of their processor, in tenths of a second as a quota does, until
// the test ends.
func (s *leaveSite) throttle(share float64, processes ...*process) {
	const period = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(s.ctx())
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = p.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration((1 - share) * float64(period)))
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(share * float64(period)))
			}
		})
	}
	s.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// Guards against entries and control replicas with a small share of a processor that go on sending to
// servers which have left together.
func TestPlatformLeavesInWavesAtThrottledProcesses(t *testing.T) {
	const (
		waves, perWave = 3, 8
		share          = 0.19
	)
	s := newLeaveSite(t, leaveEntries)
	s.startServers((waves+1)*perWave, standin.ServerConfig{})
	s.serve()
	s.throttle(share, append(s.controls, s.entries...)...)
	for i := range waves {
		time.Sleep(time.Second)
		s.leaveAll(s.servers[i*perWave:(i+1)*perWave], i, leaveKinds...)
	}
	s.requireNoneLate(time.Second)
}
