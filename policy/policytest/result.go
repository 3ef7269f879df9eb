package policytest

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Result is what callers got in one run. It counts jobs that arrived after the
// warm-up.
type Result struct {
	Offered, Answered, MetTargets      int
	Refused, Evicted                   int
	Expired, Late, Failed              int
	Retries, Hedges                    int           // over the whole run
	CallerRetries                      int           // arrivals of callers that had been refused before, over the whole run
	FirstTokenP95                      time.Duration // arrival to first token, of answered jobs that have a target
	TokenIntervalP95                   time.Duration // between tokens, of the same
	Goodput                            float64       // work of answers that met their targets, as a part of the capacity
	CostPerThousand                    float64       // server-seconds for 1,000 answers that met their targets
	RecomputedTokens                   int           // tokens
	Jain                               float64       // of the workspaces' work done, each over its max-min fair part
	Interactive, Batch                 ClassResult
	Workspaces                         []WorkspaceResult
	capacitySlotSeconds, serverSeconds float64
}

// ClassResult is what the jobs of one class got.
type ClassResult struct {
	Offered int
	Failed  int
}

func (c *ClassResult) count(j *Job) {
	c.Offered++
	if j.Outcome == Failed {
		c.Failed++
	}
}

// WorkspaceResult is what one workspace's callers got.
type WorkspaceResult struct {
	Workspace     string
	Offered       int
	Answered      int
	MetTargets    int
	FirstTokenP95 time.Duration
	OfferedWork   float64 // work offered, seconds of a slot
	AnsweredWork  float64 // work of answers, seconds of a slot
	FairWork      float64 // its max-min fair part of what can be done

	firstTokenDelays []time.Duration
	weight           int
}

// Workspace returns one workspace's part of the result.
func (r *Result) Workspace(name string) *WorkspaceResult {
	for i := range r.Workspaces {
		if r.Workspaces[i].Workspace == name {
			return &r.Workspaces[i]
		}
	}
	return nil
}

func (m *model) result() *Result {
	r := &Result{Retries: m.retries, Hedges: m.hedges, CallerRetries: m.callerRetries}
	windowSeconds := (m.scenario.Duration - m.scenario.Warmup).Seconds()
	for _, b := range m.servers {
		if b.alive {
			r.serverSeconds += windowSeconds
			r.capacitySlotSeconds += windowSeconds * float64(m.scenario.Fleet.Slots) / b.slowFactor
		}
	}
	var firstTokenDelays, tokenIntervals []time.Duration
	metWork := 0.0
	for _, j := range m.jobs {
		r.RecomputedTokens += j.RecomputedTokens
		// Work is counted by when it ended, so that a queue that grows all
		// along does not count as capacity that was never used.
		if j.MetTargets() && m.inWindow(j.Ended) {
			metWork += m.slotSeconds(j)
		}
		if !m.inWindow(j.Arrived) {
			continue
		}
		r.count(j)
		w := r.workspace(j.Source)
		w.add(j, m.slotSeconds(j))
		if j.Outcome == Answered && j.Source.FirstTokenTarget > 0 {
			firstTokenDelays = append(firstTokenDelays, j.FirstToken.Sub(j.Arrived))
			tokenIntervals = append(tokenIntervals, max(j.TokenInterval, j.LongestPause))
		}
	}
	for i := range m.scenario.Sources {
		r.capByLimits(&m.scenario.Sources[i], windowSeconds)
	}
	r.FirstTokenP95, r.TokenIntervalP95 = percentile(firstTokenDelays, 95), percentile(tokenIntervals, 95)
	r.Goodput = metWork / r.capacitySlotSeconds
	r.CostPerThousand = 1_000 * r.serverSeconds / float64(max(1, r.MetTargets))
	r.computeFairness()
	return r
}

func (m *model) inWindow(t time.Time) bool {
	sinceStart := t.Sub(epoch)
	return sinceStart >= m.scenario.Warmup && sinceStart < m.scenario.Duration
}

