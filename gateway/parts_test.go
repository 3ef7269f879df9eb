package gateway

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
	"savoryreel.example/savoryreel/wallclock"
)

// A workspace is at its limit while entries are restarted in turn. The owner of its limit
// goes, and the next one has started a few seconds ago and heard of no use. With the full
// bucket that it takes for granted the workspace would pass its limit.
func TestNewOwnerBeginsWithLittle(t *testing.T) {
	const perSecond = 100.0
	s := newLimited(8, perSecond)
	allowed := s.bounds.QuotaOverrun*(perSecond*s.bounds.QuotaWindow.Seconds()+perSecond) + s.bounds.QuotaSlack
	var let float64
	window := s.bounds.QuotaWindow
	for step := range int(window / limitedStep) {
		s.now = s.now.Add(limitedStep)
		kept := booking.NewLimits()
		if step%20 != 0 {
			continue // the owner stays for two seconds; what it lets in is counted at once
		}
		fresh := newLimiter(s.bounds)
		fresh.setEntries(8)
		fresh.setWorkspaces([]routes.Workspace{s.w}, s.now.Add(-10*time.Second))
		b := fresh.owned(kept, "w", s.now)
		for ok := true; ok; {
			if ok, _ = b.Take(1, false); ok {
				let++
			}
		}
	}
	require.LessOrEqual(t, let, (1-ownedPart)*allowed, "beside what the first owner let in")
	require.Positive(t, let)
}

// A workspace sends a few large requests a second, at six tenths of its limit, which reach
// hundreds of entries one by one, while no entry that decides for all answers. Each entry
// would take its own last request for what all others let in, and refuse the next.
func TestLimiterOfManyEntries(t *testing.T) {
	const entries, perSecond, cost = 190, 30_000.0, 6000.0
	s := newLimited(entries, perSecond)
	rng := rand.New(rand.NewPCG(3, 4))
	let, refused := 0.0, 0
	for range 600 {
		s.now = s.now.Add(limitedStep)
		at := rng.IntN(entries)
		for i, l := range s.entries {
			l.noteOthers("replica", 1, []api.Use{{Workspace: "w", Amount: let}}, s.now)
			if i != at || rng.Float64() > 0.6*perSecond/cost*limitedStep.Seconds() {
				continue
			}
			for range 2 { // a session's turns reach the same entry
				if ok, _ := l.take("w", cost/2, false, s.now); ok {
					let += cost / 2
				} else {
					refused++
				}
			}
		}
	}
	require.LessOrEqual(t, refused, 4, "of some 360")
}

// A stream arrives in pieces cut anywhere. Whole events come out, all of them, in
// order, and the last id is that of the last whole event.
func TestEventsAreCutWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "events")
		text := eventsText(n) + rapid.SampledFrom([]string{"", "id: 99\nda"}).Draw(t, "rest")
		var cut events
		var out strings.Builder
		last := ""
		for rest := text; rest != ""; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			whole, id := cut.take([]byte(rest[:size]))
			out.Write(whole)
			if id != "" {
				last = id
			}
			rest = rest[size:]
		}
		require.Equal(t, eventsText(n), out.String())
		require.Equal(t, string(rune('0'+n)), last)
		require.Equal(t, text == eventsText(n), cut.ended())
	})
}

// limited is entries with one limited workspace, which tell each other of its use
// through a control replica, late.
type limited struct {
	w       routes.Workspace
	bounds  site.Bounds
	now     time.Time
	entries []*limiter
	told    [][]float64 // what each entry had let in, newest last
	let     []float64   // in each step
	highest float64     // window, as a part of what is allowed
}

// Reports reach the others after limitedLag steps of limitedStep.
const (
	limitedStep = 100 * time.Millisecond
	limitedLag  = 5
)

func newLimited(entries int, perSecond float64) *limited {
	s := &limited{
		w:      routes.Workspace{Name: "w", PerSecond: perSecond, Burst: perSecond, Unit: routes.Requests},
		bounds: site.Bounds{QuotaWindow: 8 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 0.7 * perSecond},
		now:    time.Unix(0, 0), told: make([][]float64, entries),
	}
	for range entries {
		l := newLimiter(s.bounds)
		l.setEntries(entries)
		l.setWorkspaces([]routes.Workspace{s.w}, s.now)
		s.entries = append(s.entries, l)
	}
	return s
}

