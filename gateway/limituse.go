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
	// usageLogWindow is how long after its last refusal on this entry a workspace's usage is
	// logged.
	usageLogWindow = 10 * time.Second
)

// limitUsage counts, by workspace, what this entry admits and sends, and the source of each
// decision.
//
// A limit applies to all entries together. If it is exceeded, no single decision shows the
// cause; the sums over the lines of all entries do.
type limitUsage struct {
	log *slog.Logger
	set *metrics.Set
	now func() time.Time

	mu         sync.Mutex
	workspaces map[string]*workspaceUsage
}

// workspaceUsage holds the counts of a workspace since its last line, in the unit of its
// limit.
type workspaceUsage struct {
	admitted     map[string]float64 // by source of the decision
	sent         float64            // first sends to servers
	resent       float64            // repeated sends
	maxSendDelay time.Duration      // from admission to a send
	refused      int                // requests
	lastRefusal  time.Time
}

func newLimitUsage(log *slog.Logger, set *metrics.Set, now func() time.Time) *limitUsage {
	return &limitUsage{log: log, set: set, now: now, workspaces: make(map[string]*workspaceUsage)}
}

// usageOf returns a workspace's counts and creates them if needed. u.mu is held.
func (u *limitUsage) usageOf(workspace string) *workspaceUsage {
	use := u.workspaces[workspace]
	if use == nil {
		use = &workspaceUsage{admitted: make(map[string]float64)}
		u.workspaces[workspace] = use
	}
	return use
}

// recordDecision counts a decision.
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

// recordSend counts a send of a request, delay after its admission.
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

// logUsage logs the usage of each recently refused workspace and resets its counts.
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
