package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Occupancy is the use of one server's slots, as this entry estimates it.
type Occupancy struct {
	Slots          int // scaled by the weight of the server
	Reported       int // requests running and waiting, as last reported
	OwnSinceReport int // requests of this entry that the report does not include
}

// Occupancies appends to dst the occupancy of each serving server that doesn't pause, in the
// order of the server ids, which is the same at all entries. The slots of a slow or new server
// are scaled by its weight. Otherwise its free slots would look available while Choose sends
// the requests to other servers, and the queue would drain into servers that are full.
func (r *Router) Occupancies(dst []Occupancy, now time.Time) []Occupancy {
	if r.slotsByID == nil {
		r.sortServers()
	}
	maxWeight := 0.0
	for _, slot := range r.slotsByID {
		if s := &r.servers[slot]; s.serving && !s.isPaused(now) {
			maxWeight = max(maxWeight, s.health.weight*s.slowStartFraction(&r.cfg, now))
		}
	}
	for _, slot := range r.slotsByID {
		s := &r.servers[slot]
		if !s.serving || s.isPaused(now) {
			continue
		}
		relativeWeight := s.health.weight * s.slowStartFraction(&r.cfg, now) / maxWeight
		dst = append(dst, Occupancy{
			Slots: int(math.Round(s.slots * relativeWeight)), Reported: s.reportedLoad, OwnSinceReport: max(s.netStarts, s.ownRequests-s.reportedLoad),
		})
	}
	return dst
}

// sortServers fills slotsByID.
func (r *Router) sortServers() {
	r.slotsByID = make([]int, 0, len(r.servers))
	for slot := range r.servers {
		if r.servers[slot].id != "" {
			r.slotsByID = append(r.slotsByID, slot)
		}
	}
	slices.SortFunc(r.slotsByID, func(a, b int) int { return cmp.Compare(r.servers[a].id, r.servers[b].id) })
}
