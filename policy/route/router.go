package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
)

// Router chooses servers for the requests of one service. The caller passes it the servers'
// announcements and the start, first token and end of each request that this entry sends. It
// is not safe for concurrent use.
type Router struct {
	cfg                Config
	index              *PrefixIndex
	servers            []server // by the slots of index; id is empty where a slot is free
	demand             demandSketch
	sendRate           sendRate
	lastAssessed       time.Time
	anyReduced         bool          // some server's health weight is below 1
	medianLatencyRatio float64       // over all servers with enough samples
	meanFirstToken     time.Duration // moving average over all servers
	registrations      uint64        // number of the last registration, see server.registration
	reportTime         time.Time     // see SetReportTime
	slotTime           time.Duration // moving average of the time from first token to end; 0: none
	meanTokens         float64       // moving average of the uncached prompt tokens of own requests
	rateSamples        int           // samples that the prefill rate was learned from
	ownRateSamples     int           // those of this entry, without a suggested rate

	restrictions        map[string]restriction // by server
	restrictionsExpired time.Time              // last look for expired ones

	slotsByID []int // slots of the servers, sorted by id; nil if not up to date

	// Scratch space, so that Choose does not allocate.
	latencyRatios []float64
	matched       []int32   // cached tokens by slot
	weights       []float64 // weight by slot; 0: may not run the request
	loads         []float64 // estimated requests by slot
}

// New returns a Router without servers. The error is a *policy.ConfigError.
func New(cfg Config) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Router{cfg: cfg, index: NewPrefixIndex(), restrictions: make(map[string]restriction)}, nil
}

// Prefixes returns the Router's index. The caller applies the servers' cache events to it.
func (r *Router) Prefixes() *PrefixIndex { return r.index }

// SetUrgentFirst sets whether servers admit requests that can meet their objective before all
// others; see Config.UrgentFirst.
func (r *Router) SetUrgentFirst(on bool) { r.cfg.UrgentFirst = on }

// SetFillLevel sets whether a server is drawn among the candidates by the requests that each can
// take; see Config.FillLevel.
func (r *Router) SetFillLevel(on bool) { r.cfg.FillLevel = on }

// SetEntries sets the number of entries that send to the same servers.
func (r *Router) SetEntries(n int) { r.cfg.Entries = max(n, 1) }

// Announce updates a server from its announcement and reports whether the announcement was
// newer than the last one. at is the time on this entry's clock at which a.Load was measured.
// A time of the server's clock would miscount the requests since then if the clocks differ by
// more than historyBucketWidth.
func (r *Router) Announce(a *instance.Announcement, at, now time.Time) bool {
	slot := r.index.slotFor(a.ID)
	r.growSlots(slot + 1)
	s := &r.servers[slot]
	if s.id == "" {
		r.index.servers[slot].pinned = true
		r.slotsByID = nil
		s.id = a.ID
		s.hash = xxhash.Sum64String(a.ID)
		r.registrations++
		s.registration = r.registrations
	} else if !isNewer(a, s) {
		return false
	}
	s.update(a, at, now)
	r.applyRestriction(s, now)
	return true
}

// SetReportTime records a report, collected at, on the load of all servers, from which those
// are left out whose load is as last announced.
func (r *Router) SetReportTime(at time.Time) { r.reportTime = at }

// reportAge returns how long ago the load of a server was measured.
func (r *Router) reportAge(s *server, now time.Time) time.Duration {
	if !s.queried && r.reportTime.After(s.reportTime) {
		return now.Sub(r.reportTime) + collectedReportLag
	}
	return now.Sub(s.reportTime) + s.reportLag
}

// UpdateLoad sets the load of other entries on a server at now, as the caller has queried it:
// their running requests, and the prompt tokens of those without a first token.
func (r *Router) UpdateLoad(id string, running, prefill int, now time.Time) {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) && r.servers[slot].id != "" {
		r.servers[slot].updateLoad(running, prefill, now)
	}
}

// MarkLeaving marks a server as leaving, for a notice from another entry. It has no effect on
// a later incarnation.
func (r *Router) MarkLeaving(id string, incarnation uint64) {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) {
		return
	}
	if s := &r.servers[slot]; s.id != "" && s.incarnation <= incarnation {
		s.serving = false
	}
}

// Remove removes a server and its cached prefixes. Its open attempts may still be ended.
func (r *Router) Remove(id string) {
	slot, ok := r.index.slotByID[id]
	if !ok {
		return
	}
	if slot < len(r.servers) {
		r.servers[slot] = server{}
	}
	r.slotsByID = nil
	r.index.servers[slot].pinned = false
	r.index.Remove(id)
}

// Weight returns the fraction of its full share of requests that a server gets at now because
// of slow start or slowness, for metrics; 0 for a server that is not serving.
func (r *Router) Weight(id string, now time.Time) float64 {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || !r.servers[slot].serving {
		return 0
	}
	s := &r.servers[slot]
	return s.health.weight * s.slowStartFraction(&r.cfg, now)
}

// HealthWeight returns the fraction of its full share of requests that a server gets because
// of slowness alone, without slow start; 1 for an unknown server.
func (r *Router) HealthWeight(id string) float64 {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || r.servers[slot].id == "" {
		return 1
	}
	return r.servers[slot].health.weight
}

// growSlots extends the slices by slot to at least n slots.
func (r *Router) growSlots(n int) {
	for len(r.servers) < n {
		r.servers = append(r.servers, server{})
		r.matched = append(r.matched, 0)
		r.weights = append(r.weights, 0)
		r.loads = append(r.loads, 0)
	}
	r.latencyRatios = slices.Grow(r.latencyRatios[:0], n)
}

// isNewer reports whether the announcement is newer than the last one of the server.
func isNewer(a *instance.Announcement, s *server) bool {
	if a.Incarnation != s.incarnation {
		return a.Incarnation > s.incarnation
	}
	return a.Sequence > s.sequence
}

// PendingPrefillTokens returns the expected prefill of this entry's requests that wait for
// their first token on the server.
func (r *Router) PendingPrefillTokens(id string) int {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) {
		return max(r.servers[slot].health.pendingTokens, 0)
	}
	return 0
}
