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
	tablePage       = "../../docs/DECISIONS.md"
	tableBegin      = "<!-- table: go test ./policy/policytest -run TestDecisionsTable -update -->\n"
	tableEnd        = "<!-- end of table -->\n"
	tableSeed       = 1
	maxParallelRuns = 4 // runs side by side
)

// setsOf are the rows of a pattern's part of the table.
func policySetsFor(s *Scenario) []*PolicySet {
	sets := []*PolicySet{FirstComeLeastLoad(), FirstComeRoundRobin(), FairQueueOnly(), NoPrefixAffinity(s)}
	for i := range s.Sources {
		if s.Sources[i].Limits.RequestsPerSecond > 0 {
			sets = append(sets, EqualLimitShares(s))
		}
	}
	for _, f := range s.Faults {
		switch f.Kind {
		case SlowServer:
			sets = append(sets, NoHedging(s))
		case FailingServer:
			sets = append(sets, NoRetries(s))
		}
	}
	return append(sets, AllDecisions(s))
}

// row is one line of the table, run on its own.
type tableRow struct {
	scenario *Scenario
	set      *PolicySet
	result   *Result
}

func tableRows() []*tableRow {
	var rows []*tableRow
	for _, s := range TableScenarios() {
		for _, set := range policySetsFor(s) {
			rows = append(rows, &tableRow{scenario: s, set: set})
		}
	}
	return rows
}

// run plays each row; a run depends on nothing but its own row.
func runRows(rows []*tableRow) {
	runParallel(len(rows), func(i int) { rows[i].result = Run(rows[i].scenario, rows[i].set, tableSeed) })
}

// sideBySide calls play for 0 to n-1, a few at once.
func runParallel(n int, fn func(int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			fn(i)
			<-slots
		})
	}
	wg.Wait()
}

// runSeeds plays a scenario with each of seeds.
func runSeeds(s func() *Scenario, set func(*Scenario) *PolicySet) []*Result {
	results := make([]*Result, len(seeds))
	runParallel(len(seeds), func(i int) {
		scenario := s()
		results[i] = Run(scenario, set(scenario), seeds[i])
	})
	return results
}

func formatTable(rows []*tableRow) string {
	var b strings.Builder
	b.WriteString("| pattern | decisions | p95 first token, s | same, workspace `quiet`, s | p95 between tokens, ms | goodput / capacity | server-seconds per 1,000 answers in target | tokens recomputed | Jain | offered | refused | in target |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		result := r.result
		cost := "none in target"
		if result.MetTargets > 0 {
			cost = fmt.Sprintf("%.0f", result.CostPerThousand)
		}
		fmt.Fprintf(&b, "| %s | %s | %.2f | %.2f | %d | %.3f | %s | %d | %.3f | %d | %d | %d |\n",
			r.scenario.Name, r.set.Name, result.FirstTokenP95.Seconds(), result.Workspace("quiet").FirstTokenP95.Seconds(),
			result.TokenIntervalP95.Milliseconds(), result.Goodput, cost, result.RecomputedTokens, result.Jain, result.Offered, result.Refused+result.Evicted, result.MetTargets)
	}
	return b.String()
}

// The page's table is what a run gives. With -update the run is written to it.
func TestDecisionsTable(t *testing.T) {
	rows := tableRows()
	runRows(rows)
	got := formatTable(rows)
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
	s := SurgeOfOneWorkspace()
	assert.Equal(t, Run(s, AllDecisions(s), 7), Run(s, AllDecisions(s), 7))
}

var seeds = []uint64{1, 2, 3, 4, 5}

// firsts returns the p95 first token of a workspace over all seeds, and of each.
func firstTokenP95(workspace string, s func() *Scenario, set func(*Scenario) *PolicySet) (overall time.Duration, bySeed []time.Duration) {
	var pooled []time.Duration
	for _, r := range runSeeds(s, set) {
		w := r.Workspace(workspace)
		pooled = append(pooled, w.firstTokenDelays...)
		bySeed = append(bySeed, w.FirstTokenP95)
	}
	return percentile(pooled, 95), bySeed
}

