package entry

import (
	"context"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/route"
)

// notice is what one incarnation of a server has said about itself in its answers.
type notice struct {
	incarnation uint64
	pausedUntil time.Time
	leaving     bool
	recordedAt  time.Time
}

// leaves reports whether the incarnation has said that it leaves.
func (x notice) leaves(incarnation uint64) bool { return x.leaving && x.incarnation == incarnation }

// noticeTTL is how long the notice of a server is kept that is gone. Servers that are only
// unreachable return sooner.
const noticeTTL = 10 * time.Minute

// heed applies what an answer says about its server to all lanes, since a server may be in
// several, and come into others.
func (ls *lanes) heed(s quarantine.Server, n native.AnswerNotice) {
	if n == (native.AnswerNotice{}) {
		return
	}
	now := ls.now()
	x, changed := ls.recordNotice(s, n, now)
	if !changed {
		return
	}
	for _, l := range ls.all() {
		l.restrict(s.ID, x, now)
	}
	if n.Leaving {
		event.Log(context.Background(), ls.log, slog.LevelInfo, event.ServerLeavingByAnswer, slog.String("server", s.ID))
	}
	if n.Pause > 0 {
		event.Log(context.Background(), ls.log, slog.LevelInfo, event.ServerPaused, slog.String("server", s.ID), slog.Duration("for", n.Pause))
	}
}

// leavesByAnswer reports whether an incarnation of a server has said in an answer that it
// leaves.
func (ls *lanes) leavesByAnswer(server string, incarnation uint64) bool {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.notices[server].leaves(incarnation)
}

// recordNotice records a notice for lanes that are created later, and returns all that is known
// of the server's incarnation. changed is false if that was known before.
func (ls *lanes) recordNotice(s quarantine.Server, n native.AnswerNotice, now time.Time) (x notice, changed bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	x, known := ls.notices[s.ID]
	switch {
	case known && x.incarnation > s.Incarnation:
		return x, false
	case !known || x.incarnation < s.Incarnation:
		ls.expireNotices(now)
		x = notice{incarnation: s.Incarnation}
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(x.pausedUntil) {
		x.pausedUntil, changed = until, true
	}
	if n.Leaving && !x.leaving {
		x.leaving, changed = true, true
	}
	x.recordedAt = now
	ls.notices[s.ID] = x
	return x, changed
}

// expireNotices removes the notices of servers that have been gone for long. The lock is held.
func (ls *lanes) expireNotices(now time.Time) {
	for id, x := range ls.notices {
		if ls.servers[id] == nil && now.Sub(x.recordedAt) > noticeTTL && !now.Before(x.pausedUntil) {
			delete(ls.notices, id)
		}
	}
}

// applyNotices applies all notices to a new lane. A pause outlasts a restart of its server as
// long as in the lanes that were there. The lock is held.
func (ls *lanes) applyNotices(l *lane) {
	now := ls.now()
	for id, x := range ls.notices {
		h := ls.servers[id]
		if carried := x.recordedAt.Add(route.MaxCarriedPause); h != nil && h.server.Incarnation > x.incarnation && carried.Before(x.pausedUntil) {
			x.pausedUntil = carried
		}
		l.restrict(id, x, now)
	}
}

// maySend reports whether the granted server may still be sent the request. It may have asked
// for a pause or begun to leave while the grant's holder waited.
func (g *grant) maySend() bool { return g.lane.maySend(g.server()) }

// maySend reports whether an incarnation of a server takes requests.
func (l *lane) maySend(s quarantine.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.router.MaySend(s.ID, s.Incarnation, l.now())
}
