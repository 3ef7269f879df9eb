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
	maxParallelRuns = 4
)

// policySetsFor returns the policy sets that the table compares for a scenario.
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

// tableRow is one row of the table; result is set by runRows.
type tableRow struct {
	scenario *Scenario
	set      *PolicySet
	result   *Result
}

// tableRows returns the rows of the table, not run yet.
func tableRows() []*tableRow {
	var rows []*tableRow
	for _, s := range TableScenarios() {
		for _, set := range policySetsFor(s) {
			rows = append(rows, &tableRow{scenario: s, set: set})
		}
	}
	return rows
}

// runRows runs the scenario of each row. The runs are independent.
func runRows(rows []*tableRow) {
	runParallel(len(rows), func(i int) { rows[i].result = Run(rows[i].scenario, rows[i].set, tableSeed) })
}

// runParallel calls fn for 0 to n-1, up to maxParallelRuns at a time.
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

// runSeeds runs a scenario once for each of seeds.
func runSeeds(s func() *Scenario, set func(*Scenario) *PolicySet) []*Result {
	results := make([]*Result, len(seeds))
	runParallel(len(seeds), func(i int) {
		scenario := s()
		results[i] = Run(scenario, set(scenario), seeds[i])
	})
	return results
}

// formatTable returns the table in Markdown.
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

// Fails if the table in docs/DECISIONS.md differs from the results of a run. With
// -update, the test writes the results into the page instead.
func TestDecisionsTable(t *testing.T) {
	rows := tableRows()
	runRows(rows)
	got := formatTable(rows)
	data, err := os.ReadFile(tablePage)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(data), tableBegin)
	require.True(t, ok, "the page has no begin marker of the table")
	want, after, ok := strings.Cut(rest, tableEnd)
	require.True(t, ok, "the page has no end marker of the table")
	if *update {
		page := before + tableBegin + got + tableEnd + after
		require.NoError(t, os.WriteFile(tablePage, []byte(page), 0o644))
		return
	}
	assert.Equal(t, want, got, "the table is out of date: run this test with -update")
}

// Guards against a source of randomness other than the seed, such as map order: a
// run wouldn't be reproducible.
func TestSameSeedSameResult(t *testing.T) {
	s := SurgeOfOneWorkspace()
	assert.Equal(t, Run(s, AllDecisions(s), 7), Run(s, AllDecisions(s), 7))
}

var seeds = []uint64{1, 2, 3, 4, 5}

// firstTokenP95 returns the 95th percentile of a workspace's delays to the first
// token, over all seeds together and for each seed.
func firstTokenP95(workspace string, s func() *Scenario, set func(*Scenario) *PolicySet) (overall time.Duration, bySeed []time.Duration) {
	var pooled []time.Duration
	for _, r := range runSeeds(s, set) {
		w := r.Workspace(workspace)
		pooled = append(pooled, w.firstTokenDelays...)
		bySeed = append(bySeed, w.FirstTokenP95)
	}
	return percentile(pooled, 95), bySeed
}

// Guards against a surge of one workspace, 20 times its rate, that delays the first
// tokens of another one with a small steady load. The baseline must show the delay,
// or the scenario would prove nothing.
func TestSurgeDoesNotDelayQuietWorkspace(t *testing.T) {
	before, beforeBySeed := firstTokenP95("quiet", Steady, AllDecisions)
	during, duringBySeed := firstTokenP95("quiet", SurgeOfOneWorkspace, AllDecisions)
	ratio := during.Seconds() / before.Seconds()
	t.Logf("quiet: p95 first token %v, under the surge %v, ratio %.3f; by seed %v and %v", before, during, ratio, beforeBySeed, duringBySeed)
	assert.LessOrEqual(t, ratio, 1.2)
	baseline, _ := firstTokenP95("quiet", SurgeOfOneWorkspace, func(*Scenario) *PolicySet { return FirstComeLeastLoad() })
	assert.Greater(t, baseline, 10*time.Second)
}

// Guards against a surge of one workspace that gets the requests of others refused,
// or that gets less than the capacity they leave unused.
func TestSurgeLeavesFairShares(t *testing.T) {
	s := SurgeOfOneWorkspace()
	r := Run(s, AllDecisions(s), 1)
	for _, w := range r.Workspaces {
		t.Logf("%s: %d of %d met targets, work answered %.0f, fair share %.0f slot-seconds", w.Workspace, w.MetTargets, w.Offered, w.AnsweredWork, w.FairWork)
		assert.Greater(t, w.AnsweredWork, 0.85*w.FairWork)
	}
	quiet := r.Workspace("quiet")
	assert.GreaterOrEqual(t, float64(quiet.MetTargets), 0.98*float64(quiet.Offered))
	assert.Greater(t, r.Jain, 0.99)
}

// Guards against a collapse of goodput under overload: at two and five times the
// capacity, admitted requests must still meet their targets.
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

