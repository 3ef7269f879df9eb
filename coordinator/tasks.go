package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/wallclock"
)

// Order says who calls the cloud, and under which fencing number.
type Order struct {
	Leader string // the instance that calls
	Fence  uint64
}

// Cloud is what the leader calls. Errors: ErrOldFence where another
// leader has taken over; any other error leaves open what became of the call.
type Cloud interface {
	ReportUsage(ctx context.Context, o Order, window int64, counts map[string]int64) error
	OrderServers(ctx context.Context, o Order, want Want) error
}

// Want is a number of backend servers of one kind in one zone.
type Want struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// ErrOldFence: the cloud has seen a higher fencing number.
var ErrOldFence = errors.New("old fence")

// ErrUnavailable: the cloud has no such servers at the moment.
var ErrUnavailable = errors.New("no capacity")

const (
	// tasksEvery is how often the leader looks what is due.
	tasksEvery = 250 * time.Millisecond
	// cloudTimeout bounds one call to the cloud.
	cloudTimeout = 1500 * time.Millisecond
	// usageSettle is the part of the time until usage is due for which the report
	// waits for entries that have not told what they counted.
	usageSettle = 0.45
	// entriesKnownAfter is how long after its start a replica is taken to have heard
	// of all entries: each calls every replica at least once in a second, and after a
	// pause of at most a second where a call failed.
	entriesKnownAfter = 3 * time.Second
	// fencesPerTerm is how many fencing numbers one term of the leader has.
	fencesPerTerm = 1 << 20
)

// fences numbers the calls of one leader. A leader's term is its alone, so no
// two holders have a number in common, and each call has a higher one than the
// calls before: one that the cloud carries out late can't undo a newer one.
type fences struct {
	term uint64
	next uint64
}

func (f *fences) take(term uint64) uint64 {
	if f.term != term {
		f.term, f.next = term, 0
	}
	f.next++
	return term*fencesPerTerm + f.next
}

// leaderTasks are, while this replica leads, what one process must do for the
// whole system.
type leaderTasks struct {
	log    *slog.Logger
	name   string
	cloud  Cloud
	clock  *wallclock.Clock
	now    func() time.Time
	usage  *usageBook
	live   func() []directory.Entry // entries that take callers
	start  time.Time                // of this replica
	window time.Duration
	late   time.Duration // from the end of a window until its report is due
	kept   time.Duration // from the end of a window until its report is worthless
	lease  time.Duration

	fleet  *fleet // nil: servers are not ordered
	report bool   // usage is reported

	fences fences
	term   uint64
	since  time.Time // start of this replica's lead in term
	calls  usageCalls
}

// leads reports whether this replica may act: it leads, and has led for so long
// that the leader before it has surely stopped.
//
// Without the wait two holders would act in turn: the old one, which has not
// heard yet, the new one, and the old one again.
func (t *leaderTasks) leads(m *member) bool {
	st := m.host.Status()
	if !m.leading() {
		t.term = 0
		return false
	}
	now := t.now()
	if t.term != st.Term {
		t.term, t.since = st.Term, now
		t.calls = make(usageCalls)
		if t.fleet != nil {
			t.fleet.reset()
		}
	}
	return now.Sub(t.since) >= t.lease
}

// step does what is due now.
func (t *leaderTasks) step(ctx context.Context, m *member) {
	if !t.leads(m) {
		return
	}
	if t.report && t.window > 0 {
		t.decideUsage(ctx, m)
		t.sendUsage(ctx, m)
	}
	if t.fleet != nil {
		t.fleet.step(ctx, m)
	}
}

// orderServers gives an order under the next fencing number.
func (t *leaderTasks) orderServers(ctx context.Context, w Want) error {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	return t.cloud.OrderServers(ctx, Order{Leader: t.name, Fence: t.fences.take(t.term)}, w)
}

// settled returns the newest window whose content can be decided: one that all
// entries have told of, or that has been over for so long that the report would be
// late if it went on waiting for one that may be dead.
//
// A report that always waited that long would be lost with a leader that stops in
// the meantime, since its successor is there only when the report is due.
func (t *leaderTasks) settled() int64 {
	now := t.clock.Now()
	waited := now.Add(-time.Duration(float64(t.late)*usageSettle)).UnixNano()/int64(t.window) - 1
	if t.now().Sub(t.start) < entriesKnownAfter {
		return waited
	}
	live := t.live()
	ended := now.UnixNano()/int64(t.window) - 1
	for waited < ended && t.usage.complete(waited+1, live) {
		waited++
	}
	return waited
}

// oldest is the oldest window whose report is worth something.
func (t *leaderTasks) oldest() int64 { return t.clock.Now().Add(-t.kept).UnixNano() / int64(t.window) }

// undecided returns the first and the last window whose content is to be decided, in
// order: a new leader takes up all that the one before it left. The last is below
// the first where there are none.
func (t *leaderTasks) undecided(decided []usageWindow) (first, last int64) {
	first = t.oldest()
	if n := len(decided); n > 0 {
		first = max(first, decided[n-1].Window+1)
	}
	return first, t.settled()
}

// decideUsage puts the content of each window that has settled into the log.
// Only then is it sent: if this process dies in between, its successor sends the
// same counts and no others.
func (t *leaderTasks) decideUsage(ctx context.Context, m *member) {
	first, last := t.undecided(m.state.windows())
	for w := first; w <= last; w++ {
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		err := propose(ctx, m, kindUsage, usageWindow{Window: w, Counts: t.usage.sum(w), Oldest: t.oldest()})
		cancel()
		if err != nil {
			event.Log(ctx, t.log, slog.LevelWarn, event.CloudCallFailed,
				slog.String("task", "usage"), slog.Int64("window", w), slog.String("step", "decide"), slog.String("error", err.Error()))
			return
		}
	}
}

// sendUsage sends the oldest window that was decided and has not been sent.
func (t *leaderTasks) sendUsage(ctx context.Context, m *member) {
	for _, w := range m.state.windows() {
		if w.Sent || !t.calls.due(w.Window, t.now()) || w.Window < t.oldest() {
			continue
		}
		t.calls.note(w.Window, t.now())
		err := t.reportUsage(ctx, w)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		defer cancel()
		if err := propose(ctx, m, kindUsageSent, usageSentCommand{Window: w.Window}); err != nil {
			event.Log(ctx, t.log, slog.LevelWarn, event.CloudCallFailed,
				slog.String("task", "usage"), slog.Int64("window", w.Window), slog.String("step", "note as sent"), slog.String("error", err.Error()))
		}
		return
	}
}

func (t *leaderTasks) reportUsage(ctx context.Context, w usageWindow) error {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	order := Order{Leader: t.name, Fence: t.fences.take(t.term)}
	err := t.cloud.ReportUsage(ctx, order, w.Window, w.Counts)
	t.logCall(ctx, "usage", order, err, slog.Int64("window", w.Window), slog.Any("counts", w.Counts))
	return err
}

func (t *leaderTasks) logCall(ctx context.Context, task string, o Order, err error, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("task", task), slog.Uint64("fence", o.Fence)}, attrs...)
	if err != nil {
		event.Log(ctx, t.log, slog.LevelWarn, event.CloudCallFailed, append(attrs, slog.String("error", err.Error()))...)
		return
	}
	event.Log(ctx, t.log, slog.LevelInfo, event.CloudCalled, attrs...)
}
