package rollout

import (
	"slices"
	"time"
)

// recentWindow is the time over which recent answers are tested on their own. A version that
// turns faulty later has many good answers before, which hide the bad ones.
const recentWindow = 2500 * time.Millisecond

// History keeps the samples of a rollout for recentWindow, for Input.Earlier. A new leader
// begins with an empty one. The zero value is ready for use; it is not safe for concurrent
// use.
type History struct {
	snapshots []snapshot
}

type snapshot struct {
	at     time.Duration
	routes []RouteSample
}

// Observe keeps a copy of the samples at a time since the order, and returns those of
// recentWindow before, nil if there are none.
func (h *History) Observe(elapsed time.Duration, routes []RouteSample) []RouteSample {
	h.snapshots = append(h.snapshots, snapshot{at: elapsed, routes: slices.Clone(routes)})
	oldest := 0
	for oldest+1 < len(h.snapshots) && elapsed-h.snapshots[oldest+1].at >= recentWindow {
		oldest++
	}
	h.snapshots = slices.Delete(h.snapshots, 0, oldest)
	if elapsed-h.snapshots[0].at < recentWindow {
		return nil
	}
	return h.snapshots[0].routes
}

// since returns what came to routes after earlier.
func since(routes, earlier []RouteSample) []RouteSample {
	recent := slices.Clone(routes)
	for i := range recent {
		for j := range earlier {
			if earlier[j].Route == recent[i].Route {
				recent[i].Stable.subtract(&earlier[j].Stable)
				recent[i].Candidate.subtract(&earlier[j].Candidate)
			}
		}
	}
	return recent
}

// subtract takes the counts of o from s. Counts shrink when the report of an entry that has
// ended is dropped; then they stop at 0.
func (s *Sample) subtract(o *Sample) {
	s.Ended -= min(s.Ended, o.Ended)
	s.Bad -= min(s.Bad, o.Bad)
	for i, n := range o.Latency {
		s.Latency[i] -= min(s.Latency[i], n)
	}
}
