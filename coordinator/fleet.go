package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
	"savoryreel.example/savoryreel/routes"
)

const (
	// planInterval is how often the fleet is looked at. A wave gives two seconds of
	// notice and servers boot in four: callers see each part of a second by which an
	// order is late.
	planInterval = 250 * time.Millisecond
	// repeatInterval is how often an order that was accepted is given again while the
	// servers that it asks for are not there: the cloud may have lost it, or what it
	// had may have been taken away since.
	repeatInterval = 3 * time.Second
	// refusedRetryDelay is how long a kind that is not to be had is not asked for. What comes
	// back is cheap, and the next wave may follow within seconds: with twice the time
	// the load was served later, with a third of it no better, for twice the calls.
	refusedRetryDelay = 750 * time.Millisecond
)

// orderState is what became of the last order of a kind.
type orderState struct {
	count    int
	placedAt time.Time
	pending  bool // it got no clear answer
	refused  bool
}

// orderKey names what is ordered.
type orderKey struct {
	service string
	pool    supply.CapacityPool
}

// fleet orders backend servers while this replica leads.
type fleet struct {
	log           *slog.Logger
	now           func() time.Time
	servers       func(now time.Time) []directory.Server
	announceEvery time.Duration // how often a server does
	routeTable    func() *routes.Table
	sendOrder     func(ctx context.Context, w DesiredServers) error
	running       func(servers []string) int // requests that run at servers
	work          *workTable

	orders      map[orderKey]*orderState // of this lead
	lastPlanned time.Time

	// What is known of services, also from before this lead.
	lastObserved time.Time
	discoveries  map[string]*discovery
	demands      map[string]*demand
}

// reset forgets the orders of an earlier lead: another leader may have given
// others since.
func (f *fleet) reset() {
	f.orders = make(map[orderKey]*orderState)
}

// step gives the orders that are due. It stops at one that gets no answer: the
// others would wait for the same silent cloud, and the usage reports behind them.
func (f *fleet) step(ctx context.Context, m *member) {
	now := f.now()
	if now.Sub(f.lastPlanned) < planInterval {
		return
	}
	f.lastPlanned = now
	t := f.routeTable()
	if t == nil {
		return
	}
	servers := f.servers(now)
	for i := range t.Catalogue().Services {
		s := &t.Catalogue().Services[i]
		if s.Scaling == nil {
			continue
		}
		f.orderForService(ctx, m, s, servers, now)
	}
}

// maxRelayDelay is how long a heartbeat takes at most from the replica that hears it.
const maxRelayDelay = follow.DefaultWait

// orderForService gives the orders for one orderForService. How many servers it began with stands in
// the log, since a leader that counted again in the middle of a wave would take what
// the wave has left for what is needed.
func (f *fleet) orderForService(ctx context.Context, m *member, s *routes.Service, servers []directory.Server, now time.Time) {
	count := serverCount{serving: make(map[supply.CapacityPool]int), present: make(map[supply.CapacityPool]int)}
	for i := range servers {
		if rec := &servers[i]; slices.Contains(rec.Services, s.Name) {
			count.add(rec, f.announceEvery+maxRelayDelay)
		}
	}
	initial := m.state.initialSize(s.Name)
	if initial == 0 {
		f.proposeInitialSize(ctx, m, s.Name, count.total)
		return
	}
	demand, rate := f.demand(s.Name), f.work.rate(s.Name)
	need := demand.ServersNeeded(initial, rate)
	in := supply.Input{
		Zones: zonesOf(s.Scaling), Min: s.Scaling.Min, Max: s.Scaling.Max, SpotPrice: s.Scaling.SpotPrice,
		Need: need, InitialServers: initial, Load: demand.ServersForCurrentLoad(rate), Serving: count.serving, Present: count.present,
	}
	// The reclaimable ones first: what is not to be had of them is ordered on demand in
	// the same step. It boots for seconds, in which the load has too few servers.
	for _, reclaimable := range []bool{true, false} {
		in.Ordered, in.Unavailable = f.acceptedCounts(s.Name), f.refusedPools(s.Name, now)
		if !f.orderPools(ctx, s.Name, &in, reclaimable, now) {
			return
		}
	}
}

