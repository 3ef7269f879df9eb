package coordinator

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/rollout"
)

// rolloutEvidence holds what entries have observed of the rollouts in progress: the last report of each
// incarnation of an entry, so that a report which arrives twice counts once and what an entry observed
// before its restart is kept. It is safe for concurrent use.
type rolloutEvidence struct {
	mu sync.Mutex
	// reports holds the reports by service. Entries may know a rollout before this replica does.
	reports map[string]*serviceEvidence
}

// serviceEvidence holds the reports on one rollout.
type serviceEvidence struct {
	id      uint64 // of the rollout
	ended   bool
	entries map[entryIncarnation][]rollout.RouteSample
	// reportedAt holds when each entry last reported to this replica itself.
	reportedAt map[string]time.Time
}

func newRolloutEvidence() *rolloutEvidence {
	return &rolloutEvidence{reports: make(map[string]*serviceEvidence)}
}

// record records the reports of an entry to this replica.
func (e *rolloutEvidence) record(entry entryIncarnation, reports []api.RolloutReport, now time.Time) {
	for i := range reports {
		if s := e.merge(entry, &reports[i]); s != nil {
			e.mu.Lock()
			s.reportedAt[entry.name] = now
			e.mu.Unlock()
		}
	}
}

// merge merges a report of an entry. It returns nil if the report is on another rollout than the last.
func (e *rolloutEvidence) merge(entry entryIncarnation, r *api.RolloutReport) *serviceEvidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.at(r.Service, r.ID)
	if s.id != r.ID || s.ended {
		return nil
	}
	if totalEnded(r.Routes) >= totalEnded(s.entries[entry]) { // otherwise a later one has arrived before
		s.entries[entry] = r.Routes
	}
	return s
}

// at returns the evidence on a service, which it empties if the rollout is later than the known one. The
// caller holds mu.
func (e *rolloutEvidence) at(service string, id uint64) *serviceEvidence {
	s := e.reports[service]
	if s == nil || id > s.id {
		s = &serviceEvidence{id: id, entries: make(map[entryIncarnation][]rollout.RouteSample), reportedAt: make(map[string]time.Time)}
		e.reports[service] = s
	}
	return s
}

// silent returns those of the entries that have not reported on a rollout to this replica lately.
func (e *rolloutEvidence) silent(service string, id uint64, entries []string, now time.Time) (silent []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.at(service, id)
	for _, name := range entries {
		if at, known := s.reportedAt[name]; !known || now.Sub(at) > silentAfter {
			silent = append(silent, name)
		}
	}
	return silent
}

// of returns the reports of some entries on a rollout.
func (e *rolloutEvidence) of(service string, id uint64, entries []string) (reports []api.EntryReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.reports[service]
	if s == nil || s.id != id {
		return nil
	}
	wanted := make(map[string]bool, len(entries))
	for _, name := range entries {
		wanted[name] = true
	}
	for entry, routes := range s.entries {
		if wanted[entry.name] {
			reports = append(reports, api.EntryReport{Entry: entry.name, Incarnation: entry.incarnation, Routes: routes})
		}
	}
	return reports
}

// update drops the reports on rollouts that have ended or were followed by others.
func (e *rolloutEvidence) update(rollouts []api.Rollout) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range rollouts {
		r := &rollouts[i]
		if s := e.at(r.Service, r.ID); s.id == r.ID && r.Phase.Ended() {
			s.ended, s.entries, s.reportedAt = true, nil, make(map[string]time.Time)
		}
	}
}

// sum returns the samples of all entries on a rollout, sorted by route.
func (e *rolloutEvidence) sum(service string, id uint64) []rollout.RouteSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.reports[service]
	if s == nil || s.id != id {
		return nil
	}
	var sum []rollout.RouteSample
	for _, routes := range s.entries {
		sum = rollout.Merge(sum, routes)
	}
	return sum
}

// totalEnded returns the number of requests that the samples count.
func totalEnded(routes []rollout.RouteSample) (n uint64) {
	for i := range routes {
		n += routes[i].Stable.Ended + routes[i].Candidate.Ended
	}
	return n
}