// play sends perSecond requests for so long, spread over the entries by weight, and
// returns how many were let in. cutOff entries neither tell nor hear.
func (s *limited) play(perSecond float64, seconds float64, weight func(entry int) float64, cutOff bool) (let float64) {
	total := 0.0
	for i := range s.entries {
		total += weight(i)
	}
	for range int(seconds / limitedStep.Seconds()) {
		s.now = s.now.Add(limitedStep)
		step := 0.0
		for i, l := range s.entries {
			for range int(perSecond * limitedStep.Seconds() * weight(i) / total) {
				if ok, _ := l.take("w", 1, false, s.now); ok {
					step++
				}
			}
		}
		s.exchange(cutOff)
		s.let = append(s.let, step)
		let += step
	}
	return let
}

func (s *limited) exchange(cutOff bool) {
	all := 0.0
	lagged := make([]float64, len(s.entries))
	for i, l := range s.entries {
		n := 0.0
		for _, u := range l.used() {
			n = u.Amount
		}
		s.told[i] = append(s.told[i], n)
		if at := len(s.told[i]) - 1 - limitedLag; at >= 0 {
			lagged[i] = s.told[i][at]
		}
		all += lagged[i]
	}
	for i, l := range s.entries {
		if !cutOff {
			l.noteOthers("c1", 1, []api.Use{{Workspace: "w", Amount: all - lagged[i]}}, s.now)
		}
	}
}

// requireWithin checks each window of the site.
func (s *limited) requireWithin(t *testing.T) {
	t.Helper()
	most := (s.w.PerSecond*s.bounds.QuotaWindow.Seconds()+s.w.Burst)*(1+s.bounds.QuotaOverrun) + s.bounds.QuotaSlack
	window := int(s.bounds.QuotaWindow / limitedStep)
	for from := 0; from+window <= len(s.let); from++ {
		sum := 0.0
		for _, n := range s.let[from : from+window] {
			sum += n
		}
		require.LessOrEqual(t, sum, most, "window from step %d", from)
		s.highest = max(s.highest, sum/most)
	}
	t.Logf("highest window: %.3f of what is allowed", s.highest)
}

func evenly(int) float64 { return 1 }

// A workspace sends four times its limit at all entries, after it was quiet. Over
// any window the entries let in no more than the limit and what the site's users
// allow beyond it, though they hear of each other 500 ms late.
//
// It breaks without bucket.unheard.
func TestLimiterUnderASurge(t *testing.T) {
	s := newLimited(6, 600)
	s.play(300, 10, evenly, false)
	let := s.play(2400, 20, evenly, false)
	s.requireWithin(t)
	require.Greater(t, let, 0.9*20*s.w.PerSecond, "what the workspace is owed is let in")
}

// All callers of a workspace use one of six entries. They are within their limit
// and are not refused.
//
// It breaks with a fixed part of the limit for each entry.
func TestLimiterWithUnevenCallers(t *testing.T) {
	s := newLimited(6, 600)
	s.play(60, 5, evenly, false)
	let := s.play(480, 10, func(i int) float64 {
		if i == 0 {
			return 1
		}
		return 0
	}, false)
	require.InDelta(t, 4800, let, 50)
}

// A workspace far below its limit sends one long prompt, and then a short question to
// the same entry. The question is not refused: nothing says that other entries have got
// long prompts as well.
//
// It breaks if a single request counts for a jump of the load at all entries.
func TestLimiterAfterOneLargeRequest(t *testing.T) {
	l := newLimiter(site.Bounds{})
	l.setEntries(8)
	now := time.Unix(0, 0)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 100_000, Burst: 100_000}}, now)
	for range 10 { // a quiet second, in which the bucket fills
		now = now.Add(400 * time.Millisecond)
		l.noteOthers("c1", 1, []api.Use{{Workspace: "w", Amount: 0}}, now)
	}
	ok, _ := l.take("w", 50_000, false, now)
	require.True(t, ok)
	ok, _ = l.take("w", 200, false, now.Add(10*time.Millisecond))
	require.True(t, ok)
}

