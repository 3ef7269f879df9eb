package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds and sizes of boundModel.
const (
	modelRatio  = 0.2
	modelSlack  = 50.0
	modelWindow = 10 * time.Second
	// modelFraction is the fraction of the bound that the policies use.
	modelFraction = 0.95
	modelStep     = 20 * time.Millisecond
	modelTime     = 90 * time.Second
)

// boundModel plays the entries of a site, each with a Policy of its own, in virtual time:
// requests arrive at uneven rates and fail, entries restart, pause, join and leave.
type boundModel struct {
	rng     *rand.Rand
	now     time.Time
	entries []*modelEntry
	firsts  []time.Time
	repeats []time.Time
}

// modelEntry is one entry. A paused one holds the requests that arrive.
type modelEntry struct {
	policy      *Policy
	weight      float64 // of the site's requests that arrive here
	observedAt  time.Time
	pausedUntil time.Time
	held        int
}

func newBoundModel(t *testing.T, seed uint64, maxEntries int) *boundModel {
	m := &boundModel{rng: rand.New(rand.NewPCG(seed, 3)), now: epoch}
	for range 1 + m.rng.IntN(maxEntries) {
		m.entries = append(m.entries, &modelEntry{weight: m.rng.Float64()})
	}
	for _, e := range m.entries {
		e.restart(t, m)
	}
	return m
}

// restart replaces the entry's process by a new one.
func (e *modelEntry) restart(t *testing.T, m *boundModel) {
	p, err := New(siteConfig())
	require.NoError(t, err)
	e.policy = p
	m.setShares()
}

// siteConfig returns a policy's settings for an entry of a site with the model's bounds.
func siteConfig() Config {
	cfg := DefaultConfig()
	cfg.Ratio, cfg.Window = modelFraction*modelRatio, modelWindow
	return cfg
}

// setShares divides the slack among the entries.
func (m *boundModel) setShares() {
	for _, e := range m.entries {
		if e.policy != nil {
			e.policy.SetSlack(m.now, modelFraction*modelSlack/float64(len(m.entries)))
		}
	}
}

// run plays phases of random length in which requests arrive at a rate and fail with a
// probability.
func (m *boundModel) run(t *testing.T, disturb func()) {
	for end := epoch.Add(modelTime); m.now.Before(end); {
		rate := []float64{0, 2, 30, 150, 600}[m.rng.IntN(5)] // a second, over all entries
		failing := []float64{0, 0, 0.1, 0.7, 1}[m.rng.IntN(5)]
		for phaseEnd := m.now.Add(time.Duration(m.rng.Int64N(int64(2 * modelWindow)))); m.now.Before(phaseEnd); m.now = m.now.Add(modelStep) {
			disturb()
			m.step(rate, failing)
		}
	}
}

// step lets the requests of one step arrive, and retries those that fail as long as the
// policy allows.
func (m *boundModel) step(rate, failing float64) {
	total := 0.0
	for _, e := range m.entries {
		total += e.weight
	}
	for _, e := range m.entries {
		mean := rate * modelStep.Seconds() * e.weight / total
		for n := mean; n > m.rng.Float64(); n-- {
			e.held++
			m.firsts = append(m.firsts, m.now)
		}
		if m.now.Before(e.pausedUntil) {
			continue
		}
		e.serveAll(m, failing)
	}
}

// serveAll serves the requests that have arrived. After a pause the first Observe may come before
// or after them.
func (e *modelEntry) serveAll(m *boundModel, failing float64) {
	due := m.now.Sub(e.observedAt) >= ObserveInterval
	first := m.rng.IntN(2) == 0
	if due && first {
		e.observe(m.now)
	}
	for ; e.held > 0; e.held-- {
		m.serve(e, failing)
	}
	if due && !first {
		e.observe(m.now)
	}
}

func (e *modelEntry) observe(now time.Time) {
	e.policy.Observe(now)
	e.observedAt = now
}

func (m *boundModel) serve(e *modelEntry, failing float64) {
	e.policy.RecordFirstAttempt(m.now, chat)
	for attempts := 1; m.rng.Float64() < failing; attempts++ {
		if !e.policy.Failed(m.now, Failure{Call: chat, Attempts: attempts, NotRun: true}, 0).Go || !e.policy.Repeat(m.now, chat).Go {
			return
		}
		m.repeats = append(m.repeats, m.now)
	}
}