// orderPools gives the orders of reclaimable or of on-demand servers that are due, and
// reports whether the cloud answered.
func (f *fleet) orderPools(ctx context.Context, service string, in *supply.Input, reclaimable bool, now time.Time) bool {
	for _, o := range supply.Plan(*in) {
		serving := in.Serving[o.CapacityPool]
		if o.Reclaimable != reclaimable || !f.due(orderKey{service, o.CapacityPool}, o.Count, serving, now) {
			continue
		}
		if !f.placeOrder(ctx, service, o, serving, in.Need, now) {
			return false
		}
	}
	return true
}

// proposeInitialSize puts a service's first size into the log once all of its servers have
// had the time to announce themselves.
func (f *fleet) proposeInitialSize(ctx context.Context, m *member, service string, servers int) {
	if servers == 0 || !f.allServersKnown(service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	if err := propose(ctx, m, kindSize, sizeCommand{Service: service, Servers: servers}); err != nil {
		event.Log(ctx, f.log, slog.LevelWarn, event.CloudCallFailed, slog.String("task", "servers"), slog.String("service", service),
			slog.String("step", "note size"), slog.String("error", err.Error()))
	}
}

// acceptedCounts returns the numbers that the cloud accepted last.
func (f *fleet) acceptedCounts(service string) map[supply.CapacityPool]int {
	out := make(map[supply.CapacityPool]int)
	for key, o := range f.orders {
		if key.service == service && !o.refused && !o.pending {
			out[key.pool] = o.count
		}
	}
	return out
}

// refusedPools returns the kinds that were refused lately.
func (f *fleet) refusedPools(service string, now time.Time) map[supply.CapacityPool]bool {
	out := make(map[supply.CapacityPool]bool)
	for key, o := range f.orders {
		if key.service == service && o.refused && now.Sub(o.placedAt) < 2*refusedRetryDelay {
			out[key.pool] = true
		}
	}
	return out
}

// serverCount counts the servers of a service.
type serverCount struct {
	serving map[supply.CapacityPool]int // and not about to leave
	present map[supply.CapacityPool]int // also those that leave
	total   int                         // serving
	ids     []string                    // of all but the silent ones
}

// add counts a server. One that leaves and has not been heard for longer than heardWithin
// has gone, mostly without another word: room that was kept for it would stay empty.
func (c *serverCount) add(rec *directory.Server, maxHeartbeatAge time.Duration) {
	pool := supply.CapacityPool{Zone: rec.Zone, Reclaimable: rec.Class == directory.ClassReclaimable}
	if rec.Unreachable || rec.State != instance.StateServing && rec.HeartbeatAge > maxHeartbeatAge {
		return
	}
	c.present[pool]++
	c.ids = append(c.ids, rec.ID)
	if rec.State == instance.StateServing {
		c.serving[pool]++
		c.total++
	}
}

func zonesOf(s *routes.Scaling) []supply.Zone {
	var zones []supply.Zone
	for _, name := range slices.SortedFunc(maps.Keys(s.ZonePrices), strings.Compare) {
		zones = append(zones, supply.Zone{Name: name, Price: s.ZonePrices[name]})
	}
	return zones
}

// due reports whether an order is new, or what it asked for has not come.
func (f *fleet) due(key orderKey, count, serving int, now time.Time) bool {
	last := f.orders[key]
	if last == nil || last.count != count || last.pending {
		return true
	}
	age := now.Sub(last.placedAt)
	if last.refused {
		return age >= refusedRetryDelay
	}
	return serving != count && age >= repeatInterval
}

// placeOrder gives an placeOrder and reports whether the cloud answered.
func (f *fleet) placeOrder(ctx context.Context, service string, o supply.Order, serving, need int, now time.Time) bool {
	err := f.sendOrder(ctx, DesiredServers{Service: service, Zone: o.Zone, Reclaimable: o.Reclaimable, Count: o.Count})
	refused := errors.Is(err, ErrNoCapacity)
	f.orders[orderKey{service, o.CapacityPool}] = &orderState{count: o.Count, placedAt: now, refused: refused, pending: err != nil && !refused}
	event.Log(ctx, f.log, slog.LevelInfo, event.PlacementChosen, slog.String("service", service), slog.String("zone", o.Zone),
		slog.Bool("reclaimable", o.Reclaimable), slog.Int("count", o.Count), slog.Int("serving", serving), slog.Int("need", need), slog.Any("error", err))
	return err == nil || refused
}
