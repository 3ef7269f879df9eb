package entry

import (
	"context"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/native"
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

// heed applies what an answer says about the server of g to all lanes, since a server may be in
// several, and come into others.
func (ls *lanes) heed(g *grant, n native.AnswerNotice) {
	if n == (native.AnswerNotice{}) {
		return
	}
	now, server := ls.now(), g.verdict.Server
	x, news := ls.recordNotice(server, g.verdict.Incarnation, n, now)
	if !news {
		return
	}
	for _, l := range ls.all() {
		l.restrict(server, x, now)
	}
	kind := event.ServerPaused
	if n.Leaving {
		kind = event.ServerLeavingByAnswer
	}
	event.Log(context.Background(), ls.log, slog.LevelInfo, kind, slog.String("server", server), slog.Duration("for", n.Pause))
}

// leavesByAnswer reports whether an incarnation of a server has said in an answer that it
// leaves.
func (ls *lanes) leavesByAnswer(server string, incarnation uint64) bool {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return ls.notices[server].leaves(incarnation)
}

// recordNotice records a notice for lanes that are created later, and returns all that is known
// of the server's incarnation. news is false if that was known before.
func (ls *lanes) recordNotice(server string, incarnation uint64, n native.AnswerNotice, now time.Time) (x notice, news bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	x, known := ls.notices[server]
	switch {
	case known && x.incarnation > incarnation:
		return x, false
	case !known || x.incarnation < incarnation:
		ls.expireNotices(now)
		x = notice{incarnation: incarnation}
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(x.pausedUntil) {
		x.pausedUntil, news = until, true
	}
	if n.Leaving && !x.leaving {
		x.leaving, news = true, true
	}
	x.recordedAt = now
	ls.notices[server] = x
	return x, news
}

// expireNotices removes the notices of servers that have been gone for long. The lock is held.
func (ls *lanes) expireNotices(now time.Time) {
	for id, x := range ls.notices {
		if ls.servers[id] == nil && now.Sub(x.recordedAt) > noticeTTL && !now.Before(x.pausedUntil) {
			delete(ls.notices, id)
		}
	}
}

// applyNotices applies all notices to a new lane. The lock is held.
func (ls *lanes) applyNotices(l *lane) {
	now := ls.now()
	for id, x := range ls.notices {
		l.restrict(id, x, now)
	}
}
