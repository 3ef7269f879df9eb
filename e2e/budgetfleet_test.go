//go:build linux

package e2e

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/relay"
	"savoryreel.example/savoryreel/platform/standin"
)

// budgetServer is a backend server behind a relay, through all its incarnations.
type budgetServer struct {
	service string
	server  *standin.Server // nil while it is down
	relay   *relay.Relay
}

func (s *budgetSoak) newServerID() string {
	s.nextID++
	return fmt.Sprintf("s%d", s.nextID)
}

// startServer starts an incarnation of a server behind a new relay.
func (s *budgetSoak) startServer(b *budgetServer, id string) {
	server, err := standin.StartServer(standin.ServerConfig{
		ID: id, Service: b.service, Zone: "z1", ControlAddrs: s.controlAddrs(), Listener: newTimedListener, ArrivedAt: kernelArrival, OnPanic: s.failOnPanic,
		AnnouncedAs: func(listening string) string {
			r, err := relay.New(listening)
			if err != nil {
				return listening // the server is reached directly
			}
			b.relay = r
			return r.Addr()
		},
	})
	require.NoError(s.t, err)
	server.OnArrival(s.audit.recordArrival)
	server.OnCrash(func(path string) {
		s.audit.recordCrash(path)
		s.endServer(b, server)
		time.Sleep(budgetCrashGap)
		s.restartServer(b, id)
	})
	b.server = server
}

// restartServer starts a server that is down.
func (s *budgetSoak) restartServer(b *budgetServer, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.server == nil && s.ctx().Err() == nil {
		s.startServer(b, id)
	}
}

// endServer ends an incarnation of a server, unless it has ended.
func (s *budgetSoak) endServer(b *budgetServer, server *standin.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.server != server {
		return
	}
	b.server = nil
	s.audit.recordEnd(serverRun{server.ID, server.Incarnation()})
	r := b.relay
	go func() {
		server.Close()
		r.Close()
	}()
}

func (s *budgetSoak) closeServers() {
	for _, b := range s.fleet {
		s.mu.Lock()
		server := b.server
		s.mu.Unlock()
		if server != nil {
			s.endServer(b, server)
		}
	}
}

// quickFaults are the faults whose requests end at once; one that hangs leaves no time to repeat
// it.
var quickFaults = []standin.FaultKind{
	standin.FaultError, standin.FaultUnsigned, standin.FaultShed, standin.FaultReset, standin.FaultLose, standin.FaultBreak,
}

// failAllServers makes all servers fail most requests in one way.
func (s *budgetSoak) failAllServers() {
	s.setAllFaults(standin.Fault{Kind: quickFaults[s.rand.IntN(len(quickFaults))], Share: 0.6 + 0.4*s.rand.Float64()})
}

func (s *budgetSoak) setAllFaults(f standin.Fault) {
	for _, b := range s.fleet {
		s.setServerFault(b, f)
	}
}

// failServers makes a random part of the servers fail for a while.
func (s *budgetSoak) failServers() {
	kinds := append([]standin.FaultKind{standin.FaultHang}, quickFaults...)
	f := standin.Fault{Kind: kinds[s.rand.IntN(len(kinds))], Share: []float64{0.2, 0.6, 1}[s.rand.IntN(3)]}
	part := []float64{0.2, 0.5, 1}[s.rand.IntN(3)]
	for _, b := range s.fleet {
		if s.rand.Float64() < part {
			s.setServerFault(b, f)
			s.undo(func() { s.setServerFault(b, standin.Fault{}) })
		}
	}
}

func (s *budgetSoak) setServerFault(b *budgetServer, f standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.server != nil {
		b.server.SetFault(f)
	}
}

// endOneServer crashes a server, or lets it leave, and starts another one in its place.
func (s *budgetSoak) endOneServer() {
	b := s.fleet[s.rand.IntN(len(s.fleet))]
	crash := s.rand.IntN(2) == 0
	s.mu.Lock()
	server := b.server
	s.mu.Unlock()
	if server == nil {
		return
	}
	if crash {
		s.endServer(b, server)
		s.undo(func() { s.restartServer(b, server.ID) })
		return
	}
	go func() { _ = server.Drain(s.ctx()) }() // without an acknowledgement it leaves anyway
	s.undo(func() {
		s.endServer(b, server)
		s.restartServer(b, s.newServerID())
	})
}

// disturbLink cuts, silences or delays the connections to a server.
func (s *budgetSoak) disturbLink() {
	b := s.fleet[s.rand.IntN(len(s.fleet))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.server == nil {
		return
	}
	r := b.relay
	s.audit.recordEnd(serverRun{b.server.ID, b.server.Incarnation()})
	switch s.rand.IntN(3) {
	case 0:
		r.Cut()
	case 1:
		r.Silence()
	default:
		r.Delay(time.Duration(s.rand.Int64N(int64(300 * time.Millisecond))))
		s.undo(func() { r.Delay(0) })
	}
}
