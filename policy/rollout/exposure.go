package rollout

import (
	"math"
	"sync"
	"time"
)

// shareMargin is the part of Limits.Share that an entry uses. The rest covers requests that
// an entry counts as sent and that no server receives.
const shareMargin = 0.97

// paceFactor limits the candidate to this multiple of Share at any time. The requests that
// came before its servers served would otherwise all be made up for at their cold start.
const paceFactor = 2

// LeaseTime is how long an entry may send requests to the candidate after the last reply of
// a control replica. It leaves three quarters of RollbackWithin to notice a fault and to
// decide.
func LeaseTime(l Limits) time.Duration { return l.RollbackWithin / 4 }

// Exposure limits the requests that one entry sends to the candidate. Of n requests to the
// service it allows at most Share*n + c, with c in [0, min(1, Slack/(2*entries))]. The bound
// is linear in n, so it also holds for the sum over all entries, whatever they know of each
// other. It is safe for concurrent use.
type Exposure struct {
	mu        sync.Mutex
	share     float64
	offset    float64 // the c of the bound
	requested int64
	allowed   int64
	last      float64 // requested at the last allowed send
}

// NewExposure returns the exposure of an entry that has just learned of a rollout. draw is
// uniform in [0,1) and independent of other entries' draws, so that entries do not send to
// the candidate at the same count of requests.
func NewExposure(l Limits, entries int, draw float64) *Exposure {
	return newExposure(l, draw*min(1, float64(l.Slack)/float64(2*max(entries, 1))))
}

func newExposure(l Limits, offset float64) *Exposure {
	return &Exposure{share: l.Share * shareMargin, offset: offset, last: math.Inf(-1)}
}

// Requested counts one send of this entry to the service, whichever version gets it. It comes
// before the Allow of the same send.
func (e *Exposure) Requested() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested++
}

// Allow reports whether the next send may go to the candidate, and counts it if so.
func (e *Exposure) Allow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	requested := float64(e.requested)
	if float64(e.allowed+1) > e.share*requested+e.offset || requested-e.last < 1/(paceFactor*e.share) {
		return false
	}
	e.allowed++
	e.last = requested
	return true
}

// Release takes back an allowed send that did not reach the candidate: another version got
// the request, or none did.
func (e *Exposure) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allowed = max(0, e.allowed-1)
}

// Withdraw takes back a counted send that reached no server of the service.
func (e *Exposure) Withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested = max(0, e.requested-1)
}

// Counts returns the sends that were counted and those of them that were allowed, for metrics.
func (e *Exposure) Counts() (requested, allowed int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requested, e.allowed
}
