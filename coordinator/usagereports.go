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
	// maxWaitFraction is the fraction of the time until a report is due for which it waits
	// for entries that have not reported.
	maxWaitFraction = 0.45
	// entriesKnownAfter is how long after its start a replica has been called by all
	// entries. Each entry calls every replica at least once a second, and pauses at most a
	// second after a failure.
	entriesKnownAfter = 3 * time.Second
)

// usageReports reports the usage of each window while this replica leads.
type usageReports struct {
	log         *slog.Logger
	clock       *wallclock.Clock
	now         func() time.Time
	usage       *usageTable
	liveEntries func() []directory.Entry // entries that take callers
	startedAt   time.Time                // start of this replica
	window      time.Duration
	dueAfter    time.Duration // from the end of a window until its report is due
	retention   time.Duration // from the end of a window until it is no longer reported
	report      func(ctx context.Context, w usageWindow) error
	collect     func(ctx context.Context, from int64) // adds what other replicas know of entries that have ended

	backoffs reportBackoffs // of this lead
}

// reset drops the backoffs of an earlier lead.
func (r *usageReports) reset() { r.backoffs = make(reportBackoffs) }

// step decides the windows that are decidable and sends at most one report.
func (r *usageReports) step(ctx context.Context, m *member) {
	r.decide(ctx, m)
	r.send(ctx, m)
}

// newestDecidable returns the newest window that can be decided: one for which all
// entries have reported, or one that ended so long ago that a longer wait could make its
// report late.
//
// Always waiting that long would lose the report if the leader stops meanwhile, since
// its successor starts only after the report is due.
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

// oldestReportable returns the oldest window that is still reported.
func (r *usageReports) oldestReportable() int64 {
	return r.clock.Now().Add(-r.retention).UnixNano() / int64(r.window)
}

// undecided returns the first and the last window to decide, including those that an
// earlier leader left. first > last if there are none.
func (r *usageReports) undecided(decided []usageWindow) (first, last int64) {
	first = r.oldestReportable()
	if n := len(decided); n > 0 {
		first = max(first, decided[n-1].Window+1)
	}
	return first, r.newestDecidable()
}

// decide commits the content of each decidable window. It is sent only after that, so
// that a successor sends the same counts.
func (r *usageReports) decide(ctx context.Context, m *member) {
	first, last := r.undecided(m.state.usageWindows())
	if first <= last {
		r.collect(ctx, first)
	}
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

// send sends the oldest decided window that has not been sent and whose backoff has
// passed.
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
	// minReportDelay is the delay after the first attempt to report a window. It doubles
	// with each attempt up to maxReportDelay, so that a report arrives within a second after
	// an outage.
	minReportDelay = 250 * time.Millisecond
	maxReportDelay = time.Second
)

// reportBackoffs holds the next attempt of each window that this leader has tried to
// report.
type reportBackoffs map[int64]reportBackoff

type reportBackoff struct {
	nextAttempt time.Time
	delay       time.Duration
}

// due reports whether a window may be reported at now.
func (c reportBackoffs) due(window int64, now time.Time) bool {
	return !now.Before(c[window].nextAttempt)
}

// recordAttempt records an attempt at now and doubles the delay until the next.
func (c reportBackoffs) recordAttempt(window int64, now time.Time) {
	delay := min(max(2*c[window].delay, minReportDelay), maxReportDelay)
	c[window] = reportBackoff{nextAttempt: now.Add(delay), delay: delay}
}
