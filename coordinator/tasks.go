package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
)

// FencingToken identifies a leader's call to the cloud. The cloud refuses a call whose
// Fence is lower than one it has seen.
type FencingToken struct {
	Leader string // name of the calling instance
	Fence  uint64
}

// Cloud is the API that the leader calls. A call returns ErrOldFence if another leader
// has taken over and ErrNoCapacity if an order was refused; after any other error its
// outcome is unknown.
type Cloud interface {
	ReportUsage(ctx context.Context, o FencingToken, window int64, counts map[string]int64) error
	OrderServers(ctx context.Context, o FencingToken, want DesiredServers) error
}

// DesiredServers is the desired number of backend servers of a service in one capacity
// pool.
type DesiredServers struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// ErrOldFence reports that the cloud has seen a higher fencing number.
var ErrOldFence = errors.New("outdated fencing number")

// ErrNoCapacity reports that the cloud has no such servers at present.
var ErrNoCapacity = errors.New("no capacity")

const (
	// tasksInterval is the interval at which the leader checks for due tasks.
	tasksInterval = 250 * time.Millisecond
	// cloudTimeout bounds one call to the cloud, and one proposal of a leader's task.
	cloudTimeout = 1500 * time.Millisecond
	// fencesPerTerm is the number of fencing numbers of one term.
	fencesPerTerm = 1 << 20
)

// fenceSequence issues the fencing numbers of a leader. Only one replica leads in a
// term, so no two leaders issue the same number, and each number is higher than those
// before: the cloud cannot apply a delayed call after a newer one.
type fenceSequence struct {
	term uint64
	next uint64
}

// issue returns the next fencing number of a term.
func (f *fenceSequence) issue(term uint64) uint64 {
	if f.term != term {
		f.term, f.next = term, 0
	}
	f.next++
	return term*fencesPerTerm + f.next
}

// leaderTasks are the tasks of the leader that call the cloud.
type leaderTasks struct {
	log       *slog.Logger
	name      string
	cloud     Cloud
	now       func() time.Time
	leaseTime time.Duration // wait after an election before the first call

	usage *usageReports // nil: usage is not reported
	fleet *fleet        // nil: servers are not ordered

	fences   fenceSequence
	term     uint64
	ledSince time.Time // start of this replica's lead in term
}

// firstTerm is the term of a group's first leader.
const firstTerm = 1

// readyToAct reports whether this replica leads and the previous leader has stopped
// calling the cloud. At the start of a lead it resets the tasks.
//
// Without the wait, calls of the previous leader, which may not know yet that it was
// replaced, could interleave with those of this one. The first leader of a group has no
// predecessor and does not wait.
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

// mayAct reports whether a leader that has led its term for ledFor may call the cloud.
func mayAct(term uint64, ledFor, leaseTime time.Duration) bool {
	return term == firstTerm || ledFor >= leaseTime
}

// step updates the observed load and, if this replica may act, runs the due tasks.
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

// orderServers places an order with the next fencing number.
func (t *leaderTasks) orderServers(ctx context.Context, w DesiredServers) error {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	return t.cloud.OrderServers(ctx, FencingToken{Leader: t.name, Fence: t.fences.issue(t.term)}, w)
}

// reportUsage sends the usage of a window with the next fencing number.
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
