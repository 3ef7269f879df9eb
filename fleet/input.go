package fleet

import (
	"context"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/scale"
	"savoryreel.example/savoryreel/zone"
)

// unlistedStarts returns the accepted starts that the cloud does not list yet,
// without those older than maxListLag, which count as failed.
func (m *Manager) unlistedStarts(accepted []Accepted, running []native.CloudInstance) []Accepted {
	return slices.DeleteFunc(slices.Clone(accepted), func(a Accepted) bool {
		listed := slices.ContainsFunc(running, func(i native.CloudInstance) bool { return i.ID == a.ID })
		return listed || m.deps.Now().Sub(a.At) > maxListLag
	})
}

// decisionInput returns the input of scale.Scaler.Decide.
func (m *Manager) decisionInput(ctx context.Context, state State, running []native.CloudInstance) (scale.Input, error) {
	prices, err := m.deps.Cloud.Prices(ctx)
	if err != nil {
		return scale.Input{}, trace.Wrap(err, "step=read prices")
	}
	in := scale.Input{Now: m.deps.Now(), Demand: m.demand(), Classes: m.cfg.Classes, Zones: withPrices(m.cfg.Zones, prices)}
	if age := in.Now.Sub(state.Scale.At); age >= 0 && age < m.cfg.DecisionInterval/2 {
		// This decision closely follows another, after a notice or a refused start. A
		// few more requests, extrapolated from so short an interval, would count as a
		// surge, and its extra instances would run for minutes.
		in.Demand = state.Scale.Demand
	}
	for _, a := range state.Accepted {
		in.Fleet = append(in.Fleet, scale.Instance{ID: a.ID, Option: a.Option, Phase: scale.PhaseStarting})
	}
	for _, i := range running {
		ownSite := strings.HasPrefix(i.ClientToken, m.cfg.Site+"/")
		if !ownSite || i.State == native.InstanceReclaimed || i.State == native.InstanceStopped {
			continue
		}
		in.Fleet = append(in.Fleet, scale.Instance{
			ID: i.ID, Option: scale.Option{Zone: i.Zone, Class: i.Class, Market: zone.Market(i.Kind)}, Phase: m.phase(i, state),
		})
	}
	return in, nil
}

func (m *Manager) phase(i native.CloudInstance, state State) scale.Phase {
	if i.State == native.InstanceReclaiming || slices.Contains(state.Stops, i.ID) {
		return scale.PhaseLeaving
	}
	s, known := m.deps.Members.View().Server(i.ID)
	switch {
	case !known || s.State == instance.StateGone:
		return scale.PhaseStarting
	case s.State == instance.StateLeaving:
		return scale.PhaseLeaving
	default:
		return scale.PhaseServing
	}
}

// demand returns the requested work per second: for each server, its class's
// capacity times the ratio of running and waiting requests to slots. The ratio
// exceeds 1 where requests wait.
func (m *Manager) demand() float64 {
	sum := 0.0
	for _, s := range m.deps.Members.View().AllServers() {
		i := slices.IndexFunc(m.cfg.Classes, func(c scale.Class) bool { return c.Name == s.Class })
		if i >= 0 && s.Slots > 0 {
			sum += m.cfg.Classes[i].Capacity * float64(s.Load.Running+s.Load.Waiting) / float64(s.Slots)
		}
	}
	return sum
}

// withPrices returns a copy of the zones with the current prices.
func withPrices(zones []zone.Zone, prices []native.Price) []zone.Zone {
	out := slices.Clone(zones)
	for i := range out {
		out[i].Prices = nil
		for _, p := range prices {
			if p.Zone == out[i].Name {
				out[i].Prices = addPrice(out[i].Prices, p)
			}
		}
	}
	return out
}

func addPrice(list []zone.Price, p native.Price) []zone.Price {
	i := slices.IndexFunc(list, func(x zone.Price) bool { return x.Class == p.Class })
	if i < 0 {
		i = len(list)
		list = append(list, zone.Price{Class: p.Class})
	}
	if p.Kind == native.OnDemand {
		list[i].OnDemand = p.PerHour
	} else {
		list[i].Reclaimable = p.PerHour
	}
	return list
}
