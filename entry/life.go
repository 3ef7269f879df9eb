package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/pick"
	"savoryreel.example/savoryreel/request"
)

// phase is where an entry stands between serving and its end.
type phase uint8

const (
	phaseServing  phase = iota
	phaseUnlisted       // callers are no longer sent here; those who come are served
	phaseClosed         // takes nothing new, finishes or hands over what it has
)

// String names the phase as status shows it.
func (p phase) String() string {
	return [...]string{"serving", "unlisted", "closed"}[p]
}

// lifecycle is an entry's phase. A planned stop can be cancelled, so phases go back
// too; a leave by signal or reclaim notice does not.
type lifecycle struct {
	now func() time.Time

	mu          sync.Mutex
	phase       phase
	unlistedAt  time.Time // when callers stopped being sent here
	endsProcess bool      // the process will end
	stopPlanned bool      // a planned stop covers this entry
}

func newLifecycle(now func() time.Time) *lifecycle { return &lifecycle{now: now} }

func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// startLeaving begins a leave that ends the process.
func (l *lifecycle) startLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endsProcess = true
	if l.phase == phaseServing {
		l.phase, l.unlistedAt = phaseUnlisted, l.now()
	}
}

func (l *lifecycle) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phaseClosed
}

// applyPlannedStop notes whether a planned stop covers this entry and reports what is to be
// done: begin to leave, close after every list that names it has run out, or
// serve again after the stop was cancelled.
func (l *lifecycle) applyPlannedStop(stopped bool, acceptUntil func(unlisted time.Time) time.Time) (unlisting, closed, resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.endsProcess:
		return false, false, false
	case stopped && l.phase == phaseServing:
		l.phase, l.unlistedAt, l.stopPlanned = phaseUnlisted, l.now(), true
		return true, false, false
	case stopped && l.phase == phaseUnlisted && !l.now().Before(acceptUntil(l.unlistedAt)):
		l.phase = phaseClosed
		return false, true, false
	case !stopped && l.stopPlanned:
		l.phase, l.stopPlanned = phaseServing, false
		return false, false, true
	}
	return false, false, false
}

// acceptsRequests reports whether new requests are let in. An entry that is leaving
// goes on acceptsRequests until every answer that named it has run out: callers keep
// such answers and would find a closed door through no fault of theirs.
func (e *Entry) acceptsRequests() bool { return e.lifecycle.current() != phaseClosed }

// acceptsAnnouncements reports whether backend servers may go on announcing here.
func (e *Entry) acceptsAnnouncements() bool { return e.lifecycle.current() == phaseServing }

// drainingProblem refuses a new request because this entry leaves.
func (e *Entry) drainingProblem() *request.Problem {
	return request.NewProblem(request.CodeDraining, request.NotRun, "use another entry: %s", e.otherEntryAddresses()).After(time.Second)
}

// otherEntryAddresses names the entries that callers may use, for people and logs.
func (e *Entry) otherEntryAddresses() string {
	var names []string
	for _, m := range e.servingEntries() {
		if m.ID != e.cfg.ID {
			names = append(names, m.CallerAddress)
		}
	}
	return strings.Join(names, ", ")
}

// applyOwnStop follows the planned stops that cover this entry. The other entries
// know of the stop from the catalogue, as servingEntries does, and nothing is
// spread of it: a stop ends when the catalogue says so and at no other time.
func (e *Entry) applyOwnStop(stopped bool) {
	unlisting, closed, resumed := e.lifecycle.applyPlannedStop(stopped, func(unlisted time.Time) time.Time {
		return e.picker.Drain(pick.DrainRequest{Now: e.deps.Now(), LeavingSince: unlisted}).AcceptUntil
	})
	switch {
	case unlisting:
		event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.StopBegun, slog.String("id", e.cfg.ID))
		event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.DrainBegun, slog.String("cause", "planned stop"))
	case closed:
		event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.DrainDone, slog.Int("unfinished", e.unfinished()))
	case resumed:
		event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.MemberChanged, slog.String("id", e.cfg.ID), slog.String("state", "serving"))
	}
}

// drainPollInterval is how often a drain looks whether it is done.
const drainPollInterval = 50 * time.Millisecond

// leave ends this entry's service within about limit, cutting off nobody: it
// has itself unlisted, accepts until every list that names it has run out,
// closes, lets requests finish, and hands over what has not finished in time.
func (e *Entry) leave(ctx context.Context, limit time.Duration) {
	startedAt := e.deps.Now()
	e.lifecycle.startLeaving()
	e.publishLeaving()
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.DrainBegun,
		slog.String("cause", "leave"), slog.Duration("limit", limit), slog.Int("unfinished", e.unfinished()))
	drain := e.picker.Drain(pick.DrainRequest{Now: startedAt, LeavingSince: startedAt, ReclaimedAt: startedAt.Add(limit / 3)})
	e.waitUntil(ctx, drain.AcceptUntil, func() bool { return false })
	e.lifecycle.close()
	finishBy := startedAt.Add(limit / 2)
	e.waitUntil(ctx, finishBy, func() bool { return e.unfinished() == 0 })
	e.handOverAll(ctx)
	e.waitUntil(ctx, startedAt.Add(limit), func() bool { return e.unfinished() == 0 && e.registry.followerCount() == 0 })
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.DrainDone, slog.Int("unfinished", e.unfinished()))
}

// waitUntil returns when done reports true, at the time end, or when ctx ends.
func (e *Entry) waitUntil(ctx context.Context, end time.Time, done func() bool) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !done() && e.deps.Now().Before(end) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// unfinished counts the requests that have not ended.
func (e *Entry) unfinished() int {
	return e.registry.unfinished() + int(e.plainRunning.Load()) + e.onceCalls.len()
}

// handleLeave takes a reclaim notice for this instance:
// POST /v1/leave?notice=20s on the operations listener.
func (e *Entry) handleLeave(w http.ResponseWriter, r *http.Request) {
	notice, err := time.ParseDuration(r.URL.Query().Get("notice"))
	if err != nil || notice <= 0 {
		request.NewProblem(request.CodeBadRequest, request.NotRun, "notice is not a duration such as 20s").Write(w)
		return
	}
	e.leaveWithin(notice)
	w.WriteHeader(http.StatusAccepted)
	fmt.Fprintln(w, "leaving")
}

// leaveWithin has this entry leave within a notice for its own instance.
func (e *Entry) leaveWithin(notice time.Duration) {
	select {
	case e.selfNotices <- notice:
	default: // a notice is being followed already
	}
}

// awaitNotice ends the process after a reclaim notice has been followed.
func (e *Entry) awaitNotice(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case notice := <-e.selfNotices:
		e.leave(ctx, notice)
		return nil
	}
}
