// Package supply decides how many backend servers of each kind to order in each
// zone.
//
// Load pattern answered: a steady load with bursts of seconds, on servers that
// take seconds to boot, of which the cheap ones are taken away a zone at a time
// and then are not to be had for a while.
//
// Without it all servers are on demand, at several times the price; or, with
// reclaimable ones just for the load, a wave takes a zone's share of them, the
// others queue, and callers see late first tokens until the wave is over.
//
// The rule: reclaimable servers in all zones, so many that the load is served
// without any one zone, or without any two where they are cheap; on-demand servers
// for what reclaimable ones would not serve after one more wave. A reclaimable server
// at a fifth of the price pays even though two of three are spare, and on-demand ones
// are there only while a wave lasts. How many servers the load takes is learnt from it
// (Demand).
//
// The package does no I/O and reads no clock. Plan is a pure function.
package supply

import (
	"cmp"
	"math"
	"slices"
)

// CapacityPool is one way to have a server.
type CapacityPool struct {
	Zone        string
	Reclaimable bool
}

// Zone is a zone with the price of a server there.
type Zone struct {
	Name  string
	Price float64 // of an on-demand server for a unit of time
}

// Input is what a plan is made from.
type Input struct {
	Zones []Zone
	// Min and Max bound the servers of both kinds together in one zone.
	Min, Max int
	// SpotPrice is the price of a reclaimable server as a part of an on-demand
	// one's; 0: there are none.
	SpotPrice float64
	// Need is how many servers the load takes.
	Need int
	// InitialServers is how many servers the service began with. On-demand ones make up for no
	// more than that: what a surge takes beyond it is left to reclaimable ones, since the
	// surge is mostly over before on-demand ones have paid for themselves. 0: no bound.
	InitialServers int
	// Load is how many servers the load of the moment takes, where Need goes by its peak
	// of late. 0: it is not known.
	Load int
	// Serving counts the servers that serve and have not been told to leave, and
	// Present also those that are about to go.
	Serving map[CapacityPool]int
	Present map[CapacityPool]int
	// Ordered counts the servers that were ordered last, which may still boot.
	Ordered map[CapacityPool]int
	// Unavailable holds the kinds that are not to be had at the moment.
	Unavailable map[CapacityPool]bool
}

// Order is the number of servers wanted of a kind.
type Order struct {
	CapacityPool
	Count int
}

// worthSpot is the highest price of a reclaimable server, as a part of an
// on-demand one's, at which the spare ones pay for themselves in three zones:
// there half as many again are ordered.
const worthSpot = 2.0 / 3

// cheapSpot is the highest price at which it pays to have two zones to spare. In three
// zones that is half as many reclaimable servers again, all the time, in place of as many
// on-demand ones for the quarter of the time or more that waves last.
const cheapSpot = 0.25

// Plan returns the number wanted of every kind, by zone.
func Plan(in Input) []Order {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	spot := make(map[string]int, len(zones))
	if in.SpotPrice > 0 && in.SpotPrice <= worthSpot {
		for _, z := range zones {
			spot[z.Name] = clamp(perZone(in.Need, len(zones), in.spare()), in.Min, in.room(z.Name))
		}
	}
	onDemand := in.onDemand(zones, spot)
	var orders []Order
	for _, z := range zones {
		orders = append(orders,
			Order{CapacityPool{z.Name, true}, spot[z.Name]},
			Order{CapacityPool{z.Name, false}, onDemand[z.Name]})
	}
	return orders
}

// expected is how many reclaimable servers take up room in each zone: those that
// are ordered, and where none are to be had, those that are there. Room kept for
// servers that do not come would leave a zone empty for as long as a wave lasts.
func (in *Input) expected(zones []Zone, wanted map[string]int) map[string]int {
	out := make(map[string]int, len(zones))
	for _, z := range zones {
		kind := CapacityPool{z.Name, true}
		out[z.Name] = wanted[z.Name]
		if in.Unavailable[kind] {
			out[z.Name] = min(wanted[z.Name], in.Present[kind])
		}
	}
	return out
}

// room is how many reclaimable servers a zone may have beside the on-demand ones
// that are there. An order above a zone's bound is filled up to the bound, and not
// looked at again when there is room.
func (in *Input) room(zone string) int {
	return max(in.Max-in.Present[CapacityPool{zone, false}], min(in.Min, in.Max), 0)
}

// spare is how many zones may be lost with the load still served by reclaimable
// servers. Waves come in pairs, seconds apart; with two zones to spare on-demand
// servers need not stand in for the second one after the first, and are only ordered
// if a third one may follow.
func (in *Input) spare() int {
	if in.SpotPrice <= cheapSpot {
		return 2
	}
	return 1
}

// perZone is how many servers a zone has so that the others serve the need without
// spare of them. The last zone can't be spared.
func perZone(need, zones, spare int) int {
	return int(math.Ceil(float64(need) / float64(max(zones-spare, 1))))
}

func clamp(n, lo, hi int) int { return min(max(n, lo), max(hi, 0)) }

// surviving is how many reclaimable servers would still serve after the next wave.
// Waves come in pairs: one that found the fleet with a single zone's servers left
// would leave the load without any for as long as servers boot.
//
// With a single zone left there is nothing to spread over, and all of it counts:
// on-demand servers for the whole need would cost more than they bring on the many
// days on which no third wave comes. Then those that serve the load of the moment
// are enough.
func (in *Input) surviving(zones []Zone, wanted map[string]int) (servers int, spread bool) {
	total, most, with := 0, 0, 0
	for _, z := range zones {
		// More than what is wanted of them is about to go.
		n := min(in.Serving[CapacityPool{z.Name, true}], wanted[z.Name])
		total += n
		most = max(most, n)
		if n > 0 {
			with++
		}
	}
	if with < 2 {
		return total, false
	}
	return total - most, true
}

// onDemand splits what reclaimable servers do not serve among the zones: first to
// servers that are there or boot, then to the cheapest zones.
func (in *Input) onDemand(zones []Zone, wanted map[string]int) map[string]int {
	out := make(map[string]int, len(zones))
	spot := in.expected(zones, wanted)
	surviving, spread := in.surviving(zones, wanted)
	need := in.Need
	if in.InitialServers > 0 {
		need = min(need, in.InitialServers)
	}
	missing := need - surviving
	if !spread {
		missing = max(missing, min(in.Load, need))
	}
	for _, z := range zones {
		out[z.Name] = max(in.Min-spot[z.Name], 0)
		missing -= out[z.Name]
	}
	for _, z := range zones {
		kind := CapacityPool{z.Name, false}
		have := min(max(in.Serving[kind], in.Ordered[kind]), in.Max-spot[z.Name])
		keep := clamp(have-out[z.Name], 0, max(missing, 0))
		out[z.Name] += keep
		missing -= keep
	}
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b Zone) int { return cmp.Compare(a.Price, b.Price) })
	for missing > 0 {
		placed := false
		for _, z := range byPrice {
			if missing > 0 && out[z.Name]+spot[z.Name] < in.Max {
				out[z.Name]++
				missing--
				placed = true
			}
		}
		if !placed {
			break // every zone is at its bound
		}
	}
	return out
}