func (m *model) slotSeconds(j *Job) float64 {
	return m.scenario.Fleet.slotTime(j.PromptTokens-j.CachedTokens, j.AnswerTokens).Seconds()
}

func (r *Result) count(j *Job) {
	r.Offered++
	switch j.Class() {
	case contract.ClassInteractive:
		r.Interactive.count(j)
	case contract.ClassBatch:
		r.Batch.count(j)
	}
	switch j.Outcome {
	case Answered:
		r.Answered++
	case Refused:
		r.Refused++
	case Evicted:
		r.Evicted++
	case Expired:
		r.Expired++
	case Late:
		r.Late++
	case Failed:
		r.Failed++
	}
	if j.MetTargets() {
		r.MetTargets++
	}
}

func (r *Result) workspace(src *Source) *WorkspaceResult {
	if w := r.Workspace(src.Workspace); w != nil {
		return w
	}
	r.Workspaces = append(r.Workspaces, WorkspaceResult{Workspace: src.Workspace, weight: max(1, src.Weight)})
	return &r.Workspaces[len(r.Workspaces)-1]
}

func (w *WorkspaceResult) add(j *Job, seconds float64) {
	w.Offered++
	w.OfferedWork += seconds
	if j.MetTargets() {
		w.MetTargets++
	}
	if j.Outcome != Answered {
		return
	}
	w.Answered++
	w.AnsweredWork += seconds
	w.firstTokenDelays = append(w.firstTokenDelays, j.FirstToken.Sub(j.Arrived))
}

// limit caps what a workspace asks for at what its limits allow.
func (r *Result) capByLimits(src *Source, windowSeconds float64) {
	w := r.Workspace(src.Workspace)
	allowed := src.Limits.RequestsPerSecond * windowSeconds
	if w == nil || allowed == 0 || float64(w.Offered) <= allowed {
		return
	}
	w.OfferedWork *= allowed / float64(w.Offered)
}

// fairness computes each workspace's max-min fair part of the work that was
// done or could have been, and Jain's index (Jain, Chiu and Hawe, 1984) of work
// done over that part.
func (r *Result) computeFairness() {
	slices.SortFunc(r.Workspaces, func(a, b WorkspaceResult) int { return cmp.Compare(a.Workspace, b.Workspace) })
	offeredWork := 0.0
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		w.FirstTokenP95 = percentile(w.firstTokenDelays, 95)
		offeredWork += w.OfferedWork
	}
	r.computeFairWork(min(offeredWork, r.capacitySlotSeconds))
	sum, squares := 0.0, 0.0
	for _, w := range r.Workspaces {
		ratio := w.AnsweredWork / w.FairWork
		sum += ratio
		squares += ratio * ratio
	}
	r.Jain = sum * sum / (float64(len(r.Workspaces)) * squares)
}

// share fills up the workspaces by weight until capacity or demand runs out.
func (r *Result) computeFairWork(remaining float64) {
	byDemand := make([]*WorkspaceResult, 0, len(r.Workspaces))
	for i := range r.Workspaces {
		byDemand = append(byDemand, &r.Workspaces[i])
	}
	perWeight := func(w *WorkspaceResult) float64 { return w.OfferedWork / float64(w.weight) }
	slices.SortFunc(byDemand, func(a, b *WorkspaceResult) int { return cmp.Compare(perWeight(a), perWeight(b)) })
	weights := 0
	for _, w := range byDemand {
		weights += w.weight
	}
	for _, w := range byDemand {
		w.FairWork = min(w.OfferedWork, remaining*float64(w.weight)/float64(weights))
		remaining -= w.FairWork
		weights -= w.weight
	}
}

// percentile returns the p-th percentile by nearest rank; it sorts values.
func percentile(values []time.Duration, p int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := (len(values)*p + 99) / 100
	return values[max(0, rank-1)]
}