// requireWithinBound checks every window: the repeats in it are at most the slack and the
// ratio of the requests in it, in the window before it or in the one half a window before it.
func (m *boundModel) requireWithinBound(t *testing.T, seed uint64) {
	count := func(times []time.Time, from, to time.Time) float64 {
		a, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		b, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
		return float64(b - a)
	}
	for start := epoch.Add(-modelWindow); start.Before(m.now); start = start.Add(modelStep) {
		end := start.Add(modelWindow)
		requests := max(count(m.firsts, start, end), count(m.firsts, start.Add(-modelWindow/2), end.Add(-modelWindow/2)), count(m.firsts, start.Add(-modelWindow), start))
		allowed := modelRatio*requests + modelSlack
		if n := count(m.repeats, start, end); n > allowed {
			t.Fatalf("seed %d, %d entries: %.0f repeats from %s on, %.0f allowed", seed, len(m.entries), n, start.Sub(epoch), allowed)
		}
	}
}

// Guards against repeats beyond the site's budget in any window, summed over the entries, in
// any order of quiet, bursts and failures.
func TestRepeatsStayWithinBoundInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		m := newBoundModel(t, seed, 8)
		m.run(t, func() {})
		m.requireWithinBound(t, seed)
	}
}

// Guards against entries that start anew with a budget of their own: the more often they are
// restarted, the more repeats failing servers would get.
func TestRepeatsStayWithinBoundOverRestarts(t *testing.T) {
	for seed := range uint64(30) {
		m := newBoundModel(t, seed, 60)
		perSecond := 1 + m.rng.Float64()*30
		m.run(t, func() {
			if m.rng.Float64() < perSecond*modelStep.Seconds() {
				m.entries[m.rng.IntN(len(m.entries))].restart(t, m)
			}
		})
		m.requireWithinBound(t, seed)
	}
}

// Guards against shares of the slack that add up to more than the whole while entries join and
// leave.
func TestRepeatsStayWithinBoundWhileEntriesJoinAndLeave(t *testing.T) {
	for seed := range uint64(30) {
		m := newBoundModel(t, seed, 8)
		m.run(t, func() {
			switch {
			case m.rng.Float64() > 0.5*modelStep.Seconds():
			case m.rng.IntN(2) == 0 && len(m.entries) > 1:
				i := m.rng.IntN(len(m.entries))
				m.entries = slices.Delete(m.entries, i, i+1)
				m.setShares()
			default:
				e := &modelEntry{weight: m.rng.Float64()}
				m.entries = append(m.entries, e)
				e.restart(t, m)
			}
		})
		m.requireWithinBound(t, seed)
	}
}

// Guards against repeats beyond the bound after an entry has stood still: the requests that it
// serves then were sent earlier.
func TestRepeatsStayWithinBoundOverPauses(t *testing.T) {
	for seed := range uint64(30) {
		m := newBoundModel(t, seed, 8)
		m.run(t, func() {
			e := m.entries[m.rng.IntN(len(m.entries))]
			if m.rng.Float64() < 0.2*modelStep.Seconds() && !m.now.Before(e.pausedUntil) {
				e.pausedUntil = m.now.Add(time.Duration(m.rng.Int64N(int64(6 * time.Second))))
			}
		})
		m.requireWithinBound(t, seed)
	}
}

// Guards against a budget that is never used up: most of the repeats that the bound allows are
// made while everything fails.
func TestRepeatsThatTheBoundAllowsAreMade(t *testing.T) {
	for _, rate := range []float64{5, 50, 500} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			m := newBoundModel(t, 1, 8)
			for end := m.now.Add(3 * modelWindow); m.now.Before(end); m.now = m.now.Add(modelStep) {
				m.step(rate, 0)
			}
			for end := m.now.Add(modelWindow); m.now.Before(end); m.now = m.now.Add(modelStep) {
				m.step(rate, 1)
			}
			require.Greater(t, float64(len(m.repeats)), 0.7*(modelRatio*rate*modelWindow.Seconds()+modelSlack))
		})
	}
}
