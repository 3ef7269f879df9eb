package policytest

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the table into docs/DECISIONS.md")

const (
	tablePage  = "../../docs/DECISIONS.md"
	tableBegin = "<!-- table: go test ./policy/policytest -run TestDecisionsTable -update -->\n"
	tableEnd   = "<!-- end of table -->\n"
	tableSeed  = 1
	atOnce     = 4 // runs side by side
)

// setsOf are the rows of a pattern's part of the table.
func setsOf(s *Scenario) []*Set {
	sets := []*Set{Arrival(), ArrivalRoundRobin(), FairOnly(), NoAffinity(s)}
	for i := range s.Sources {
		if s.Sources[i].Limits.RequestsPerSecond > 0 {
			sets = append(sets, EqualLimits(s))
		}
	}
	for _, f := range s.Faults {
		switch f.Kind {
		case SlowServer:
			sets = append(sets, NoHedge(s))
		case FailingServer:
			sets = append(sets, NoRetry(s))
		}
	}
	return append(sets, All(s))
}

// row is one line of the table, run on its own.
type row struct {
	scenario *Scenario
	set      *Set
	result   *Result
}

func rows() []*row {
	var all []*row
	for _, s := range Patterns() {
		for _, set := range setsOf(s) {
			all = append(all, &row{scenario: s, set: set})
		}
	}
	return all
}

// run plays each row; a run depends on nothing but its own row.
func run(all []*row) {
	sideBySide(len(all), func(i int) { all[i].result = Run(all[i].scenario, all[i].set, tableSeed) })
}

// sideBySide calls play for 0 to n-1, a few at once.
func sideBySide(n int, play func(int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			play(i)
			<-slots
		})
	}
	wg.Wait()
}

// runSeeds plays a scenario with each of seeds.
func runSeeds(s func() *Scenario, set func(*Scenario) *Set) []*Result {
	results := make([]*Result, len(seeds))
	sideBySide(len(seeds), func(i int) {
		scenario := s()
		results[i] = Run(scenario, set(scenario), seeds[i])
	})
	return results
}

func table(all []*row) string {
	var b strings.Builder
	b.WriteString("| pattern | decisions | p95 first token, s | same, workspace `quiet`, s | p95 between tokens, ms | goodput / capacity | server-seconds per 1,000 answers in target | tokens recomputed | Jain | offered | refused | in target |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range all {
		x := r.result
		cost := "none in target"
		if x.Met > 0 {
			cost = fmt.Sprintf("%.0f", x.Cost)
		}
		fmt.Fprintf(&b, "| %s | %s | %.2f | %.2f | %d | %.3f | %s | %d | %.3f | %d | %d | %d |\n",
			r.scenario.Name, r.set.Name, x.FirstP95.Seconds(), x.Workspace("quiet").FirstP95.Seconds(),
			x.GapP95.Milliseconds(), x.Goodput, cost, x.Recomputed, x.Jain, x.Offered, x.Refused+x.Evicted, x.Met)
	}
	return b.String()
}

// The page's table is what a run gives. With -update the run is written to it.
func TestDecisionsTable(t *testing.T) {
	all := rows()
	run(all)
	got := table(all)
	data, err := os.ReadFile(tablePage)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(data), tableBegin)
	require.True(t, ok, "the page has no table")
	want, after, ok := strings.Cut(rest, tableEnd)
	require.True(t, ok, "the table has no end")
	if *update {
		page := before + tableBegin + got + tableEnd + after
		require.NoError(t, os.WriteFile(tablePage, []byte(page), 0o644))
		return
	}
	assert.Equal(t, want, got, "run it with -update")
}

func TestSameSeedSameResult(t *testing.T) {
	s := SurgeOfOne()
	assert.Equal(t, Run(s, All(s), 7), Run(s, All(s), 7))
}

var seeds = []uint64{1, 2, 3, 4, 5}