// Guards against a rate limit split equally among seven entries: a workspace whose
// callers use only two of them would get two sevenths of its limit.
func TestFewCallersGetTheirLimit(t *testing.T) {
	s := FewCallers()
	allowed := s.Sources[0].Limits.RequestsPerSecond * (s.Duration - s.Warmup).Seconds()
	leased := float64(Run(s, AllDecisions(s), 1).Workspace("large-a").Answered)
	equal := float64(Run(s, EqualLimitShares(s), 1).Workspace("large-a").Answered)
	t.Logf("answered of %.0f allowed: with leased shares %.0f, with equal shares %.0f", allowed, leased, equal)
	assert.Greater(t, leased, 0.85*allowed)
	assert.LessOrEqual(t, leased, allowed+float64(s.Entries))
	assert.Less(t, equal, 0.35*allowed)
}

// Guards against refusing a burst of one second that the queue can absorb.
func TestShortBurstIsNotRefused(t *testing.T) {
	s := Burst()
	r := Run(s, AllDecisions(s), 1)
	t.Logf("refused %d of %d, p95 first token %v", r.Refused, r.Offered, r.FirstTokenP95)
	assert.LessOrEqual(t, float64(r.Refused), 0.02*float64(r.Offered))
}

// Guards against long answers that take every slot, so that short ones wait for
// seconds as with the baseline, and against starving the long ones of the slots
// that remain.
func TestLongAnswersDoNotDelayShortOnes(t *testing.T) {
	s := LongAnswersAmongShort()
	r, baseline := Run(s, AllDecisions(s), 1), Run(s, FirstComeLeastLoad(), 1)
	t.Logf("p95 first token %v (first come, first served: %v), goodput %.3f", r.FirstTokenP95, baseline.FirstTokenP95, r.Goodput)
	assert.Less(t, r.FirstTokenP95, firstTokenTarget)
	assert.Greater(t, baseline.FirstTokenP95, 10*time.Second)
	longAnswers := r.Workspace("large-b")
	assert.Greater(t, longAnswers.AnsweredWork, 0.9*longAnswers.FairWork)
}

// Guards against requests that fail because their server was reclaimed, when a
// third of the servers is reclaimed at once.
func TestReclaimFailsNoRequest(t *testing.T) {
	s := ZoneReclaimed()
	r := Run(s, AllDecisions(s), 1)
	t.Logf("answered %d of %d, failed %d, late %d, recomputed %d", r.Answered, r.Offered, r.Failed, r.Late, r.RecomputedTokens)
	assert.Zero(t, r.Failed)
	assert.Zero(t, r.Evicted)
}

// Guards against routing more requests to failing servers, which look idle because
// they fail fast, and against retries of more than a tenth of the load.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := TwoFailingServers()
	r, none := Run(s, AllDecisions(s), 1), Run(s, NoRetries(s), 1)
	t.Logf("failed %d with %d retries and %d hedges, %d without retries", r.Failed, r.Retries, r.Hedges, none.Failed)
	assert.Less(t, r.Failed, none.Failed/2)
	assert.LessOrEqual(t, float64(r.Retries+r.Hedges), 0.1*float64(len(s.arrivals(1))))
}

// Guards against batch jobs that use up the retry budget, with a third of the
// servers failing, so that interactive requests fail for want of a retry.
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
	t.Logf("of %d interactive jobs failed %d, with one retry class %d; batch jobs failed %d and %d", offered, interactive, withoutClass, batch, withoutClassBatch)
	assert.Less(t, float64(interactive), 0.8*float64(withoutClass))
}

// Guards against a retry-after delay that ignores the backlog: after an overload of
// ten seconds, callers would retry too early and be refused repeatedly.
func TestRetryAfterMatchesFreeCapacity(t *testing.T) {
	runWithRetryAfter := func(retryAfter time.Duration) *Result {
		s := Overload()
		set := AllDecisions(s)
		set.CallersRetry, set.FixedRetryAfter = true, retryAfter
		r := Run(s, set, 1)
		t.Logf("retry-after %v (0: estimated): %d caller retries, answered %d of %d, p95 from first request to first token %v",
			retryAfter, r.CallerRetries, r.Answered, r.Offered, r.FirstTokenP95)
		return r
	}
	estimated, oneSecond, fiveSeconds := runWithRetryAfter(0), runWithRetryAfter(time.Second), runWithRetryAfter(5*time.Second)
	assert.Less(t, estimated.CallerRetries, oneSecond.CallerRetries/5)
	assert.Less(t, estimated.CallerRetries, fiveSeconds.CallerRetries)
	assert.Less(t, estimated.FirstTokenP95.Seconds(), 1.2*oneSecond.FirstTokenP95.Seconds())
	assert.GreaterOrEqual(t, float64(estimated.Answered), 0.99*float64(estimated.Offered))
}

// Guards against routing to a server that is five times slower than the others, so
// that its requests miss their targets.
func TestSlowServerDoesNotMissTargets(t *testing.T) {
	s := OneSlowServer()
	r, baseline := Run(s, AllDecisions(s), 1), Run(s, FirstComeLeastLoad(), 1)
	t.Logf("%d of %d met targets (first come, first served: %d)", r.MetTargets, r.Offered, baseline.MetTargets)
	assert.Greater(t, float64(r.MetTargets), 0.98*float64(r.Offered))
	assert.Less(t, baseline.MetTargets, r.MetTargets)
}
