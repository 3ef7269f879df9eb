package policytest

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Result summarises one run. Unless stated otherwise it covers the jobs that
// arrived after the warm-up.
type Result struct {
	Offered, Answered, MetTargets      int
	Refused, Evicted                   int
	Expired, Late, Failed              int
	Retries, Hedges                    int           // over the whole run
	CallerRetries                      int           // of refused callers, over the whole run
	FirstTokenP95                      time.Duration // from arrival, of answered jobs that have a target
	TokenIntervalP95                   time.Duration // including the longest pause, of the same jobs
	Goodput                            float64       // work of answers within the targets and the measured window, as a fraction of the capacity
	CostPerThousand                    float64       // server-seconds per 1,000 answers that met their targets
	RecomputedTokens                   int           // over the whole run
	Jain                               float64       // Jain's index of the workspaces' AnsweredWork / FairWork
	Interactive, Batch                 ClassResult
	Workspaces                         []WorkspaceResult
	capacitySlotSeconds, serverSeconds float64
}

// ClassResult counts the jobs of one class.
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

// WorkspaceResult is one workspace's part of a Result. Work is in slot-seconds.
type WorkspaceResult struct {
	Workspace     string
	Offered       int
	Answered      int
	MetTargets    int
	FirstTokenP95 time.Duration
	OfferedWork   float64 // within the workspace's limits
	AnsweredWork  float64 // of complete answers
	FairWork      float64 // max-min fair share of the capacity, weighted

	firstTokenDelays []time.Duration
	weight           int
}

// Workspace returns the result of the named workspace, or nil.
func (r *Result) Workspace(name string) *WorkspaceResult {
	for i := range r.Workspaces {
		if r.Workspaces[i].Workspace == name {
			return &r.Workspaces[i]
		}
	}
	return nil
}

// result computes the Result after the last event.
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
		// Goodput counts work by when the job ended: otherwise a queue that
		// grows throughout the run would look like unused capacity.
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

// inWindow reports whether t is after the warm-up and before the scenario's end.
func (m *model) inWindow(t time.Time) bool {
	sinceStart := t.Sub(epoch)
	return sinceStart >= m.scenario.Warmup && sinceStart < m.scenario.Duration
}

// slotSeconds returns the time that the job takes a slot of a full server.
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

// workspace returns the entry of a source's workspace, which it adds if missing.
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

// capByLimits scales a workspace's OfferedWork down to what its rate limit
// allows.
func (r *Result) capByLimits(src *Source, windowSeconds float64) {
	w := r.Workspace(src.Workspace)
	allowed := src.Limits.RequestsPerSecond * windowSeconds
	if w == nil || allowed == 0 || float64(w.Offered) <= allowed {
		return
	}
	w.OfferedWork *= allowed / float64(w.Offered)
}

// computeFairness computes each workspace's FairWork and Jain's fairness index
// (Jain, Chiu and Hawe, 1984) of AnsweredWork / FairWork.
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

// computeFairWork divides remaining, in slot-seconds, among the workspaces by
// weighted max-min fairness: by increasing demand per weight, each gets its
// demand or its weighted share of the rest, whichever is less.
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
