package fake

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

// rateWindow is the window over which generated tokens per second are measured.
const rateWindow = time.Second

// EngineStats holds an Engine's counters. It is the body of GET /fake/stats.
type EngineStats struct {
	Runs       map[string]int `json:"runs"`      // by request id: times it got a slot and ran
	Finished   map[string]int `json:"finished"`  // by request id: times its last token was generated
	Cancelled  map[string]int `json:"cancelled"` // by request id: times it ended earlier
	Tokens     int            `json:"tokens"`    // generated
	Cached     int            `json:"cachedTokens"`
	Recomputed int            `json:"recomputedTokens"`
	Running    int            `json:"running"`
	Waiting    int            `json:"waiting"`
	Orders     []native.Order `json:"orders"` // accepted, oldest first
}

type engineStats struct {
	mu           sync.Mutex
	s            EngineStats
	windowStart  time.Time
	windowTokens int
	lastRate     float64
}

func newEngineStats() *engineStats {
	return &engineStats{s: EngineStats{
		Runs:      make(map[string]int),
		Finished:  make(map[string]int),
		Cancelled: make(map[string]int),
	}}
}

func (e *engineStats) recordRun(id string)    { e.count(e.s.Runs, id) }
func (e *engineStats) recordFinish(id string) { e.count(e.s.Finished, id) }
func (e *engineStats) recordCancel(id string) { e.count(e.s.Cancelled, id) }

func (e *engineStats) count(m map[string]int, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m[id]++
}

func (e *engineStats) recordPrefill(p prefillPlan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.s.Cached += p.cached
	e.s.Recomputed += p.recomputed
}

func (e *engineStats) recordToken(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rollWindow(now)
	e.s.Tokens++
	e.windowTokens++
}

// tokenRate returns the tokens per second generated in the last full window.
func (e *engineStats) tokenRate(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rollWindow(now)
	return e.lastRate
}

func (e *engineStats) rollWindow(now time.Time) {
	age := now.Sub(e.windowStart)
	if age < rateWindow {
		return
	}
	e.lastRate = float64(e.windowTokens) / age.Seconds()
	e.windowTokens = 0
	e.windowStart = now
}

func (e *engineStats) snapshot() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.s
	s.Runs = maps.Clone(s.Runs)
	s.Finished = maps.Clone(s.Finished)
	s.Cancelled = maps.Clone(s.Cancelled)
	return s
}

// loadHistory delays load reports by lag.
type loadHistory struct {
	mu    sync.Mutex
	lag   time.Duration
	loads []instance.Load // oldest first
}

func newLoadHistory(lag time.Duration) *loadHistory { return &loadHistory{lag: lag} }

// push adds the current load and returns the one to report: the newest that is at
// least lag old, or else the oldest.
func (h *loadHistory) push(l instance.Load) instance.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, l)
	cutoff := l.At.Add(-h.lag)
	for len(h.loads) > 1 && !h.loads[1].At.After(cutoff) {
		h.loads = h.loads[1:]
	}
	return h.loads[0]
}

// cancelTable holds the cancel functions of running requests by request id. Several
// requests may have the same id.
type cancelTable struct {
	mu      sync.Mutex
	lastKey int
	byID    map[string]map[int]context.CancelCauseFunc
}

func newCancelTable() *cancelTable {
	return &cancelTable{byID: make(map[string]map[int]context.CancelCauseFunc)}
}

// add registers a request. It returns a context that cancel(id) cancels, and a
// function to call when the request has ended.
func (t *cancelTable) add(parent context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastKey++
	key := t.lastKey
	if t.byID[id] == nil {
		t.byID[id] = make(map[int]context.CancelCauseFunc)
	}
	t.byID[id][key] = cancel
	return ctx, func() {
		t.remove(id, key)
		cancel(nil)
	}
}

func (t *cancelTable) remove(id string, key int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID[id], key)
	if len(t.byID[id]) == 0 {
		delete(t.byID, id)
	}
}

// cancel cancels every running request with the id and reports whether there was
// any.
func (t *cancelTable) cancel(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cancel := range t.byID[id] {
		cancel(errCancelled)
	}
	return len(t.byID[id]) > 0
}
