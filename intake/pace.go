package intake

import (
	"sync"
	"time"
)

const (
	// MinRate is the rate, in bytes a second, at which a client keeps its room while others need it.
	MinRate = 32 << 10
	// maxSlack is how long a client that has kept up may stop.
	maxSlack = time.Second
)

// pace measures how long a client may still keep the process waiting. It is safe for concurrent use: a client may
// send and receive at the same time.
type pace struct {
	mu      sync.Mutex
	slack   time.Duration
	waits   int // exchanges that wait for the client
	dueTime time.Time
}

func newPace() *pace { return &pace{slack: maxSlack} }

// begin says that the process waits for the client from now on.
func (p *pace) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits++
	if p.waits == 1 {
		p.dueTime = now.Add(p.slack)
	}
}

// moved ends a wait since start, in which n bytes were moved.
func (p *pace) moved(start, now time.Time, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits--
	earned := time.Duration(float64(n) / MinRate * float64(time.Second))
	p.slack = min(maxSlack, max(0, p.slack-now.Sub(start))+earned)
	if p.waits > 0 {
		p.dueTime = now.Add(p.slack)
	}
}

// due returns the time from which the client is behind. waits is false while the process does not wait for it.
func (p *pace) due() (at time.Time, waits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dueTime, p.waits > 0
}