// A surge of twenty times falls on one workspace. A quiet one must not notice.
func TestSurgeDoesNotDelayQuietWorkspace(t *testing.T) {
	before, beforeBySeed := firstTokenP95("quiet", Steady, AllDecisions)
	during, duringBySeed := firstTokenP95("quiet", SurgeOfOneWorkspace, AllDecisions)
	ratio := during.Seconds() / before.Seconds()
	t.Logf("quiet p95 %v, under the surge %v, ratio %.3f; by seed %v and %v", before, during, ratio, beforeBySeed, duringBySeed)
	assert.LessOrEqual(t, ratio, 1.2)
	baseline, _ := firstTokenP95("quiet", SurgeOfOneWorkspace, func(*Scenario) *PolicySet { return FirstComeLeastLoad() })
	assert.Greater(t, baseline, 10*time.Second)
}

// A surge takes what others leave: their requests are let in, and it still gets
// the rest.
func TestSurgeLeavesFairShares(t *testing.T) {
	s := SurgeOfOneWorkspace()
	r := Run(s, AllDecisions(s), 1)
	for _, w := range r.Workspaces {
		t.Logf("%s: in target %d of %d, work %.0f of a fair %.0f", w.Workspace, w.MetTargets, w.Offered, w.AnsweredWork, w.FairWork)
		assert.Greater(t, w.AnsweredWork, 0.85*w.FairWork)
	}
	quiet := r.Workspace("quiet")
	assert.GreaterOrEqual(t, float64(quiet.MetTargets), 0.98*float64(quiet.Offered))
	assert.Greater(t, r.Jain, 0.99)
}

