// Package supply decides how many backend servers to order in each capacity pool, which
// is a zone and a market: reclaimable or on demand.
//
// Load pattern: a steady load with bursts of seconds, on servers that take seconds to
// boot. Waves reclaim the reclaimable servers of a whole zone, and new ones are then
// unavailable for some time.
//
// Without it: an on-demand fleet costs several times as much; a reclaimable fleet without
// spare servers loses a zone's servers in a wave, and first tokens are late until the wave
// is over.
//
// Sizing rule: reclaimable servers in all zones, so that the load is served without any one
// zone, or without any two at a low reclaimable price; and on-demand servers for what the
// reclaimable ones could not serve after one more wave. Demand estimates the number of
// servers that the load needs.
//
// The package does no I/O and reads no clock. Plan is a pure function.
package supply

import (
	"cmp"
	"math"
	"slices"
)

// CapacityPool is a zone and a market.
type CapacityPool struct {
	Zone        string
	Reclaimable bool
}

// Zone is a zone and its on-demand price.
type Zone struct {
	Name  string
	Price float64 // of an on-demand server per unit of time
}

// Input is the input of Plan, for one service.
type Input struct {
	Zones []Zone
	// Min and Max bound the number of servers in one zone, reclaimable and on demand together.
	Min, Max int
	// SpotPrice is the price of a reclaimable server as a fraction of the on-demand price;
	// 0: there are no reclaimable servers.
	SpotPrice float64
	// Need is the number of servers that the recent peak load needs.
	Need int
	// InitialServers is the number of servers that the service started with. On-demand
	// servers are ordered only up to this number: a surge above it is usually too short for
	// them to pay off. 0: no bound.
	InitialServers int
	// Load is the number of servers that the current load needs. 0: unknown.
	Load int
	// Serving counts the servers that serve and are not leaving; Present also counts those
	// that are leaving.
	Serving map[CapacityPool]int
	Present map[CapacityPool]int
	// Ordered is the last accepted order of each pool; its servers may still be booting.
	Ordered map[CapacityPool]int
	// Unavailable contains the pools whose last order was refused recently.
	Unavailable map[CapacityPool]bool
}

// Order is the wanted number of servers of a capacity pool.
type Order struct {
	CapacityPool
	Count int
}

// maxSpotPriceFraction is the highest SpotPrice at which reclaimable servers are used. Three
// zones with one spare need 1.5 times the servers, which costs as much as on-demand ones.
const maxSpotPriceFraction = 2.0 / 3

// twoSpareZonesPriceFraction is the highest SpotPrice at which the reclaimable servers
// are sized for the loss of two zones.
const twoSpareZonesPriceFraction = 0.25

// Plan returns the wanted number of servers of every pool, ordered by zone name.
func Plan(in Input) []Order {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	spot := make(map[string]int, len(zones))
	if in.SpotPrice > 0 && in.SpotPrice <= maxSpotPriceFraction {
		for _, z := range zones {
			spot[z.Name] = clamp(serversPerZone(in.Need, len(zones), in.spareZones()), in.Min, in.spotLimit(z.Name))
		}
	}
	in.limitStarts(zones, spot)
	onDemand := in.onDemand(zones, spot)
	in.limitStops(zones, onDemand)
	var orders []Order
	for _, z := range zones {
		orders = append(orders,
			Order{CapacityPool{z.Name, true}, spot[z.Name]},
			Order{CapacityPool{z.Name, false}, onDemand[z.Name]})
	}
	return orders
}

const (
	// maxStarting and maxStopping bound how many servers of a service start and stop at a time.
	// Each one is a change that every entry has to learn, and a new one is a record with each.
	maxStarting = 256
	maxStopping = 1024
)

// limitStarts lowers the wanted numbers of reclaimable servers so that at most maxStarting are
// not present yet. On-demand servers are kept for those that are left out.
func (in *Input) limitStarts(zones []Zone, wanted map[string]int) {
	starting := 0
	for _, z := range zones {
		starting += max(wanted[z.Name]-in.Present[CapacityPool{z.Name, true}], 0)
	}
	if starting <= maxStarting {
		return
	}
	for _, z := range zones {
		pool := CapacityPool{z.Name, true}
		present, ordered := in.Present[pool], min(in.Ordered[pool], wanted[z.Name])
		switch missing := wanted[z.Name] - present; {
		case missing <= 0:
		case ordered > present:
			wanted[z.Name] = ordered // still booting
		default:
			wanted[z.Name] = present + missing*maxStarting/starting
		}
	}
}