// firsts returns the p95 first token of a workspace over all seeds, and of each.
func firsts(workspace string, s func() *Scenario, set func(*Scenario) *Set) (all time.Duration, each []time.Duration) {
	var pooled []time.Duration
	for _, r := range runSeeds(s, set) {
		w := r.Workspace(workspace)
		pooled = append(pooled, w.firsts...)
		each = append(each, w.FirstP95)
	}
	return percentile(pooled, 95), each
}

// A surge of twenty times falls on one workspace. A quiet one must not notice.
func TestQuietWorkspaceUnderAnothersSurge(t *testing.T) {
	before, eachBefore := firsts("quiet", Steady, All)
	during, eachDuring := firsts("quiet", SurgeOfOne, All)
	ratio := during.Seconds() / before.Seconds()
	t.Logf("quiet p95 %v, under the surge %v, ratio %.3f; by seed %v and %v", before, during, ratio, eachBefore, eachDuring)
	assert.LessOrEqual(t, ratio, 1.2)
	baseline, _ := firsts("quiet", SurgeOfOne, func(*Scenario) *Set { return Arrival() })
	assert.Greater(t, baseline, 10*time.Second)
}

// A surge takes what others leave: their requests are let in, and it still gets
// the rest.
func TestSharesUnderASurge(t *testing.T) {
	s := SurgeOfOne()
	r := Run(s, All(s), 1)
	for _, w := range r.Workspaces {
		t.Logf("%s: in target %d of %d, work %.0f of a fair %.0f", w.Workspace, w.Met, w.Offered, w.Done, w.Fair)
		assert.Greater(t, w.Done, 0.85*w.Fair)
	}
	quiet := r.Workspace("quiet")
	assert.GreaterOrEqual(t, float64(quiet.Met), 0.98*float64(quiet.Offered))
	assert.Greater(t, r.Jain, 0.99)
}

// Callers ask for five times what the fleet can do. It must go on doing what it
// can, in time, and refuse the rest at once.
func TestGoodputAtSaturation(t *testing.T) {
	for _, load := range []float64{2, 5} {
		sum := 0.0
		for i, r := range runSeeds(func() *Scenario { return Saturation("saturation", load) }, All) {
			t.Logf("load %.0f, seed %d: goodput %.3f, p95 first token %v, Jain %.3f", load, seeds[i], r.Goodput, r.FirstP95, r.Jain)
			sum += r.Goodput
			assert.Less(t, r.FirstP95, firstTarget)
			assert.Greater(t, r.Jain, 0.99)
		}
		t.Logf("load %.0f: goodput %.3f on average", load, sum/float64(len(seeds)))
		assert.GreaterOrEqual(t, sum/float64(len(seeds)), 0.95)
	}
}

// One workspace's two callers each keep to one of seven entries. They must get
// their limit, not two sevenths of it, and no more than it.
func TestFewCallersGetTheirLimit(t *testing.T) {
	s := FewCallers()
	allowed := s.Sources[0].Limits.RequestsPerSecond * (s.Length - s.Warmup).Seconds()
	leased := float64(Run(s, All(s), 1).Workspace("large-a").Answered)
	equal := float64(Run(s, EqualLimits(s), 1).Workspace("large-a").Answered)
	t.Logf("of %.0f allowed: leased shares %.0f, equal parts %.0f", allowed, leased, equal)
	assert.Greater(t, leased, 0.85*allowed)
	assert.LessOrEqual(t, leased, allowed+float64(s.Entries))
	assert.Less(t, equal, 0.35*allowed)
}

// A burst of a second is no load above capacity: it is answered, if late, and
// next to nothing of it is refused.
func TestBurstIsAnswered(t *testing.T) {
	s := Burst()
	r := Run(s, All(s), 1)
	t.Logf("refused %d of %d, p95 first token %v", r.Refused, r.Offered, r.FirstP95)
	assert.LessOrEqual(t, float64(r.Refused), 0.02*float64(r.Offered))
}

