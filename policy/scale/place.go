package scale

import (
	"cmp"
	"slices"
)

// Artifact is a model, or an adapter for a model, in the weight store.
type Artifact struct {
	Model   string
	Version string
	Adapter string // empty for the model itself
	Bytes   int64
}

func (a Artifact) sameAs(b Artifact) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Adapter == b.Adapter
}

// Need is the number of servers that should load an artifact.
type Need struct {
	Artifact Artifact
	Servers  int
	Demand   float64 // work per second that requires the artifact
}

// Host is a backend server that can load artifacts.
type Host struct {
	ID          string
	DataCentre  string
	Leaving     bool
	Utilization float64    // ratio of capacity in use, 0..1
	Loaded      []Artifact // includes artifacts being loaded
	FreeBytes   int64      // for further artifacts
}

// PlaceInput is the input of Place.
type PlaceInput struct {
	Hosts           []Host
	Needs           []Need
	StoreRate       float64 // throughput of the weight store, bytes per second
	LoadsInProgress int
	MinLoadRate     float64 // minimum throughput per load, bytes per second
}

// Load is an order to a host to load an artifact.
type Load struct {
	Host     string
	Artifact Artifact
}

// Placement is the result of Place.
type Placement struct {
	Loads []Load
	// Deferred counts the loads postponed because the weight store is busy, NoSpace those
	// that no server has space for.
	Deferred int
	NoSpace  int
}

// Place decides which artifacts to load on which hosts. The artifact with the most
// demand per copy goes first, to the data centre with the fewest copies of it, on
// the least utilized host there.
//
// Load pattern: after a wave or a surge many servers load weights from a store with
// a fixed throughput. Without a limit n concurrent loads each get 1/n of it, and the
// first server is ready only when all of them are. Place limits concurrent loads to
// StoreRate/MinLoadRate.
func Place(in PlaceInput) Placement {
	hosts := slices.Clone(in.Hosts)
	for i := range hosts {
		hosts[i].Loaded = slices.Clone(hosts[i].Loaded)
	}
	var result Placement
	maxLoads := max(int(in.StoreRate/max(in.MinLoadRate, 1)), 1)
	needs := slices.Clone(in.Needs)
	for {
		i := mostUrgent(needs, hosts)
		if i < 0 {
			return result
		}
		need := &needs[i]
		host := bestHost(hosts, need.Artifact)
		switch {
		case host == nil:
			result.NoSpace += need.Servers - copies(hosts, need.Artifact)
			need.Servers = 0
		case in.LoadsInProgress+len(result.Loads) >= maxLoads:
			result.Deferred += need.Servers - copies(hosts, need.Artifact)
			need.Servers = 0
		default:
			host.Loaded = append(host.Loaded, need.Artifact)
			host.FreeBytes -= need.Artifact.Bytes
			result.Loads = append(result.Loads, Load{host.ID, need.Artifact})
		}
	}
}

// mostUrgent returns the index of the need with the most demand per copy among those
// that lack copies, or -1.
func mostUrgent(needs []Need, hosts []Host) int {
	best, highest := -1, 0.0
	for i, need := range needs {
		loaded := copies(hosts, need.Artifact)
		if loaded >= need.Servers {
			continue
		}
		if urgency := need.Demand / (float64(loaded) + 0.1); best < 0 || urgency > highest {
			best, highest = i, urgency
		}
	}
	return best
}

func copies(hosts []Host, a Artifact) int {
	n := 0
	for i := range hosts {
		if hosts[i].holds(a) {
			n++
		}
	}
	return n
}

func (h *Host) holds(a Artifact) bool {
	return !h.Leaving && slices.ContainsFunc(h.Loaded, a.sameAs)
}

// fits reports whether the host can load the artifact. An adapter requires its model on
// the same host.
func (h *Host) fits(a Artifact) bool {
	if h.Leaving || h.FreeBytes < a.Bytes || h.holds(a) {
		return false
	}
	return a.Adapter == "" || h.holds(Artifact{Model: a.Model, Version: a.Version})
}

// bestHost returns the host that fits and has the fewest copies in its data centre, then
// the lowest utilization and ID. It returns nil if no host fits.
func bestHost(hosts []Host, a Artifact) *Host {
	copiesInCentre := func(h *Host) int {
		n := 0
		for i := range hosts {
			if hosts[i].DataCentre == h.DataCentre && hosts[i].holds(a) {
				n++
			}
		}
		return n
	}
	var best *Host
	for i := range hosts {
		h := &hosts[i]
		if !h.fits(a) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(copiesInCentre(h), copiesInCentre(best)), cmp.Compare(h.Utilization, best.Utilization), cmp.Compare(h.ID, best.ID)) < 0 {
			best = h
		}
	}
	return best
}
