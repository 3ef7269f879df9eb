package coordinator

import (
	"context"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/wallclock"
)

const (
	// maxWaitFraction is the part of the time until usage is due for which the report
	// waits for entries that have not told what they counted.
	maxWaitFraction = 0.45
	// entriesKnownAfter is how long after its start a replica is taken to have heard
	// of all entries: each calls every replica at least once in a second, and after a
	// pause of at most a second where a call failed.
	entriesKnownAfter = 3 * time.Second
)

// usageReports reports the usage of each window once, while this replica leads.
type usageReports struct {
	log         *slog.Logger
	clock       *wallclock.Clock
	now         func() time.Time
	usage       *usageTable
	liveEntries func() []directory.Entry // entries that take callers
	startedAt   time.Time                // of this replica
	window      time.Duration
	dueAfter    time.Duration // from the end of a window until its report is due
	retention   time.Duration // from the end of a window until its report is worthless
	report      func(ctx context.Context, w usageWindow) error

	backoffs reportBackoffs // of this lead
}

// reset forgets the calls of an earlier lead.
func (r *usageReports) reset() { r.backoffs = make(reportBackoffs) }

// step decides and reports what is due.
func (r *usageReports) step(ctx context.Context, m *member) {
	r.decide(ctx, m)
	r.send(ctx, m)
}

// newestDecidable returns the newest window whose content can be decided: one that all
// entries have told of, or that has been over for so long that the report would be
// late if it went on waiting for one that may be dead.
//
// A report that always waited that long would be lost with a leader that stops in
// the meantime, since its successor is there only when the report is due.
func (r *usageReports) newestDecidable() int64 {
	now := r.clock.Now()
	newest := now.Add(-time.Duration(float64(r.dueAfter)*maxWaitFraction)).UnixNano()/int64(r.window) - 1
	if r.now().Sub(r.startedAt) < entriesKnownAfter {
		return newest
	}
	live := r.liveEntries()
	lastEnded := now.UnixNano()/int64(r.window) - 1
	for newest < lastEnded && r.usage.complete(newest+1, live) {
		newest++
	}
	return newest
}

// oldestReportable is the oldestReportable window whose report is worth something.
func (r *usageReports) oldestReportable() int64 {
	return r.clock.Now().Add(-r.retention).UnixNano() / int64(r.window)
}

// undecided returns the first and the last window whose content is to be decided, in
// order: a new leader takes up all that the one before it left. The last is below
// the first where there are none.
func (r *usageReports) undecided(decided []usageWindow) (first, last int64) {
	first = r.oldestReportable()
	if n := len(decided); n > 0 {
		first = max(first, decided[n-1].Window+1)
	}
	return first, r.newestDecidable()
}

// decide puts the content of each window that has settled into the log.
// Only then is it sent: if this process dies in between, its successor sends the
// same counts and no others.
func (r *usageReports) decide(ctx context.Context, m *member) {
	first, last := r.undecided(m.state.usageWindows())
	for w := first; w <= last; w++ {
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := propose(ctx, m, kindUsage, usageWindow{Window: w, Counts: r.usage.sum(w), Oldest: r.oldestReportable()})
		cancel()
		if err != nil {
			event.Log(ctx, r.log, slog.LevelWarn, event.CloudCallFailed,
				slog.String("task", "usage"), slog.Int64("window", w), slog.String("step", "decide"), slog.String("error", err.Error()))
			return
		}
	}
}

// send sends the oldest window that was decided and has not been sent.
func (r *usageReports) send(ctx context.Context, m *member) {
	for _, w := range m.state.usageWindows() {
		if w.Sent || !r.backoffs.due(w.Window, r.now()) || w.Window < r.oldestReportable() {
			continue
		}
		r.backoffs.recordAttempt(w.Window, r.now())
		err := r.report(ctx, w)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		defer cancel()
		if err := propose(ctx, m, kindUsageSent, usageSentCommand{Window: w.Window}); err != nil {
			event.Log(ctx, r.log, slog.LevelWarn, event.CloudCallFailed,
				slog.String("task", "usage"), slog.Int64("window", w.Window), slog.String("step", "note as sent"), slog.String("error", err.Error()))
		}
		return
	}
}

const (
	// minReportDelay is the pause after the first call for a window, and is doubled after
	// each further one up to usagePauseMax. A cloud that is down for seconds has the
	// report within a second of its return, for some twenty calls at most until the
	// report is worthless.
	minReportDelay = 250 * time.Millisecond
	maxReportDelay = time.Second
)

// reportBackoffs holds when a window may be reported again, and the pause then, for the
// windows that one leader has reported.
type reportBackoffs map[int64]reportBackoff

type reportBackoff struct {
	nextAttempt time.Time
	delay       time.Duration
}

// due reports whether a window may be reported now.
func (c reportBackoffs) due(window int64, now time.Time) bool {
	return !now.Before(c[window].nextAttempt)
}

// recordAttempt takes that a window is being reported.
func (c reportBackoffs) recordAttempt(window int64, now time.Time) {
	delay := min(max(2*c[window].delay, minReportDelay), maxReportDelay)
	c[window] = reportBackoff{nextAttempt: now.Add(delay), delay: delay}
}
