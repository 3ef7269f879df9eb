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
	// usageSettle is the part of the time until usage is due for which the report
	// waits for entries that have not told what they counted.
	usageSettle = 0.45
	// entriesKnownAfter is how long after its start a replica is taken to have heard
	// of all entries: each calls every replica at least once in a second, and after a
	// pause of at most a second where a call failed.
	entriesKnownAfter = 3 * time.Second
)

// usageReports reports the usage of each window once, while this replica leads.
type usageReports struct {
	log    *slog.Logger
	clock  *wallclock.Clock
	now    func() time.Time
	book   *usageBook
	live   func() []directory.Entry // entries that take callers
	start  time.Time                // of this replica
	window time.Duration
	late   time.Duration // from the end of a window until its report is due
	kept   time.Duration // from the end of a window until its report is worthless
	report func(ctx context.Context, w usageWindow) error

	calls usageCalls // of this lead
}

// reset forgets the calls of an earlier lead.
func (r *usageReports) reset() { r.calls = make(usageCalls) }

// step decides and reports what is due.
func (r *usageReports) step(ctx context.Context, m *member) {
	r.decide(ctx, m)
	r.send(ctx, m)
}

// settled returns the newest window whose content can be decided: one that all
// entries have told of, or that has been over for so long that the report would be
// late if it went on waiting for one that may be dead.
//
// A report that always waited that long would be lost with a leader that stops in
// the meantime, since its successor is there only when the report is due.
func (r *usageReports) settled() int64 {
	now := r.clock.Now()
	waited := now.Add(-time.Duration(float64(r.late)*usageSettle)).UnixNano()/int64(r.window) - 1
	if r.now().Sub(r.start) < entriesKnownAfter {
		return waited
	}
	live := r.live()
	ended := now.UnixNano()/int64(r.window) - 1
	for waited < ended && r.book.complete(waited+1, live) {
		waited++
	}
	return waited
}

// oldest is the oldest window whose report is worth something.
func (r *usageReports) oldest() int64 { return r.clock.Now().Add(-r.kept).UnixNano() / int64(r.window) }

// undecided returns the first and the last window whose content is to be decided, in
// order: a new leader takes up all that the one before it left. The last is below
// the first where there are none.
func (r *usageReports) undecided(decided []usageWindow) (first, last int64) {
	first = r.oldest()
	if n := len(decided); n > 0 {
		first = max(first, decided[n-1].Window+1)
	}
	return first, r.settled()
}

// decide puts the content of each window that has settled into the log.
// Only then is it sent: if this process dies in between, its successor sends the
// same counts and no others.
func (r *usageReports) decide(ctx context.Context, m *member) {
	first, last := r.undecided(m.state.windows())
	for w := first; w <= last; w++ {
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := propose(ctx, m, kindUsage, usageWindow{Window: w, Counts: r.book.sum(w), Oldest: r.oldest()})
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
	for _, w := range m.state.windows() {
		if w.Sent || !r.calls.due(w.Window, r.now()) || w.Window < r.oldest() {
			continue
		}
		r.calls.note(w.Window, r.now())
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
	// usagePause is the pause after the first call for a window, and is doubled after
	// each further one up to usagePauseMax. A cloud that is down for seconds has the
	// report within a second of its return, for some twenty calls at most until the
	// report is worthless.
	usagePause    = 250 * time.Millisecond
	usagePauseMax = time.Second
)

// usageCalls holds when a window may be reported again, and the pause then, for the
// windows that one leader has reported.
type usageCalls map[int64]usageCall

type usageCall struct {
	next  time.Time
	pause time.Duration
}

// due reports whether a window may be reported now.
func (c usageCalls) due(window int64, now time.Time) bool { return !now.Before(c[window].next) }

// note takes that a window is being reported.
func (c usageCalls) note(window int64, now time.Time) {
	pause := min(max(2*c[window].pause, usagePause), usagePauseMax)
	c[window] = usageCall{next: now.Add(pause), pause: pause}
}
