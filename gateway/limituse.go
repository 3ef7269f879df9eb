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
	useLineEvery = time.Second
	// useLinesFor is for how long after its last refusal here a workspace's use is
	// written. Only then does it matter who let in what, and the lines stay few.
	useLinesFor = 10 * time.Second
)

// limitUses counts, by workspace, what this entry lets in and sends, and on what grounds.
//
// A limit is over all entries. When it is passed no single entry's decision shows why:
// the sums over all entries' lines of a second do.
type limitUses struct {
	log *slog.Logger
	set *metrics.Set
	now func() time.Time

	mu   sync.Mutex
	uses map[string]*limitUse
}

// limitUse is what came of one workspace's requests since the last line, in the unit of
// its limit.
type limitUse struct {
	letIn     map[string]float64 // by the grounds of the decision
	sent      float64            // first sends of requests to servers
	sentAgain float64            // further sends
	oldest    time.Duration      // longest time from being let in to a send
	refused   int                // requests
	refusedAt time.Time          // the last one
}

func newLimitUses(log *slog.Logger, set *metrics.Set, now func() time.Time) *limitUses {
	return &limitUses{log: log, set: set, now: now, uses: make(map[string]*limitUse)}
}

// of returns a workspace's counts. u.mu is held.
func (u *limitUses) of(workspace string) *limitUse {
	use := u.uses[workspace]
	if use == nil {
		use = &limitUse{letIn: make(map[string]float64)}
		u.uses[workspace] = use
	}
	return use
}

// noteDecision counts a decision.
func (u *limitUses) noteDecision(workspace string, cost float64, d *decision) {
	grounds := string(d.grounds)
	verdict := "refused"
	if d.ok {
		verdict = "let in"
	}
	u.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_limit_decisions_total{verdict=%q,grounds=%q}`, verdict, grounds)).Inc()
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.of(workspace)
	if d.ok {
		use.letIn[grounds] += cost
		return
	}
	use.refused++
	use.refusedAt = u.now()
}

// noteSent counts a send of a request, age after it was let in.
func (u *limitUses) noteSent(workspace string, cost float64, again bool, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.of(workspace)
	use.oldest = max(use.oldest, age)
	if again {
		use.sentAgain += cost
	} else {
		use.sent += cost
	}
}

// write writes a line for each workspace that was refused of late, and begins anew.
func (u *limitUses) write() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for workspace, use := range u.uses {
		if use.refusedAt.IsZero() || u.now().Sub(use.refusedAt) > useLinesFor {
			delete(u.uses, workspace)
			continue
		}
		attrs := []slog.Attr{
			slog.String("workspace", workspace), slog.Float64("sent", use.sent), slog.Float64("sentAgain", use.sentAgain),
			slog.Duration("oldest", use.oldest), slog.Int("refused", use.refused),
		}
		for grounds, n := range use.letIn {
			attrs = append(attrs, slog.Float64("letIn "+grounds, n))
		}
		event.Log(context.Background(), u.log, slog.LevelInfo, event.LimitUsed, attrs...)
		u.uses[workspace] = &limitUse{letIn: make(map[string]float64), refusedAt: use.refusedAt}
	}
}
