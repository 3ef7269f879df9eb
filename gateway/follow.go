package gateway

import (
	"context"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
)

// self is this entry's record of itself.
func (g *Gateway) self() directory.Entry {
	e := directory.Entry{
		Name: g.cfg.Node.Name, Incarnation: g.life, Sequence: g.sequence.Load(), State: instance.StateServing,
		Address: g.cfg.Node.Listen.Callers, Zone: g.cfg.Node.Zone, Region: g.cfg.Node.Region,
	}
	if g.leaving.Load() {
		e.State = instance.StateLeaving
	}
	return e
}

func (g *Gateway) watchRequest() api.WatchRequest {
	req := api.WatchRequest{Role: api.RoleEntry, Wait: g.watchWait()}
	req.Usage, req.OpenWindow = g.usage.report()
	if t := g.table.Load(); t != nil {
		req.HasCatalogue, req.Revision = true, t.Catalogue().Revision
		// Callers are sent here only once they can be answered.
		self := g.self()
		req.Entry = &self
		req.Loads = g.loads()
		req.ShareDivisor = g.shares.inUse()
		req.Work = g.work()
		req.LiveDigest = g.peers.known()
	}
	return req
}

// watchWait is how long a replica is to keep a call waiting.
func (g *Gateway) watchWait() time.Duration {
	starting := g.table.Load() != nil && g.limits.starting()
	g.mu.Lock()
	defer g.mu.Unlock()
	if starting {
		return min(max(time.Duration(g.shares.inUse())*startWatchEach, startWatchMin), watchMin)
	}
	return min(max(time.Duration(g.entries)*watchEach, watchMin), watchMax)
}

// take merges what a control replica told.
func (g *Gateway) take(addr string, r api.WatchReply) {
	g.clock.Observe(addr, r.Clock)
	hadNone := g.table.Load() == nil
	g.adopt(r.Revision, r.Document, addr)
	if hadNone && g.table.Load() != nil {
		g.follower.SendNow()
	}
	g.directory.Merge(directory.Origin{Replica: addr, Incarnation: r.Incarnation}, r.Servers, r.Entries, g.now())
	g.countEntries(addr, r.LiveEntries)
	if g.peers.take(r.LiveDigest, r.LiveNames, g.now()) {
		g.books.relist()
	}
	g.applyDirectory()
	if r.HasLoads {
		g.noteOthers(r.Loads)
	}
	g.noteRates(r.Work)
	g.shares.take(addr, r.ShareVote, len(r.Replicas), r.Asked)
	g.limits.takePart()
}

// replicaLost takes the word that a control replica no longer answers.
func (g *Gateway) replicaLost(addr string) {
	if g.directory.MarkUnreachable(addr) {
		g.applyDirectory()
	}
}

// loads returns what this entry has running at all servers.
func (g *Gateway) loads() []api.ServerLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []api.ServerLoad
	for _, s := range g.services {
		list = s.loads(list)
	}
	return list
}

// noteRates takes how fast the servers read that other entries have learnt.
func (g *Gateway) noteRates(work []api.ServiceWork) {
	for _, w := range work {
		g.service(w.Service).suggestRate(w.Rate)
	}
}

// work returns what this entry has given the servers to read, by service.
func (g *Gateway) work() []api.ServiceWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []api.ServiceWork
	for _, s := range g.services {
		if w := s.workDone(); w.Tokens > 0 {
			list = append(list, w)
		}
	}
	return list
}

// noteOthers passes on what other entries have running.
func (g *Gateway) noteOthers(loads []api.ServerLoad) {
	others := make(map[string]api.ServerLoad, len(loads))
	for _, l := range loads {
		others[l.Server] = l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, s := range g.services {
		s.noteOthers(others, now)
	}
}

// liveCount is how many entries a control replica knows to take callers.
type liveCount struct {
	n  int
	at time.Time
}

// liveFor is how long a replica's count stands.
const liveFor = 5 * time.Second

// countEntries takes a replica's count of live entries. The highest one counts:
// a replica that has just started knows few, and an entry that believed it would
// allow itself more than its part of every limit.
func (g *Gateway) countEntries(addr string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.live[addr] = liveCount{n: n, at: now}
	most := 1
	for from, c := range g.live {
		if now.Sub(c.at) > liveFor {
			delete(g.live, from)
			continue
		}
		most = max(most, c.n)
	}
	if most == g.entries {
		return
	}
	g.entries = most
	g.retryMu.Lock()
	g.retries.SetMinBudget(retryBudget(g.cfg.Node.Bounds, most))
	g.retryMu.Unlock()
	for _, s := range g.services {
		s.setEntries(most)
	}
}

// applyDirectory passes on what is new in the directory to the services.
func (g *Gateway) applyDirectory() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	changes := g.directory.Since(g.applied, false, now)
	g.applied = changes.Seq
	for i := range changes.Servers {
		g.applyServer(&changes.Servers[i], now)
	}
}

// applyServer tells the services of a server. g.mu is held.
func (g *Gateway) applyServer(rec *directory.Server, now time.Time) {
	g.logServer(rec)
	for name, s := range g.services {
		if len(rec.Services) == 0 || rec.Services[0] != name {
			s.drop(rec.ID)
		}
	}
	if len(rec.Services) > 0 {
		g.serviceLocked(rec.Services[0]).update(*rec, now)
	}
	if rec.State == instance.StateGone {
		g.pool.Forget(rec.Address)
	}
}

func (g *Gateway) logServer(rec *directory.Server) {
	kind := event.ServerAnnounced
	switch {
	case rec.State == instance.StateLeaving:
		kind = event.ServerLeaving
	case rec.State == instance.StateGone || rec.Unreachable:
		kind = event.ServerGone
	}
	event.Log(context.Background(), g.log, slog.LevelInfo, kind, slog.String("server", rec.ID), slog.String("address", rec.Address),
		slog.Uint64("incarnation", rec.Incarnation), slog.Uint64("sequence", rec.Sequence), slog.Any("services", rec.Services),
		slog.String("zone", rec.Zone), slog.Bool("silent", rec.Unreachable), slog.Duration("heardAgo", rec.HeartbeatAge))
}
