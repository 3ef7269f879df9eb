package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/origin"
)

// selfRecord returns this entry's record for the directory.
func (g *Gateway) selfRecord() directory.Entry {
	e := directory.Entry{
		Name: g.cfg.Node.Name, Incarnation: g.incarnation, Sequence: g.recordSequence.Load(), State: instance.StateServing,
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
	req.Rollouts = g.rollouts.reports()
	if t := g.table.Load(); t != nil {
		req.HasCatalogue, req.Revision = true, t.Catalogue().Revision
		// Without a record the entry gets no callers: it can answer none before it has a
		// catalogue.
		self := g.selfRecord()
		req.Entry = &self
		req.Loads = g.loads()
		req.Share = g.shares.report(g.now())
		req.Work = g.prefillWork()
		req.LiveDigest = g.peers.currentDigest()
	}
	return req
}

// watchWait returns how long a control replica may hold a call before it replies.
func (g *Gateway) watchWait() time.Duration {
	starting := g.table.Load() != nil && g.limits.starting()
	g.mu.Lock()
	defer g.mu.Unlock()
	if starting {
		return min(max(time.Duration(g.shares.entryCount())*startWatchWaitPerEntry, minStartWatchWait), minWatchWait)
	}
	return g.rollouts.limitWait(min(max(time.Duration(g.entryCount)*watchWaitPerEntry, minWatchWait), maxWatchWait))
}

// applyReply applies the reply of a control replica.
func (g *Gateway) applyReply(addr string, r api.WatchReply) {
	g.clock.Observe(addr, r.Clock)
	g.breaks.updateList(addr, &r)
	g.rollouts.update(&r) // before the servers of a candidate version that the reply may hold
	g.origins.reportMixed(r.Mixed)
	from := directory.Origin{Replica: addr, Incarnation: r.Incarnation}
	g.directory.Merge(from, r.Servers, r.Entries, g.now())
	g.directory.MergeStatuses(from, r.Statuses, g.now())
	g.updateEntryCount(addr, r.LiveEntries)
	if g.peers.update(r.LiveDigest, r.LiveNames, g.now()) {
		g.exchange.invalidateList()
	}
	g.applyDirectory()
	g.freshness.record(addr, &r) // after what it confirms is in force
	if r.HasLoads {
		g.applyReportedLoads(r.Loads)
	}
	g.applyPrefillRates(r.Work)
	g.shares.record(addr, r.Share, r.SentAt)
	g.limits.updateShare()
}

// applyCatalogue puts a catalogue of a control replica in force. After the first one the entry
// reports itself at once.
func (g *Gateway) applyCatalogue(addr string, revision uint64, document []byte) {
	hadNone := g.table.Load() == nil
	g.adopt(revision, document, addr)
	g.freshness.notify()
	if hadNone && g.table.Load() != nil {
		g.follower.SendNow()
	}
}

// onReplicaUnreachable is called when a control replica no longer replies.
func (g *Gateway) onReplicaUnreachable(addr string) {
	if g.directory.MarkUnreachable(addr) {
		g.applyDirectory()
	}
}

// loads returns this entry's load on all servers.
func (g *Gateway) loads() []api.ServerLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []api.ServerLoad
	for _, s := range g.services {
		list = s.appendLoads(list)
	}
	return list
}

// applyPrefillRates applies the prefill rates that other entries have learned.
func (g *Gateway) applyPrefillRates(work []api.ServiceWork) {
	for _, w := range work {
		g.service(w.Service).suggestPrefillRate(w.Rate)
	}
}

// prefillWork returns the prompt tokens that this entry has sent to servers, by service.
func (g *Gateway) prefillWork() []api.ServiceWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []api.ServiceWork
	for _, s := range g.services {
		if w := s.prefillWork(); w.Tokens > 0 {
			list = append(list, w)
		}
	}
	return list
}