// Answers of 2,500 tokens would fill every slot. Short answers must still come
// in time, and the long ones must get what the others leave.
func TestLongAmongShort(t *testing.T) {
	s := LongAmongShort()
	r, baseline := Run(s, All(s), 1), Run(s, Arrival(), 1)
	t.Logf("p95 first token %v (first come %v), goodput %.3f", r.FirstP95, baseline.FirstP95, r.Goodput)
	assert.Less(t, r.FirstP95, firstTarget)
	assert.Greater(t, baseline.FirstP95, 10*time.Second)
	long := r.Workspace("large-b")
	assert.Greater(t, long.Done, 0.9*long.Fair)
}

// A third of the servers is reclaimed in one wave. Every request that ran there
// is answered elsewhere.
func TestReclaimLosesNothing(t *testing.T) {
	s := ZoneReclaimed()
	r := Run(s, All(s), 1)
	t.Logf("answered %d of %d, failed %d, late %d, recomputed %d", r.Answered, r.Offered, r.Failed, r.Late, r.Recomputed)
	assert.Zero(t, r.Failed)
	assert.Zero(t, r.Evicted)
}

// Two servers fail whatever they are sent, and by failing fast look idle. What
// they fail is tried again elsewhere, within a tenth of the load.
func TestFailingServersAndRetryBudget(t *testing.T) {
	s := TwoFailing()
	r, none := Run(s, All(s), 1), Run(s, NoRetry(s), 1)
	t.Logf("failed %d with %d retries and %d hedges, %d without", r.Failed, r.Retries, r.Hedges, none.Failed)
	assert.Less(t, r.Failed, none.Failed/2)
	assert.LessOrEqual(t, float64(r.Retries+r.Hedges), 0.1*float64(len(s.arrivals(1))))
}

// A third of the servers fails and the budget runs dry. What batch work leaves of
// it goes to those somebody waits for.
func TestBatchLeavesTheBudgetToInteractive(t *testing.T) {
	failed := func(set func(*Scenario) *Set) (interactive, batch, offered int) {
		for _, r := range runSeeds(FourFailing, set) {
			interactive += r.Interactive.Failed
			batch += r.Batch.Failed
			offered += r.Interactive.Offered
		}
		return interactive, batch, offered
	}
	interactive, batch, offered := failed(All)
	blind, blindBatch, _ := failed(OneClass)
	t.Logf("of %d interactive failed %d, without regard to class %d; batch %d and %d", offered, interactive, blind, batch, blindBatch)
	assert.Less(t, float64(interactive), 0.8*float64(blind))
}

// Callers ask for three times the capacity for ten seconds, and those refused come
// back when they were told to. Told all the same second, they would be refused
// again and again.
func TestCallersComeBackWhenThereIsRoom(t *testing.T) {
	play := func(after time.Duration) *Result {
		s := Overload()
		set := All(s)
		set.ComeBack, set.RetryAfter = true, after
		r := Run(s, set, 1)
		t.Logf("told %v (0: what was learnt): came back %d times, answered %d of %d, p95 from first asking to first token %v",
			after, r.Returns, r.Answered, r.Offered, r.FirstP95)
		return r
	}
	learnt, second, five := play(0), play(time.Second), play(5*time.Second)
	assert.Less(t, learnt.Returns, second.Returns/5)
	assert.Less(t, learnt.Returns, five.Returns)
	assert.Less(t, learnt.FirstP95.Seconds(), 1.2*second.FirstP95.Seconds())
	assert.GreaterOrEqual(t, float64(learnt.Answered), 0.99*float64(learnt.Offered))
}

// One server answers five times slower than the others.
func TestSlowServer(t *testing.T) {
	s := OneSlow()
	r, baseline := Run(s, All(s), 1), Run(s, Arrival(), 1)
	t.Logf("in target %d of %d (first come %d)", r.Met, r.Offered, baseline.Met)
	assert.Greater(t, float64(r.Met), 0.98*float64(r.Offered))
	assert.Less(t, baseline.Met, r.Met)
}
