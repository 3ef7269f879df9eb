package e2e

import (
	"fmt"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// fallingServers are backend servers of which one that falls is back after a while.
type fallingServers struct {
	site    *platformSite
	cfg     standin.ServerConfig
	outage  time.Duration
	started func(i int, server *standin.Server) // sets a server up

	mu     sync.Mutex
	fleet  []*standin.Server // by number; nil while it is down
	falls  []time.Time
	closed bool
}

// fallingTurn lets one site with fallingServers at a time run: this process plays all its callers and servers.
var fallingTurn = make(chan struct{}, 1)

// startFallingServers starts n servers of the service web until the test ends.
func (p *platformSite) startFallingServers(f *fallingServers, n int) {
	f.site, f.fleet = p, make([]*standin.Server, n)
	for i := range f.fleet {
		f.start(i)
	}
	p.t.Cleanup(f.close)
}

func (f *fallingServers) start(i int) {
	cfg := f.cfg
	cfg.ID, cfg.Service, cfg.Zone = fmt.Sprintf("s%d", i), "web", "z1"
	cfg.ControlAddrs, cfg.OnPanic = f.site.controlAddrs(), f.site.failOnPanic
	server, err := standin.StartServer(cfg)
	require.NoError(f.site.t, err)
	f.started(i, server)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet[i] = server
}

// fall ends a server, which is back after the outage.
func (f *fallingServers) fall(i int, server *standin.Server) {
	f.mu.Lock()
	f.falls = append(f.falls, time.Now())
	f.fleet[i] = nil
	f.mu.Unlock()
	server.Close()
	time.Sleep(f.outage)
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if !closed {
		f.start(i)
	}
}

// each calls f for each server that is up.
func (f *fallingServers) each(call func(i int, server *standin.Server)) {
	f.mu.Lock()
	fleet := append([]*standin.Server(nil), f.fleet...)
	f.mu.Unlock()
	for i, server := range fleet {
		if server != nil {
			call(i, server)
		}
	}
}

// fallTimes returns when servers fell.
func (f *fallingServers) fallTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.falls...)
}

func (f *fallingServers) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, server := range f.fleet {
		if server != nil {
			go server.Close()
		}
	}
}