// A workspace has used up its limit. A caller that was refused a second ago is back, and
// late already; a fresh one comes with it. The room that there is goes to the fresh one,
// and the other one is let in once there is more.
//
// It breaks if both are let in alike.
func TestLateRequestsLeaveRoom(t *testing.T) {
	l := newLimiter(site.Bounds{})
	now := time.Unix(0, 0)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 100, Burst: 100}}, now)
	ok, _ := l.take("w", 90, false, now)
	require.True(t, ok)
	ok, wait := l.take("w", 10, true, now)
	require.False(t, ok)
	require.Equal(t, 250*time.Millisecond, wait)
	ok, _ = l.take("w", 10, false, now)
	require.True(t, ok)
	ok, _ = l.take("w", 10, true, now.Add(time.Second))
	require.True(t, ok)
	ok, _ = l.take("w", 1000, true, now.Add(5*time.Second))
	require.True(t, ok, "also one that is larger than the limit")
}

// The entries hear nothing of each other. Each holds itself to its part.
func TestLimiterCutOff(t *testing.T) {
	s := newLimited(6, 600)
	s.play(300, 5, evenly, false)
	s.play(2400, 20, evenly, true)
	s.requireWithin(t)
}

// A control replica starts anew and counts from nothing; another one lags. Neither
// makes an entry forget or double what the others have let in.
func TestLimiterHearsSeveralReplicas(t *testing.T) {
	l := newLimiter(site.Bounds{})
	now := time.Unix(0, 0)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 1, Burst: 1000}}, now)
	use := func(n float64) []api.Use { return []api.Use{{Workspace: "w", Amount: n}} }
	l.noteOthers("c1", 1, use(500), now)
	require.InDelta(t, 1000, l.buckets["w"].level, 1, "what was before is not known")
	l.noteOthers("c2", 1, use(80), now)
	l.noteOthers("c1", 1, use(600), now)
	l.noteOthers("c2", 1, use(150), now)
	require.InDelta(t, 900, l.buckets["w"].level, 1)
	l.noteOthers("c1", 2, use(10), now)
	l.noteOthers("c1", 2, use(40), now)
	require.InDelta(t, 870, l.buckets["w"].level, 1)
}

// A limit is lowered far below what a workspace sends. What it had saved up under
// the old limit is not let in any more.
func TestLimitIsLowered(t *testing.T) {
	l := newLimiter(site.Bounds{})
	now := time.Unix(0, 0)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 1000, Burst: 1000}}, now)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 10, Burst: 10}}, now)
	let := 0
	for range 1000 {
		if ok, _ := l.take("w", 1, false, now); ok {
			let++
		}
	}
	require.Equal(t, 10, let)
}

// A request larger than the whole bucket still runs once the bucket is full.
func TestLargeRequestRuns(t *testing.T) {
	l := newLimiter(site.Bounds{})
	now := time.Unix(0, 0)
	l.setWorkspaces([]routes.Workspace{{Name: "w", PerSecond: 10, Burst: 10}}, now)
	ok, _ := l.take("w", 50, false, now)
	require.True(t, ok)
	ok, wait := l.take("w", 1, false, now)
	require.False(t, ok)
	require.Greater(t, wait, 4*time.Second)
}

func TestUsageIsCountedByWindow(t *testing.T) {
	steady := time.Duration(0)
	wall := time.Unix(1_700_000_001, 0)
	u := newUsage(wallclock.New(func() time.Time { return wall.Add(steady) }, func() time.Duration { return steady }), 5*time.Second, 6)
	u.began("w")
	u.began("")
	steady = 5 * time.Second
	u.began("w")
	u.began("v")
	report, open := u.report()
	require.Len(t, report, 2)
	require.Equal(t, report[1].Window, open)
	require.Equal(t, int64(1_700_000_001/5), report[0].Window)
	require.Equal(t, map[string]int64{"w": 1}, report[0].Counts)
	require.Equal(t, map[string]int64{"w": 1, "v": 1}, report[1].Counts)
}
