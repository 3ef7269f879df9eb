package gateway

import (
	"math/rand/v2"
	"net"
	"time"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/path"
	"savoryreel.example/savoryreel/reach"
)

// serverDialTimeout bounds the opening of a connection to a server.
const serverDialTimeout = 500 * time.Millisecond

// newReach returns the dialer of this entry's connections to servers.
func (g *Gateway) newReach() *reach.Dialer {
	return reach.New(reach.Config{DialTimeout: serverDialTimeout, Self: g.peerInfo(), ClusterKey: g.cfg.ClusterKey}, reach.Deps{
		Log: g.log, Now: g.now, Metrics: g.metrics, Traffic: g.traffic,
		Servers: g.servingServers, ZoneOf: g.zoneOfServer, Peers: g.peersWithTunnels, PathChanged: func() { g.pool.CloseAllIdle() },
	})
}

// servingServers returns at most n servers that serve, chosen at random.
func (g *Gateway) servingServers(n int) []reach.Server {
	table := g.table.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []reach.Server
	for name, s := range g.services {
		target := ""
		if table != nil && table.Service(name) != nil {
			target = table.Service(name).HealthPath
		}
		all = s.appendServing(all, target)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// appendServing appends the servers that serve to list.
func (s *service) appendServing(list []reach.Server, probeTarget string) []reach.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range s.servers {
		if rec.State == instance.StateServing && !rec.Unreachable {
			list = append(list, reach.Server{Address: rec.Address, Zone: rec.Zone, ProbeTarget: probeTarget})
		}
	}
	return list
}

// zoneOfServer returns the zone of the server at an address; empty if it is not known.
func (g *Gateway) zoneOfServer(addr string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serverZones[addr]
}

// peersWithTunnels returns the other entries, with their addresses for tunnels.
func (g *Gateway) peersWithTunnels() []path.Peer {
	var out []path.Peer
	for _, e := range g.peers.entries(g.now()) {
		host, _, err := net.SplitHostPort(e.Address)
		if err != nil || e.Name == g.cfg.Node.Name || e.State != instance.StateServing {
			continue
		}
		out = append(out, path.Peer{Name: e.Name, Zone: e.Zone, Address: g.cfg.Node.EntryLink(host)})
	}
	return out
}

// ownPathLost reports whether an exchange failed on this entry's own path to the servers while that is
// lost. Nothing follows for the server then.
func (g *Gateway) ownPathLost(e *backend.Error) bool { return e.Direct && g.reach.Lost() }
