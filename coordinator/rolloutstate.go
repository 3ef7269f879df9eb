package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/rollout"
)

// rolloutRecord is the last rollout of a service in the replicated state.
type rolloutRecord struct {
	ID       uint64        `msgpack:"id"` // index of its order in the log
	Service  string        `msgpack:"s"`
	To       string        `msgpack:"to"`
	From     []string      `msgpack:"from"`    // sorted
	Retired  []string      `msgpack:"retired"` // by earlier rollouts, the latest last
	Ordered  time.Time     `msgpack:"at"`      // by the leader's clock
	Duration time.Duration `msgpack:"d"`

	Phase   rollout.Phase  `msgpack:"p"`
	PhaseAt time.Time      `msgpack:"pat"` // when the phase began, by the leader's clock
	Reason  rollout.Reason `msgpack:"why"` // of the phase
	Route   string         `msgpack:"route,omitempty"`

	// Accepted holds the orders of the service that may still be repeated, without this one.
	Accepted []acceptedOrder `msgpack:"acc,omitempty"`
}

// acceptedOrder is an order that a later one has replaced.
type acceptedOrder struct {
	ID uint64    `msgpack:"id"`
	To string    `msgpack:"to"`
	At time.Time `msgpack:"at"`
}

// view returns the record as entries and other replicas get it.
func (r *rolloutRecord) view() api.Rollout {
	return api.Rollout{ID: r.ID, Service: r.Service, To: r.To, From: r.From, Phase: r.Phase, Retired: r.Retired}
}

// startRolloutCommand starts a rollout of a service.
type startRolloutCommand struct {
	Service  string        `msgpack:"s"`
	To       string        `msgpack:"to"`
	From     []string      `msgpack:"from"`
	At       time.Time     `msgpack:"at"` // by the leader's clock
	Duration time.Duration `msgpack:"d"`
	// Repeats is how long after it an order may be repeated.
	Repeats time.Duration `msgpack:"rep"`
}

// startRolloutResult is the outcome of a startRolloutCommand.
type startRolloutResult struct {
	ID       uint64 // of the rollout in progress, or of the repeated order
	Started  bool
	Conflict bool // the rollout in progress is to another version
}

// setPhaseCommand begins the next phase of a rollout.
type setPhaseCommand struct {
	Service string         `msgpack:"s"`
	ID      uint64         `msgpack:"id"`
	From    rollout.Phase  `msgpack:"from"` // the phase that was judged
	Phase   rollout.Phase  `msgpack:"p"`
	At      time.Time      `msgpack:"at"` // by the leader's clock
	Reason  rollout.Reason `msgpack:"why"`
	Route   string         `msgpack:"route,omitempty"`
}

// maxRetired bounds the versions of a service that are remembered as retired.
const maxRetired = 16

// applyStartRollout starts a rollout unless one of the service is in progress or the order repeats
// an accepted one. index is that of the log entry.
func (s *state) applyStartRollout(index uint64, c startRolloutCommand) startRolloutResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, exists := s.rollouts[c.Service]
	if exists {
		if id, repeated := last.repeatedOrder(c.To, c.At, c.Repeats); repeated {
			return startRolloutResult{ID: id}
		}
		if !last.Phase.Ended() {
			return startRolloutResult{ID: last.ID, Conflict: true}
		}
	}
	s.rollouts[c.Service] = rolloutRecord{
		ID: index, Service: c.Service, To: c.To, From: c.From, Retired: last.retiredBefore(c.To),
		Ordered: c.At, Duration: c.Duration, Phase: rollout.Canary, PhaseAt: c.At, Accepted: last.stillRepeatable(c.At, c.Repeats),
	}
	return startRolloutResult{ID: index, Started: true}
}

// repeatedOrder returns the accepted order that an order to version to at a time repeats: that of the
// rollout in progress, or one that was accepted no longer than window before.
func (r *rolloutRecord) repeatedOrder(to string, at time.Time, window time.Duration) (id uint64, repeated bool) {
	if r.To == to && (!r.Phase.Ended() || at.Sub(r.Ordered) <= window) {
		return r.ID, true
	}
	for _, o := range r.Accepted {
		if o.To == to && at.Sub(o.At) <= window {
			return o.ID, true
		}
	}
	return 0, false
}

// stillRepeatable returns the accepted orders that may be repeated at a time.
func (r *rolloutRecord) stillRepeatable(at time.Time, window time.Duration) []acceptedOrder {
	if r.ID == 0 {
		return nil
	}
	orders := append(slices.Clone(r.Accepted), acceptedOrder{ID: r.ID, To: r.To, At: r.Ordered})
	return slices.DeleteFunc(orders, func(o acceptedOrder) bool { return at.Sub(o.At) > window })
}

// retiredBefore returns the versions that this and earlier rollouts have retired, without to, to which
// the next one moves the service.
func (r *rolloutRecord) retiredBefore(to string) []string {
	retired := slices.Clone(r.Retired)
	switch r.Phase {
	case rollout.Completed:
		retired = append(retired, r.From...)
	case rollout.RolledBack:
		retired = append(retired, r.To)
	}
	unique := retired[:0]
	for i, v := range retired {
		if v != to && !slices.Contains(retired[i+1:], v) {
			unique = append(unique, v)
		}
	}
	return unique[max(len(unique)-maxRetired, 0):]
}

// applySetPhase begins a phase and reports whether it did. It does nothing if the rollout is in another
// phase than the one that was judged: another leader has decided.
func (s *state) applySetPhase(c setPhaseCommand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, exists := s.rollouts[c.Service]
	if !exists || r.ID != c.ID || r.Phase != c.From || r.Phase.Ended() || c.Phase <= r.Phase {
		return false
	}
	r.Phase, r.PhaseAt, r.Reason, r.Route = c.Phase, c.At, c.Reason, c.Route
	s.rollouts[c.Service] = r
	return true
}

// lastRollout returns the last rollout of a service.
func (s *state) lastRollout(service string) (rolloutRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, exists := s.rollouts[service]
	return r, exists
}

// lastRollouts returns the last rollout of each service, sorted by service.
func (s *state) lastRollouts() []rolloutRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.SortedFunc(maps.Values(s.rollouts), func(a, b rolloutRecord) int { return strings.Compare(a.Service, b.Service) })
}

// rolloutViews returns the last rollout of each service as entries and other replicas get it.
func (s *state) rolloutViews() []api.Rollout {
	records := s.lastRollouts()
	views := make([]api.Rollout, 0, len(records))
	for i := range records {
		views = append(views, records[i].view())
	}
	return views
}