// Callers ask for five times what the fleet can do. It must go on doing what it
// can, in time, and refuse the rest at once.
func TestGoodputAtSaturation(t *testing.T) {
	for _, load := range []float64{2, 5} {
		sum := 0.0
		for i, r := range runSeeds(func() *Scenario { return Saturation("saturation", load) }, AllDecisions) {
			t.Logf("load %.0f, seed %d: goodput %.3f, p95 first token %v, Jain %.3f", load, seeds[i], r.Goodput, r.FirstTokenP95, r.Jain)
			sum += r.Goodput
			assert.Less(t, r.FirstTokenP95, firstTokenTarget)
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
	allowed := s.Sources[0].Limits.RequestsPerSecond * (s.Duration - s.Warmup).Seconds()
	leased := float64(Run(s, AllDecisions(s), 1).Workspace("large-a").Answered)
	equal := float64(Run(s, EqualLimitShares(s), 1).Workspace("large-a").Answered)
	t.Logf("of %.0f allowed: leased shares %.0f, equal parts %.0f", allowed, leased, equal)
	assert.Greater(t, leased, 0.85*allowed)
	assert.LessOrEqual(t, leased, allowed+float64(s.Entries))
	assert.Less(t, equal, 0.35*allowed)
}

// A burst of a second is no load above capacity: it is answered, if late, and
// next to nothing of it is refused.
func TestShortBurstIsNotRefused(t *testing.T) {
	s := Burst()
	r := Run(s, AllDecisions(s), 1)
	t.Logf("refused %d of %d, p95 first token %v", r.Refused, r.Offered, r.FirstTokenP95)
	assert.LessOrEqual(t, float64(r.Refused), 0.02*float64(r.Offered))
}

// Answers of 2,500 tokens would fill every slot. Short answers must still come
// in time, and the long ones must get what the others leave.
func TestLongAnswersDoNotDelayShortOnes(t *testing.T) {
	s := LongAnswersAmongShort()
	r, baseline := Run(s, AllDecisions(s), 1), Run(s, FirstComeLeastLoad(), 1)
	t.Logf("p95 first token %v (first come %v), goodput %.3f", r.FirstTokenP95, baseline.FirstTokenP95, r.Goodput)
	assert.Less(t, r.FirstTokenP95, firstTokenTarget)
	assert.Greater(t, baseline.FirstTokenP95, 10*time.Second)
	longAnswers := r.Workspace("large-b")
	assert.Greater(t, longAnswers.AnsweredWork, 0.9*longAnswers.FairWork)
}

// A third of the servers is reclaimed in one wave. Every request that ran there
// is answered elsewhere.
func TestReclaimFailsNoRequest(t *testing.T) {
	s := ZoneReclaimed()
	r := Run(s, AllDecisions(s), 1)
	t.Logf("answered %d of %d, failed %d, late %d, recomputed %d", r.Answered, r.Offered, r.Failed, r.Late, r.RecomputedTokens)
	assert.Zero(t, r.Failed)
	assert.Zero(t, r.Evicted)
}

// Two servers fail whatever they are sent, and by failing fast look idle. What
// they fail is tried again elsewhere, within a tenth of the load.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := TwoFailingServers()
	r, none := Run(s, AllDecisions(s), 1), Run(s, NoRetries(s), 1)
	t.Logf("failed %d with %d retries and %d hedges, %d without", r.Failed, r.Retries, r.Hedges, none.Failed)
	assert.Less(t, r.Failed, none.Failed/2)
	assert.LessOrEqual(t, float64(r.Retries+r.Hedges), 0.1*float64(len(s.arrivals(1))))
}

// A third of the servers fails and the budget runs dry. What batch work leaves of
// it goes to those somebody waits for.
func TestBatchRetriesLeaveBudgetToInteractive(t *testing.T) {
	failedJobs := func(set func(*Scenario) *PolicySet) (interactive, batch, offered int) {
		for _, r := range runSeeds(FourFailingServers, set) {
			interactive += r.Interactive.Failed
			batch += r.Batch.Failed
			offered += r.Interactive.Offered
		}
		return interactive, batch, offered
	}
	interactive, batch, offered := failedJobs(AllDecisions)
	withoutClass, withoutClassBatch, _ := failedJobs(OneRetryClass)
	t.Logf("of %d interactive failed %d, without regard to class %d; batch %d and %d", offered, interactive, withoutClass, batch, withoutClassBatch)
	assert.Less(t, float64(interactive), 0.8*float64(withoutClass))
}

// Callers ask for three times the capacity for ten seconds, and those refused come
// back when they were told to. Told all the same second, they would be refused
// again and again.
func TestRetryAfterMatchesFreeCapacity(t *testing.T) {
	runWithRetryAfter := func(retryAfter time.Duration) *Result {
		s := Overload()
		set := AllDecisions(s)
		set.CallersRetry, set.FixedRetryAfter = true, retryAfter
		r := Run(s, set, 1)
		t.Logf("told %v (0: what was learnt): came back %d times, answered %d of %d, p95 from first asking to first token %v",
			retryAfter, r.CallerRetries, r.Answered, r.Offered, r.FirstTokenP95)
		return r
	}
	estimated, oneSecond, fiveSeconds := runWithRetryAfter(0), runWithRetryAfter(time.Second), runWithRetryAfter(5*time.Second)
	assert.Less(t, estimated.CallerRetries, oneSecond.CallerRetries/5)
	assert.Less(t, estimated.CallerRetries, fiveSeconds.CallerRetries)
	assert.Less(t, estimated.FirstTokenP95.Seconds(), 1.2*oneSecond.FirstTokenP95.Seconds())
	assert.GreaterOrEqual(t, float64(estimated.Answered), 0.99*float64(estimated.Offered))
}

// One server answers five times slower than the others.
func TestSlowServerDoesNotMissTargets(t *testing.T) {
	s := OneSlowServer()
	r, baseline := Run(s, AllDecisions(s), 1), Run(s, FirstComeLeastLoad(), 1)
	t.Logf("in target %d of %d (first come %d)", r.MetTargets, r.Offered, baseline.MetTargets)
	assert.Greater(t, float64(r.MetTargets), 0.98*float64(r.Offered))
	assert.Less(t, baseline.MetTargets, r.MetTargets)
}
