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
	Offered, Answered, Met  int
	Refused, Evicted        int
	Expired, Late, Failed   int
	Retries, Hedges         int           // over the whole run
	Returns                 int           // arrivals of callers that had been refused before, over the whole run
	FirstP95                time.Duration // arrival to first token, of answered jobs that have a target
	GapP95                  time.Duration // between tokens, of the same
	Goodput                 float64       // work of answers that met their targets, as a part of the capacity
	Cost                    float64       // server-seconds for 1,000 answers that met their targets
	Recomputed              int           // tokens
	Jain                    float64       // of the workspaces' work done, each over its max-min fair part
	Interactive, Batch      ClassResult
	Workspaces              []WorkspaceResult
	capacity, serverSeconds float64
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
	Workspace string
	Offered   int
	Answered  int
	Met       int
	FirstP95  time.Duration
	Asked     float64 // work offered, seconds of a slot
	Done      float64 // work of answers, seconds of a slot
	Fair      float64 // its max-min fair part of what can be done

	firsts []time.Duration
	weight int
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
	r := &Result{Retries: m.retries, Hedges: m.hedges, Returns: m.returns}
	window := (m.scenario.Length - m.scenario.Warmup).Seconds()
	for _, b := range m.servers {
		if b.alive {
			r.serverSeconds += window
			r.capacity += window * float64(m.scenario.Fleet.Slots) / b.slow
		}
	}
	var firsts, gaps []time.Duration
	metWork := 0.0
	for _, j := range m.jobs {
		r.Recomputed += j.Recompute
		// Work is counted by when it ended, so that a queue that grows all
		// along does not count as capacity that was never used.
		if j.Met() && m.inWindow(j.Ended) {
			metWork += m.slotSeconds(j)
		}
		if !m.inWindow(j.Arrived) {
			continue
		}
		r.count(j)
		w := r.workspace(j.Source)
		w.add(j, m.slotSeconds(j))
		if j.Outcome == Answered && j.Source.Target > 0 {
			firsts = append(firsts, j.First.Sub(j.Arrived))
			gaps = append(gaps, max(j.Gap, j.LongGap))
		}
	}
	for i := range m.scenario.Sources {
		r.limit(&m.scenario.Sources[i], window)
	}
	r.FirstP95, r.GapP95 = percentile(firsts, 95), percentile(gaps, 95)
	r.Goodput = metWork / r.capacity
	r.Cost = 1_000 * r.serverSeconds / float64(max(1, r.Met))
	r.fairness()
	return r
}

func (m *model) inWindow(t time.Time) bool {
	at := t.Sub(epoch)
	return at >= m.scenario.Warmup && at < m.scenario.Length
}

func (m *model) slotSeconds(j *Job) float64 {
	return m.scenario.Fleet.slotTime(j.Prompt-j.Cached, j.Answer).Seconds()
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
	if j.Met() {
		r.Met++
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
	w.Asked += seconds
	if j.Met() {
		w.Met++
	}
	if j.Outcome != Answered {
		return
	}
	w.Answered++
	w.Done += seconds
	w.firsts = append(w.firsts, j.First.Sub(j.Arrived))
}

// limit caps what a workspace asks for at what its limits allow.
func (r *Result) limit(src *Source, window float64) {
	w := r.Workspace(src.Workspace)
	allowed := src.Limits.RequestsPerSecond * window
	if w == nil || allowed == 0 || float64(w.Offered) <= allowed {
		return
	}
	w.Asked *= allowed / float64(w.Offered)
}

// fairness computes each workspace's max-min fair part of the work that was
// done or could have been, and Jain's index (Jain, Chiu and Hawe, 1984) of work
// done over that part.
func (r *Result) fairness() {
	slices.SortFunc(r.Workspaces, func(a, b WorkspaceResult) int { return cmp.Compare(a.Workspace, b.Workspace) })
	asked := 0.0
	for i := range r.Workspaces {
		w := &r.Workspaces[i]
		w.FirstP95 = percentile(w.firsts, 95)
		asked += w.Asked
	}
	r.share(min(asked, r.capacity))
	sum, squares := 0.0, 0.0
	for _, w := range r.Workspaces {
		x := w.Done / w.Fair
		sum += x
		squares += x * x
	}
	r.Jain = sum * sum / (float64(len(r.Workspaces)) * squares)
}

// share fills up the workspaces by weight until capacity or demand runs out.
func (r *Result) share(left float64) {
	open := make([]*WorkspaceResult, 0, len(r.Workspaces))
	for i := range r.Workspaces {
		open = append(open, &r.Workspaces[i])
	}
	perWeight := func(w *WorkspaceResult) float64 { return w.Asked / float64(w.weight) }
	slices.SortFunc(open, func(a, b *WorkspaceResult) int { return cmp.Compare(perWeight(a), perWeight(b)) })
	weights := 0
	for _, w := range open {
		weights += w.weight
	}
	for _, w := range open {
		w.Fair = min(w.Asked, left*float64(w.weight)/float64(weights))
		left -= w.Fair
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
