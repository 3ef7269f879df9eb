package route

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Occupancy is what an entry knows of one server's slots.
type Occupancy struct {
	Slots          int // as far as it gets its share of the work
	Reported       int // requests running and waiting there, as last reported
	OwnSinceReport int // of these, this entry's starts less its ends since the report
}

// Occupancies appends the occupancy of each server that takes work to dst, in
// the order of their ids, which is the same at all entries. A server that gets
// less than its full share, because it is slow or new, counts with that part of
// its slots. What goes wrong otherwise: its free slots look like room, Choose
// sends the work to the others, the room is never used up, and a whole queue
// drains into servers that are full.
func (r *Router) Occupancies(dst []Occupancy, now time.Time) []Occupancy {
	if r.slotsByID == nil {
		r.sortServers()
	}
	maxWeight := 0.0
	for _, slot := range r.slotsByID {
		if s := &r.servers[slot]; s.serving {
			maxWeight = max(maxWeight, s.health.weight*s.slowStartFraction(&r.cfg, now))
		}
	}
	for _, slot := range r.slotsByID {
		s := &r.servers[slot]
		if !s.serving {
			continue
		}
		relativeWeight := s.health.weight * s.slowStartFraction(&r.cfg, now) / maxWeight
		dst = append(dst, Occupancy{
			Slots: int(math.Round(s.slots * relativeWeight)), Reported: s.reportedLoad, OwnSinceReport: max(s.netStarts, s.ownRequests-s.reportedLoad),
		})
	}
	return dst
}

// sortServers notes the servers in the order of their ids.
func (r *Router) sortServers() {
	r.slotsByID = make([]int, 0, len(r.servers))
	for slot := range r.servers {
		if r.servers[slot].id != "" {
			r.slotsByID = append(r.slotsByID, slot)
		}
	}
	slices.SortFunc(r.slotsByID, func(a, b int) int { return cmp.Compare(r.servers[a].id, r.servers[b].id) })
}
