package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
)

// FencingToken says who calls the cloud, and under which fencing number.
type FencingToken struct {
	Leader string // the instance that calls
	Fence  uint64
}

// Cloud is what the leader calls. Errors: ErrOldFence where another
// leader has taken over; any other error leaves open what became of the call.
type Cloud interface {
	ReportUsage(ctx context.Context, o FencingToken, window int64, counts map[string]int64) error
	OrderServers(ctx context.Context, o FencingToken, want DesiredServers) error
}

// DesiredServers is a number of backend servers of one kind in one zone.
type DesiredServers struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// ErrOldFence: the cloud has seen a higher fencing number.
var ErrOldFence = errors.New("old fence")

// ErrNoCapacity: the cloud has no such servers at the moment.
var ErrNoCapacity = errors.New("no capacity")

const (
	// tasksInterval is how often the leader looks what is due.
	tasksInterval = 250 * time.Millisecond
	// cloudTimeout bounds one call to the cloud.
	cloudTimeout = 1500 * time.Millisecond
	// fencesPerTerm is how many fencing numbers one term of the leader has.
	fencesPerTerm = 1 << 20
)

// fenceSequence numbers the calls of one leader. A leader's term is its alone, so no
// two holders have a number in common, and each call has a higher one than the
// calls before: one that the cloud carries out late can't undo a newer one.
type fenceSequence struct {
	term uint64
	next uint64
}

func (f *fenceSequence) issue(term uint64) uint64 {
	if f.term != term {
		f.term, f.next = term, 0
	}
	f.next++
	return term*fencesPerTerm + f.next
}

// leaderTasks are, while this replica leads, what one process must do for the
// whole system.
type leaderTasks struct {
	log       *slog.Logger
	name      string
	cloud     Cloud
	now       func() time.Time
	leaseTime time.Duration

	usage *usageReports // nil: usage is not reported
	fleet *fleet        // nil: servers are not ordered

	fences   fenceSequence
	term     uint64
	ledSince time.Time // start of this replica's lead in term
}

// firstTerm is the term of a group's first leader.
const firstTerm = 1

// readyToAct reports whether this replica may act: it readyToAct, and has led for so long
// that the leader before it has surely stopped.
//
// Without the wait two holders would act in turn: the old one, which has not
// heard yet, the new one, and the old one again. The group's first leader has none
// before it and acts at once: each second that it waits, a fleet runs on the
// on-demand servers that it began with, at several times the price of the others.
func (t *leaderTasks) readyToAct(m *member) bool {
	st := m.host.Status()
	if !m.leading() {
		t.term = 0
		return false
	}
	now := t.now()
	if t.term != st.Term {
		t.term, t.ledSince = st.Term, now
		if t.usage != nil {
			t.usage.reset()
		}
		if t.fleet != nil {
			t.fleet.reset()
		}
	}
	return mayAct(st.Term, now.Sub(t.ledSince), t.leaseTime)
}

// mayAct reports whether a leader of a term that has led for so long may act.
func mayAct(term uint64, ledFor, leaseTime time.Duration) bool {
	return term == firstTerm || ledFor >= leaseTime
}

// step does what is due now.
func (t *leaderTasks) step(ctx context.Context, m *member) {
	if t.fleet != nil {
		t.fleet.observe()
	}
	if !t.readyToAct(m) {
		return
	}
	if t.usage != nil {
		t.usage.step(ctx, m)
	}
	if t.fleet != nil {
		t.fleet.step(ctx, m)
	}
}

// orderServers gives an order under the next fencing number.
func (t *leaderTasks) orderServers(ctx context.Context, w DesiredServers) error {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	return t.cloud.OrderServers(ctx, FencingToken{Leader: t.name, Fence: t.fences.issue(t.term)}, w)
}

// reportUsage sends a window's usage under the next fencing number.
func (t *leaderTasks) reportUsage(ctx context.Context, w usageWindow) error {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	token := FencingToken{Leader: t.name, Fence: t.fences.issue(t.term)}
	err := t.cloud.ReportUsage(ctx, token, w.Window, w.Counts)
	attrs := []slog.Attr{
		slog.String("task", "usage"), slog.Uint64("fence", token.Fence), slog.Int64("window", w.Window), slog.Any("counts", w.Counts),
	}
	if err != nil {
		event.Log(ctx, t.log, slog.LevelWarn, event.CloudCallFailed, append(attrs, slog.String("error", err.Error()))...)
		return err
	}
	event.Log(ctx, t.log, slog.LevelInfo, event.CloudCalled, attrs...)
	return nil
}
