package coordinator

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/pacing"
)

// reportRates are the rates of reports of changes that a replica keeps to during a series of
// changes, once for all entries and once for all replicas.
var reportRates = pacing.Rates{Urgent: 300, Routine: 150}

// watchPacers paces the reports of changes to entries and to other replicas. They are paced
// apart, since changes reach entries through replicas. It is safe for concurrent use.
type watchPacers struct {
	mu       sync.Mutex
	entries  *pacing.Pacer
	replicas *pacing.Pacer
}

func newWatchPacers() *watchPacers {
	return &watchPacers{entries: pacing.New(reportRates), replicas: pacing.New(reportRates)}
}

// delay returns how long the report of a change to a process has to wait.
func (p *watchPacers) delay(to link.PeerInfo, role string, urgent bool, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(role).Delay(to.ID, urgent, now)
}

// reported records that a process is being sent changes.
func (p *watchPacers) reported(to link.PeerInfo, role string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(role).Reported(to.ID, now)
}

func (p *watchPacers) of(role string) *pacing.Pacer {
	if role == api.RoleControl {
		return p.replicas
	}
	return p.entries
}