// applyReportedLoads applies the load of other entries as a control replica reports it.
func (g *Gateway) applyReportedLoads(loads []api.ServerLoad) {
	others := make(map[string]api.ServerLoad, len(loads))
	for _, l := range loads {
		others[l.Server] = l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, s := range g.services {
		s.applyReportedLoads(others, now)
	}
}

// liveCount is the number of live entries that a control replica has reported.
type liveCount struct {
	n  int
	at time.Time
}

// liveCountTTL is how long a replica's count is used.
const liveCountTTL = 5 * time.Second

// updateEntryCount applies a replica's count of live entries. The highest count is used: a
// replica that has just started knows few entries.
func (g *Gateway) updateEntryCount(addr string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.liveCounts[addr] = liveCount{n: n, at: now}
	highest := 1
	for replica, c := range g.liveCounts {
		if now.Sub(c.at) > liveCountTTL {
			delete(g.liveCounts, replica)
			continue
		}
		highest = max(highest, c.n)
	}
	if highest == g.entryCount {
		return
	}
	g.entryCount = highest
	g.origins.entries.Store(int64(highest))
	for _, s := range g.services {
		s.setEntries(highest)
	}
}

// liveEntryCount returns the number of live entries as last reported, at least 1.
func (g *Gateway) liveEntryCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entryCount
}

// applyDirectory applies the changes of the directory to the services, and notifies the owners of servers that have
// started again that this entry has no load there.
func (g *Gateway) applyDirectory() {
	for chunk := range slices.Chunk(g.applyChanges(), maxLoadsPerMessage) {
		g.exchange.reportLoads(chunk...)
	}
}

// applyChanges applies the changes of the directory and returns the load on the servers that have started again.
func (g *Gateway) applyChanges() (unloaded []serverLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	changes := g.directory.Since(g.appliedChange, now)
	g.appliedChange = changes.Seq
	for i := range changes.Servers {
		if g.applyServer(&changes.Servers[i], now) {
			unloaded = append(unloaded, serverLoad{Server: changes.Servers[i].ID})
		}
	}
	return unloaded
}

// applyServer applies a record of a server, and reports whether this entry's load on an earlier start of it no
// longer counts. g.mu is held.
func (g *Gateway) applyServer(rec *directory.Server, now time.Time) (unloaded bool) {
	g.logServer(rec)
	for name, s := range g.services {
		if len(rec.Services) == 0 || rec.Services[0] != name {
			s.drop(rec.ID)
		}
	}
	if len(rec.Services) > 0 {
		g.origins.seeVersion(origin.ServiceVersion{Service: rec.Services[0], Version: rec.Version})
		unloaded = g.serviceLocked(rec.Services[0]).update(*rec, now)
	}
	if rec.State == instance.StateGone {
		g.pool.CloseIdle(rec.Address)
		delete(g.serverZones, rec.Address)
		return unloaded
	}
	g.serverZones[rec.Address] = rec.Zone
	return unloaded
}

// logServer logs a change of a server. Thousands may change within a second, at hundreds of
// entries.
func (g *Gateway) logServer(rec *directory.Server) {
	kind := event.ServerAnnounced
	switch {
	case rec.State == instance.StateLeaving:
		kind = event.ServerLeaving
	case rec.State == instance.StateGone || rec.Unreachable:
		kind = event.ServerGone
	}
	attrs := []slog.Attr{
		slog.String("server", rec.ID), slog.String("address", rec.Address), slog.String("version", rec.Version),
		slog.Uint64("incarnation", rec.Incarnation), slog.Uint64("sequence", rec.Sequence), slog.Any("services", rec.Services),
		slog.String("zone", rec.Zone), slog.Bool("silent", rec.Unreachable), slog.Duration("heardAgo", rec.HeartbeatAge),
		slog.String("from", rec.StateFrom), slog.Time("since", rec.StateAt),
	}
	last := g.lastSendTo(rec.ID)
	ago := g.now().Sub(last.at)
	if kind == event.ServerAnnounced || last.request == "" || ago > recentSend {
		g.serverSampler.Log(context.Background(), kind, attrs...)
		return
	}
	attrs = append(attrs, slog.String("lastRequest", last.request), slog.Duration("lastSentAgo", ago))
	event.Log(context.Background(), g.log, slog.LevelInfo, kind, attrs...)
}
