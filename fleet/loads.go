package fleet

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/scale"
)

// Model is a model that servers may be ordered to load.
type Model struct {
	Name    string `msgpack:"model"`
	Version string `msgpack:"version"`
}

// ModelLoad is a model load that was ordered and has not been seen to finish.
type ModelLoad struct {
	Server      string    `msgpack:"server"`
	Incarnation uint64    `msgpack:"inc"`
	Model       Model     `msgpack:"load"`
	At          time.Time `msgpack:"at"`
}

// loadTimeout is the age at which an unfinished load counts as failed.
const loadTimeout = 15 * time.Minute

// placeModels orders servers without a model to load one. The throughput of the
// weight store bounds the number of concurrent loads. Loads are committed before
// the orders are sent, so that a new leader counts the loads in progress and does
// not order them again.
func (m *Manager) placeModels(ctx context.Context, state State) (State, error) {
	if m.cfg.StoreRate <= 0 {
		return state, nil
	}
	servers := m.deps.Members.View().AllServers()
	next := state
	next.Loads = m.unfinishedLoads(state.Loads)
	placement := scale.Place(scale.PlaceInput{
		Hosts: m.modelHosts(servers, next.Loads), Needs: m.modelNeeds(servers),
		StoreRate: m.cfg.StoreRate, MinLoadRate: m.cfg.MinLoadRate, LoadsInProgress: len(next.Loads),
	})
	inProgress := len(next.Loads)
	for _, l := range placement.Loads {
		s, _ := m.deps.Members.View().Server(l.Host)
		next.Loads = append(next.Loads, ModelLoad{
			Server: s.ID, Incarnation: s.Incarnation, At: m.deps.Now(),
			Model: Model{Name: l.Artifact.Model, Version: l.Artifact.Version},
		})
	}
	if len(placement.Loads) == 0 && inProgress == len(state.Loads) {
		return state, nil
	}
	next, err := m.commit(ctx, next)
	if err != nil {
		return next, err
	}
	return m.orderLoads(ctx, next, next.Loads[inProgress:], placement.Deferred)
}

// unfinishedLoads returns the loads that are still in progress.
func (m *Manager) unfinishedLoads(loads []ModelLoad) []ModelLoad {
	return slices.DeleteFunc(slices.Clone(loads), func(l ModelLoad) bool {
		s, known := m.deps.Members.View().Server(l.Server)
		ended := !known || s.State != instance.StateServing || s.Incarnation != l.Incarnation
		return ended || s.Model != "" || m.deps.Now().Sub(l.At) > loadTimeout
	})
}

// orderLoads sends the orders, and removes the loads whose order was certainly not
// followed. A load with an unknown outcome may be in progress and stays.
func (m *Manager) orderLoads(ctx context.Context, state State, loads []ModelLoad, deferred int) (State, error) {
	errs := make([]error, len(loads))
	var wg sync.WaitGroup
	for i, l := range loads {
		s, _ := m.deps.Members.View().Server(l.Server)
		event.Log(ctx, m.deps.Logger, slog.LevelInfo, event.PlacementChosen, slog.String("load", l.Model.Name),
			slog.String("version", l.Model.Version), slog.String("server", l.Server), slog.Int("paced", deferred))
		wg.Go(func() {
			errs[i] = m.deps.Orders.Send(ctx, s.Address, native.Order{
				Kind: native.OrderLoadModel, Model: l.Model.Name, Version: l.Model.Version,
			})
		})
	}
	wg.Wait()
	next := state
	next.Loads = slices.DeleteFunc(slices.Clone(state.Loads), func(l ModelLoad) bool {
		i := slices.Index(loads, l)
		return i >= 0 && provesNotRun(errs[i])
	})
	if len(next.Loads) == len(state.Loads) {
		return state, nil
	}
	return m.commit(ctx, next)
}

// provesNotRun reports whether an error of Send proves that the server did not
// follow the order.
func provesNotRun(err error) bool {
	notSent := errors.Is(err, ErrNotLeading) || errors.Is(err, ErrInFlight) || errors.Is(err, ErrOutcomeUnknown)
	return err != nil && (notSent || native.NotRun(err))
}

// modelHosts returns the servers that announce no services. One without a model
// has space for a single model, FreeBytes 1, and none while it is loading.
func (m *Manager) modelHosts(servers []*instance.Server, loads []ModelLoad) []scale.Host {
	var out []scale.Host
	for _, s := range servers {
		if len(s.Services) > 0 {
			continue
		}
		h := scale.Host{ID: s.ID, DataCentre: m.dataCentre(s.Zone), Leaving: s.State != instance.StateServing}
		loading := slices.IndexFunc(loads, func(l ModelLoad) bool { return l.Server == s.ID })
		switch {
		case s.Model != "":
			h.Loaded = []scale.Artifact{modelArtifact(Model{s.Model, s.Version})}
		case loading >= 0:
			h.Loaded = []scale.Artifact{modelArtifact(loads[loading].Model)}
		default:
			h.FreeBytes = 1
		}
		out = append(out, h)
	}
	return out
}

// dataCentre returns the data centre of a zone, or the zone's own name if the
// settings do not list it.
func (m *Manager) dataCentre(name string) string {
	for i := range m.cfg.Zones {
		if m.cfg.Zones[i].Name == name {
			return m.cfg.Zones[i].DataCentre
		}
	}
	return name
}

// modelArtifact returns a model as an artifact of size 1, which fills a server.
func modelArtifact(m Model) scale.Artifact {
	return scale.Artifact{Model: m.Name, Version: m.Version, Bytes: 1}
}

// modelNeeds requests every model on every server. The free servers bound the
// loads, and the model with the most demand per copy is placed first.
func (m *Manager) modelNeeds(servers []*instance.Server) []scale.Need {
	var out []scale.Need
	for _, model := range m.deps.Models() {
		need := scale.Need{Artifact: modelArtifact(model), Servers: len(servers), Demand: 1}
		for _, s := range servers {
			if s.Model == model.Name {
				need.Demand += float64(s.Load.Running + s.Load.Waiting)
			}
		}
		out = append(out, need)
	}
	slices.SortFunc(out, func(a, b scale.Need) int { return cmp.Compare(a.Artifact.Model, b.Artifact.Model) })
	return out
}
