package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/event"
)

const (
	// useLineEvery is how often a workspace's use is written to the log.
	usageLogInterval = time.Second
	// useLinesFor is for how long after its last refusal here a workspace's use is
	// written. Only then does it matter who let in what, and the lines stay few.
	usageLogWindow = 10 * time.Second
)

// limitUses counts, by workspace, what this entry lets in and sends, and on what grounds.
//
// A limit is over all entries. When it is passed no single entry's decision shows why:
// the sums over all entries' lines of a second do.
type limitUsage struct {
	log *slog.Logger
	set *metrics.Set
	now func() time.Time

	mu         sync.Mutex
	workspaces map[string]*workspaceUsage
}

// limitUse is what came of one workspace's requests since the last line, in the unit of
// its limit.
type workspaceUsage struct {
	admitted     map[string]float64 // by the grounds of the decision
	sent         float64            // first sends of requests to servers
	resent       float64            // further sends
	maxSendDelay time.Duration      // longest time from being let in to a send
	refused      int                // requests
	lastRefusal  time.Time          // the last one
}

func newLimitUsage(log *slog.Logger, set *metrics.Set, now func() time.Time) *limitUsage {
	return &limitUsage{log: log, set: set, now: now, workspaces: make(map[string]*workspaceUsage)}
}

// of returns a workspace's counts. u.mu is held.
func (u *limitUsage) usageOf(workspace string) *workspaceUsage {
	use := u.workspaces[workspace]
	if use == nil {
		use = &workspaceUsage{admitted: make(map[string]float64)}
		u.workspaces[workspace] = use
	}
	return use
}

// noteDecision counts a decision.
func (u *limitUsage) recordDecision(workspace string, cost float64, d *decision) {
	source := string(d.source)
	verdict := "refused"
	if d.ok {
		verdict = "let in"
	}
	u.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_limit_decisions_total{verdict=%q,grounds=%q}`, verdict, source)).Inc()
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.usageOf(workspace)
	if d.ok {
		use.admitted[source] += cost
		return
	}
	use.refused++
	use.lastRefusal = u.now()
}

// noteSent counts a send of a request, age after it was let in.
func (u *limitUsage) recordSend(workspace string, cost float64, resend bool, delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.usageOf(workspace)
	use.maxSendDelay = max(use.maxSendDelay, delay)
	if resend {
		use.resent += cost
	} else {
		use.sent += cost
	}
}

// write writes a line for each workspace that was refused of late, and begins anew.
func (u *limitUsage) logUsage() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for workspace, use := range u.workspaces {
		if use.lastRefusal.IsZero() || u.now().Sub(use.lastRefusal) > usageLogWindow {
			delete(u.workspaces, workspace)
			continue
		}
		attrs := []slog.Attr{
			slog.String("workspace", workspace), slog.Float64("sent", use.sent), slog.Float64("sentAgain", use.resent),
			slog.Duration("oldest", use.maxSendDelay), slog.Int("refused", use.refused),
		}
		for source, n := range use.admitted {
			attrs = append(attrs, slog.Float64("letIn "+source, n))
		}
		event.Log(context.Background(), u.log, slog.LevelInfo, event.LimitUsed, attrs...)
		u.workspaces[workspace] = &workspaceUsage{admitted: make(map[string]float64), lastRefusal: use.lastRefusal}
	}
}
