package route

import (
	"cmp"
	"slices"
)

// Occupancy is what an entry knows of one server's slots.
type Occupancy struct {
	Slots    int
	Reported int // requests running and waiting there, as last reported
	Own      int // of these, this entry's starts less its ends since the report
}

// Occupancies appends the occupancy of each server that takes work to dst, in
// the order of their ids, which is the same at all entries.
func (r *Router) Occupancies(dst []Occupancy) []Occupancy {
	if r.order == nil {
		r.sortServers()
	}
	for _, slot := range r.order {
		s := &r.servers[slot]
		if !s.serving {
			continue
		}
		dst = append(dst, Occupancy{Slots: int(s.slots), Reported: s.reported, Own: max(s.net, s.own-s.reported)})
	}
	return dst
}

// sortServers notes the servers in the order of their ids.
func (r *Router) sortServers() {
	r.order = make([]int, 0, len(r.servers))
	for slot := range r.servers {
		if r.servers[slot].id != "" {
			r.order = append(r.order, slot)
		}
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.servers[a].id, r.servers[b].id) })
}
