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

// phase is the stage of an entry between serving and closed.
type phase uint8

const (
	phaseServing  phase = iota
	phaseUnlisted       // callers are no longer sent here, but are still served
	phaseClosed         // new requests are refused; the others finish or are handed over
)

// String returns the name of the phase in the status.
func (p phase) String() string {
	return [...]string{"serving", "unlisted", "closed"}[p]
}

// lifecycle tracks an entry's phase. A planned stop can be cancelled, after which the entry
// serves again. A leave by signal or reclaim notice is final.
type lifecycle struct {
	now func() time.Time

	mu          sync.Mutex
	phase       phase
	unlistedAt  time.Time // when the entry was unlisted
	endsProcess bool      // whether the process is going to end
	stopPlanned bool      // whether a planned stop covers this entry
}

func newLifecycle(now func() time.Time) *lifecycle { return &lifecycle{now: now} }

// current returns the phase.
func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// startLeaving unlists the entry before the end of the process.
func (l *lifecycle) startLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endsProcess = true
	if l.phase == phaseServing {
		l.phase, l.unlistedAt = phaseUnlisted, l.now()
	}
}

// close moves the entry to its last phase.
func (l *lifecycle) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phaseClosed
}

// applyPlannedStop updates the phase, given whether a planned stop covers this entry, and
// reports the change: unlisted now, closed since all lists that contain the entry have
// expired, or resumed after the stop was cancelled. acceptUntil returns when the lists
// expire.
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

// acceptsRequests reports whether new requests are accepted. An unlisted entry still
// accepts them until every list that contains it has expired, since callers cache those
// lists.
func (e *Entry) acceptsRequests() bool { return e.lifecycle.current() != phaseClosed }

// acceptsAnnouncements reports whether backend servers may announce themselves here.
func (e *Entry) acceptsAnnouncements() bool { return e.lifecycle.current() == phaseServing }

// drainingProblem returns the problem of a request that is refused because this entry is
// leaving.
func (e *Entry) drainingProblem() *request.Problem {
	return request.NewProblem(request.CodeDraining, request.NotRun, "use another entry: %s", e.otherEntryAddresses()).After(time.Second)
}

// otherEntryAddresses returns the addresses of the other entries for a message.
func (e *Entry) otherEntryAddresses() string {
	var names []string
	for _, m := range e.servingEntries() {
		if m.ID != e.cfg.ID {
			names = append(names, m.CallerAddress)
		}
	}
	return strings.Join(names, ", ")
}

// applyOwnStop applies the planned stops to this entry's own phase. It publishes nothing,
// since the other entries read the stop from the catalogue, in servingEntries, and so agree
// on its end.
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

// drainPollInterval is how often a drain checks whether it is done.
const drainPollInterval = 50 * time.Millisecond

// leave drains this entry within about limit. It unlists the entry, accepts requests until
// the lists that contain it expire, closes, lets requests finish until half of limit has
// passed, and hands over the rest. Requests that are still being read are answered too.
func (e *Entry) leave(ctx context.Context, limit time.Duration) {
	startedAt := e.deps.Now()
	e.lifecycle.startLeaving()
	e.callers.CloseAfterAnswers()
	e.reach.Carrier.Leave()
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
	drainCtx, cancel := context.WithTimeout(ctx, startedAt.Add(limit).Sub(e.deps.Now()))
	defer cancel()
	e.callers.Drain(drainCtx)
	e.reach.Carrier.Drain(drainCtx)
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.DrainDone, slog.Int("unfinished", e.unfinished()))
}

// waitUntil returns when done returns true, at the time end, or when ctx ends.
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

// unfinished returns the number of requests that have not ended.
func (e *Entry) unfinished() int {
	return e.registry.unfinished() + int(e.plainRunning.Load()) + e.onceCalls.len()
}

// handleLeave accepts a reclaim notice for this instance: POST /v1/leave?notice=20s on the
// operations listener.
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

// leaveWithin makes this entry leave within the notice. A second notice has no effect.
func (e *Entry) leaveWithin(notice time.Duration) {
	select {
	case e.selfNotices <- notice:
	default: // an earlier notice is pending
	}
}

// awaitNotice returns, which ends the process, after this entry has left by a reclaim
// notice.
func (e *Entry) awaitNotice(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case notice := <-e.selfNotices:
		e.leave(ctx, notice)
		return nil
	}
}
