package entry

import (
	"math/rand/v2"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/path"
	"savoryreel.example/savoryreel/reach"
)

// newReach returns the dialer of this entry's connections to backend servers.
func (e *Entry) newReach() *reach.Dialer {
	return reach.New(reach.Config{DialTimeout: native.DefaultDialTimeout, Self: e.peerInfo(), ClusterKey: e.cfg.ClusterKey}, reach.Deps{
		Log: e.deps.Log, Now: e.deps.Now, Metrics: e.metrics.set, Traffic: e.traffic,
		Servers: e.servingServers, ZoneOf: e.zoneOfServer, Peers: e.peersWithTunnels, PathChanged: e.closeIdleConnections,
	})
}

// servingServers returns at most n backend servers that serve, chosen at random.
func (e *Entry) servingServers(n int) []reach.Server {
	var out []reach.Server
	for _, s := range e.members.View().AllServers() {
		if s.State == instance.StateServing {
			out = append(out, probedServer(s.Address, s.Zone))
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func probedServer(addr, zone string) reach.Server {
	return reach.Server{Address: addr, Zone: zone, ProbeTarget: native.PathHealth}
}

// zoneOfServer returns the zone of the backend server at an address; empty if it is not known.
func (e *Entry) zoneOfServer(addr string) string {
	for _, s := range e.members.View().AllServers() {
		if s.Address == addr {
			return s.Zone
		}
	}
	return ""
}

// peersWithTunnels returns the other entries that serve.
func (e *Entry) peersWithTunnels() []path.Peer {
	var out []path.Peer
	for _, m := range e.servingEntries() {
		if m.ID != e.cfg.ID {
			out = append(out, path.Peer{Name: m.ID, Zone: m.Zone, Address: m.LinkAddress})
		}
	}
	return out
}

// closeIdleConnections closes the idle connections to backend servers, whose path has changed.
func (e *Entry) closeIdleConnections() {
	e.engines.Close()
	e.plains.Close()
}

// closeFailed closes the grant of an attempt that its server has not answered. While the own path is
// lost, that says nothing of the server.
func (e *Entry) closeFailed(g *grant) {
	if e.reach.Lost() {
		g.cancelled()
		return
	}
	g.failed()
}
