package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
	"savoryreel.example/savoryreel/routes"
)

const (
	// planEvery is how often the fleet is looked at. A wave gives two seconds of
	// notice; servers boot in four.
	planEvery = 500 * time.Millisecond
	// repeatEvery is how often an order that was accepted is given again while the
	// servers that it asks for are not there: the cloud may have lost it, or what it
	// had may have been taken away since.
	repeatEvery = 3 * time.Second
	// refusedFor is how long a kind that is not to be had is not asked for.
	refusedFor = 1500 * time.Millisecond
)

// ordered is what became of the last order of a kind.
type ordered struct {
	count   int
	at      time.Time
	pending bool // it got no clear answer
	refused bool
}

// orderKey names what is ordered.
type orderKey struct {
	service string
	kind    supply.Kind
}

// fleet orders backend servers while this replica leads.
type fleet struct {
	log     *slog.Logger
	now     func() time.Time
	servers func() []directory.Server
	table   func() *routes.Table
	give    func(ctx context.Context, w Want) error

	running func(server string) int

	needs   map[string]*supply.Demand // by service
	orders  map[orderKey]*ordered
	planned time.Time
}

// reset forgets the orders of an earlier lead: another holder may have given
// others since.
func (f *fleet) reset() {
	f.orders = make(map[orderKey]*ordered)
	f.needs = make(map[string]*supply.Demand)
}

// step gives the orders that are due, at most one each time, so that a slow cloud
// holds up nothing else for long.
func (f *fleet) step(ctx context.Context) {
	now := f.now()
	if now.Sub(f.planned) < planEvery {
		return
	}
	f.planned = now
	t := f.table()
	if t == nil {
		return
	}
	servers := f.servers()
	for i := range t.Catalogue().Services {
		s := &t.Catalogue().Services[i]
		if s.Scaling == nil {
			continue
		}
		f.service(ctx, s, servers, now)
	}
}

func (f *fleet) service(ctx context.Context, s *routes.Service, servers []directory.Server, now time.Time) {
	count := census{serving: make(map[supply.Kind]int), present: make(map[supply.Kind]int)}
	for i := range servers {
		if rec := &servers[i]; slices.Contains(rec.Services, s.Name) {
			count.add(rec, f.running(rec.ID))
		}
	}
	demand := f.needs[s.Name]
	if demand == nil {
		if count.total == 0 {
			return // nothing has announced itself yet
		}
		demand = supply.NewDemand(count.total)
		f.needs[s.Name] = demand
	}
	need := demand.Note(now, count.running, slotsOf(s, &count))
	orders := supply.Plan(supply.Input{
		Zones: zonesOf(s.Scaling), Min: s.Scaling.Min, Max: s.Scaling.Max, SpotPrice: s.Scaling.SpotPrice,
		Need: need, Serving: count.serving, Present: count.present, Closed: f.closed(s.Name, now),
	})
	for _, o := range orders {
		f.order(ctx, s.Name, o, count.serving[o.Kind], need, now)
	}
}

// slotsOf is how many requests one server runs side by side.
func slotsOf(s *routes.Service, count *census) int {
	switch {
	case s.Engine != nil && s.Engine.Slots > 0:
		return s.Engine.Slots
	case count.total > 0:
		return count.slots / count.total
	default:
		return 1
	}
}

// closed returns the kinds that were refused lately.
func (f *fleet) closed(service string, now time.Time) map[supply.Kind]bool {
	out := make(map[supply.Kind]bool)
	for key, o := range f.orders {
		if key.service == service && o.refused && now.Sub(o.at) < 2*refusedFor {
			out[key.kind] = true
		}
	}
	return out
}

// census counts the servers of a service.
type census struct {
	serving map[supply.Kind]int // and not about to leave
	present map[supply.Kind]int // also those that leave
	total   int                 // serving
	slots   int                 // of those that serve
	running int                 // requests at all of them
}

func (c *census) add(rec *directory.Server, running int) {
	kind := supply.Kind{Zone: rec.Zone, Reclaimable: rec.Class == directory.ClassReclaimable}
	c.running += running
	if rec.Silent {
		return
	}
	c.present[kind]++
	if rec.State == instance.StateServing {
		c.serving[kind]++
		c.total++
		c.slots += rec.Slots
	}
}

func zonesOf(s *routes.Scaling) []supply.Zone {
	var zones []supply.Zone
	for _, name := range slices.SortedFunc(maps.Keys(s.ZonePrices), strings.Compare) {
		zones = append(zones, supply.Zone{Name: name, Price: s.ZonePrices[name]})
	}
	return zones
}

// order gives an order if it is new, or if what it asked for has not come.
func (f *fleet) order(ctx context.Context, service string, o supply.Order, serving, need int, now time.Time) {
	key := orderKey{service, o.Kind}
	last := f.orders[key]
	if last != nil {
		age := now.Sub(last.at)
		same := last.count == o.Count && !last.pending && !last.refused
		switch {
		case last.refused && last.count == o.Count && age < refusedFor:
			return
		case same && (serving == o.Count || age < repeatEvery):
			return
		}
	}
	err := f.give(ctx, Want{Service: service, Zone: o.Zone, Reclaimable: o.Reclaimable, Count: o.Count})
	f.orders[key] = &ordered{count: o.Count, at: now, refused: errors.Is(err, ErrNoneToBeHad), pending: err != nil}
	event.Log(ctx, f.log, slog.LevelInfo, event.PlacementChosen, slog.String("service", service), slog.String("zone", o.Zone),
		slog.Bool("reclaimable", o.Reclaimable), slog.Int("count", o.Count), slog.Int("serving", serving), slog.Int("need", need), slog.String("error", errorText(err)))
}
