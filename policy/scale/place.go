package scale

import (
	"cmp"
	"slices"
)

// Artifact is something to load from the weight store: a model, or an adapter
// for one.
type Artifact struct {
	Model   string
	Version string
	Adapter string // empty: the model itself
	Bytes   int64
}

func (a Artifact) sameAs(b Artifact) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Adapter == b.Adapter
}

// Need says on how many servers an artifact should be loaded.
type Need struct {
	Artifact Artifact
	Servers  int
	Demand   float64 // work per second that needs it
}

// Host is a backend server that can load artifacts.
type Host struct {
	ID          string
	DataCentre  string
	Leaving     bool
	Utilization float64    // part of its capacity in use, 0..1
	Loaded      []Artifact // or being loaded
	FreeBytes   int64      // bytes left for more
}

// PlaceInput is what Place looks at.
type PlaceInput struct {
	Hosts           []Host
	Needs           []Need
	StoreRate       float64 // of the weight store, bytes per second
	LoadsInProgress int     // loads under way
	MinLoadRate     float64 // the least rate at which one load is worth starting, bytes per second
}

// Load is an order to load an artifact.
type Load struct {
	Host     string
	Artifact Artifact
}

// Placement is the verdict of Place.
type Placement struct {
	Loads []Load
	// Deferred counts loads put off because the weight store is busy, and NoRoom
	// those for which no server has room.
	Deferred int
	NoSpace  int
}

// Place decides which artifacts to load where. The artifact with the most
// demand per copy it has goes first, to the data centre with the fewest copies
// of it, on the least loaded server there.
//
// Load pattern answered: a wave or a surge after which many servers need weights
// at once from a store with a fixed rate. Without pacing all loads share the
// rate and all end at the very end: n loads begun together are served at 1/n of
// the rate each, so the first server is ready after the time of all n. At most
// Rate/LoadRate run at a time, and the first is ready after that part of it.
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

// mostUrgent returns the need with the most demand per copy among those that lack
// copies, -1 if none does.
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

// fits reports whether the host can load the artifact: an adapter goes where its
// model is.
func (h *Host) fits(a Artifact) bool {
	if h.Leaving || h.FreeBytes < a.Bytes || h.holds(a) {
		return false
	}
	return a.Adapter == "" || h.holds(Artifact{Model: a.Model, Version: a.Version})
}

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