// limitStops raises the wanted numbers of on-demand servers so that at most maxStopping stop at
// a time, with those that are leaving already.
func (in *Input) limitStops(zones []Zone, wanted map[string]int) {
	leaving, stopping := 0, 0
	for _, z := range zones {
		pool := CapacityPool{z.Name, false}
		leaving += max(in.Present[pool]-in.Serving[pool], 0)
		stopping += max(in.Serving[pool]-wanted[z.Name], 0)
	}
	allowed := maxStopping - leaving
	if stopping <= allowed {
		return
	}
	if allowed < maxStopping/2 {
		allowed = 0 // wait for a larger part rather than order many small ones
	}
	for _, z := range zones {
		if surplus := in.Serving[CapacityPool{z.Name, false}] - wanted[z.Name]; surplus > 0 {
			wanted[z.Name] += surplus - surplus*allowed/stopping
		}
	}
}

// spotOccupancy returns how many reclaimable servers take up capacity in each zone: the
// wanted number or, in an unavailable pool, at most the present one. Capacity reserved for
// servers that cannot be started would stay unused during a wave.
func (in *Input) spotOccupancy(zones []Zone, wanted map[string]int) map[string]int {
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

// spotLimit returns how many reclaimable servers a zone can have next to its present
// on-demand ones. The cloud fills an order above the zone's bound only up to the bound and
// does not complete it later.
func (in *Input) spotLimit(zone string) int {
	return max(in.Max-in.Present[CapacityPool{zone, false}], min(in.Min, in.Max), 0)
}

// spareZones returns the number of zones whose loss the reclaimable servers must
// tolerate. Waves often come in pairs, seconds apart: with two spare zones on-demand
// servers are ordered only ahead of a third wave.
func (in *Input) spareZones() int {
	if in.SpotPrice <= twoSpareZonesPriceFraction {
		return 2
	}
	return 1
}

// serversPerZone returns the number of servers per zone with which the load is served
// after the loss of spareZones zones. At least one zone is counted as remaining.
func serversPerZone(need, zones, spareZones int) int {
	return int(math.Ceil(float64(need) / float64(max(zones-spareZones, 1))))
}

func clamp(n, lo, hi int) int { return min(max(n, lo), max(hi, 0)) }

// survivors returns how many reclaimable servers still serve after the loss of the zone
// with the most of them. spread is false if at most one zone has any. Then servers counts
// all of them: replacing the whole last zone with on-demand servers costs more than a third
// wave is likely to, so onDemand only covers the current load.
func (in *Input) survivors(zones []Zone, wanted map[string]int) (servers int, spread bool) {
	total, largest, servingZones := 0, 0, 0
	for _, z := range zones {
		// Servers above the wanted number are about to be stopped.
		n := min(in.Serving[CapacityPool{z.Name, true}], wanted[z.Name])
		total += n
		largest = max(largest, n)
		if n > 0 {
			servingZones++
		}
	}
	if servingZones < 2 {
		return total, false
	}
	return total - largest, true
}

// onDemand distributes the servers that reclaimable ones cannot provide over the zones:
// first to zones with on-demand servers that serve or boot, then to the cheapest zones.
func (in *Input) onDemand(zones []Zone, wanted map[string]int) map[string]int {
	out := make(map[string]int, len(zones))
	spot := in.spotOccupancy(zones, wanted)
	survivors, spread := in.survivors(zones, wanted)
	need := in.Need
	if in.InitialServers > 0 {
		need = min(need, in.InitialServers)
	}
	missing := need - survivors
	if !spread {
		missing = max(missing, min(in.Load, need))
	}
	for _, z := range zones {
		out[z.Name] = max(in.Min-spot[z.Name], 0)
		missing -= out[z.Name]
	}
	for _, z := range zones {
		kind := CapacityPool{z.Name, false}
		available := min(max(in.Serving[kind], in.Ordered[kind]), in.Max-spot[z.Name])
		retained := clamp(available-out[z.Name], 0, max(missing, 0))
		out[z.Name] += retained
		missing -= retained
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
			break // every zone has reached Max
		}
	}
	return out
}
