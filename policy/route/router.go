package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/instance"
)

// Router chooses servers for the requests of one service. It is fed with the
// servers' announcements and with the start, first token and end of each
// request that this entry sends. Not safe for concurrent use.
type Router struct {
	cfg                Config
	index              *PrefixIndex
	servers            []server // by the index's slot; id is empty where the slot is free
	demand             demandSketch
	sendRate           sendRate
	lastAssessed       time.Time
	anyReduced         bool          // some server's health share is below 1
	medianLatencyRatio float64       // of the servers' health ratios
	meanFirstToken     time.Duration // moving average over all servers
	registrations      uint64        // servers that became known, again or for the first time
	rateSamples        int           // first tokens that the prefill rate was learnt from

	slotsByID []int // slots of the servers, by id; nil: to be sorted again

	// Scratch space, so that Choose does not allocate.
	latencyRatios []float64
	matched       []int32   // cached tokens by slot
	weights       []float64 // share by slot; 0: may not run the request
	loads         []float64 // estimated requests by slot
}

// New returns a Router without servers. The error is a *policy.ConfigError.
func New(cfg Config) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Router{cfg: cfg, index: NewPrefixIndex()}, nil
}

// Prefixes returns the Router's index, to be fed with cache events.
func (r *Router) Prefixes() *PrefixIndex { return r.index }

// SetEntries sets the number of entries that send to the same servers.
func (r *Router) SetEntries(n int) { r.cfg.Entries = max(n, 1) }

// Announce takes in a server's announcement and reports whether it was newer
// than what is known. at is the time on the entry's clock at which a.Load held;
// a reading of the server's clock will not do where clocks differ by more than
// historyWidth.
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
	return true
}

// UpdateLoad takes what other entries have at a server now, as was asked for: running
// requests, and prompt tokens of those that have no answer yet.
func (r *Router) UpdateLoad(id string, running, prefill int, now time.Time) {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) && r.servers[slot].id != "" {
		r.servers[slot].updateLoad(running, prefill, now)
	}
}

// MarkLeaving marks a server as leaving, as heard from another entry. It has no
// effect on a later incarnation.
func (r *Router) MarkLeaving(id string, incarnation uint64) {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) {
		return
	}
	if s := &r.servers[slot]; s.id != "" && s.incarnation <= incarnation {
		s.serving = false
	}
}

// Remove forgets a server and its cached prefixes. Its open attempts may still
// be ended.
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

// Weight returns the part of its full share that a server gets at now because
// of slow start or slowness, for metrics; 0 for a server that takes no work.
func (r *Router) Weight(id string, now time.Time) float64 {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || !r.servers[slot].serving {
		return 0
	}
	s := &r.servers[slot]
	return s.health.weight * s.slowStartFraction(&r.cfg, now)
}

// HealthWeight returns the part of its share that a server gets because of slowness
// alone, slow start left out; 1 for one that is not known.
func (r *Router) HealthWeight(id string) float64 {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || r.servers[slot].id == "" {
		return 1
	}
	return r.servers[slot].health.weight
}

func (r *Router) growSlots(n int) {
	for len(r.servers) < n {
		r.servers = append(r.servers, server{})
		r.matched = append(r.matched, 0)
		r.weights = append(r.weights, 0)
		r.loads = append(r.loads, 0)
	}
	r.latencyRatios = slices.Grow(r.latencyRatios[:0], n)
}

func isNewer(a *instance.Announcement, s *server) bool {
	if a.Incarnation != s.incarnation {
		return a.Incarnation > s.incarnation
	}
	return a.Sequence > s.sequence
}

// PendingPrefillTokens returns the prompt tokens of own requests that a server has not begun to
// answer.
func (r *Router) PendingPrefillTokens(id string) int {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) {
		return max(r.servers[slot].health.pendingTokens, 0)
	}
	return 0
}
