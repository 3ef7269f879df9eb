package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/supply"
	"savoryreel.example/savoryreel/routes"
)

const (
	// planInterval is the interval at which server orders are planned.
	planInterval = 250 * time.Millisecond
	// repeatInterval is the interval at which an accepted order is repeated while its
	// servers are missing: the cloud may have lost it or reclaimed the servers.
	repeatInterval = 3 * time.Second
	// refusedRetryDelay is the delay before an order that was refused for lack of capacity
	// is repeated.
	refusedRetryDelay = 750 * time.Millisecond
)

// orderState is the outcome of the last order in a capacity pool.
type orderState struct {
	count    int
	placedAt time.Time
	pending  bool // the outcome is unknown
	refused  bool // the pool had no capacity
}

// orderKey identifies the servers of a service in one capacity pool.
type orderKey struct {
	service string
	pool    supply.CapacityPool
}

// fleet orders backend servers while this replica leads.
type fleet struct {
	log              *slog.Logger
	now              func() time.Time
	eachServer       func(now time.Time, fn func(rec *directory.Server))
	announceInterval time.Duration // heartbeat interval of the servers
	routeTable       func() *routes.Table
	sendOrder        func(ctx context.Context, w DesiredServers) error
	running          func(servers []string) int // running requests at the servers
	work             *workTable
	rollout          func(service string) (api.Rollout, bool) // the last one of a service

	orders      map[orderKey]*orderState // of this lead
	lastPlanned time.Time

	// Observed by every replica, whether it leads or not.
	lastObserved time.Time
	discoveries  map[string]*discovery
	demands      map[string]*demand
}

// reset drops the orders of an earlier lead, since another leader may have placed
// others.
func (f *fleet) reset() {
	f.orders = make(map[orderKey]*orderState)
}

// step places the orders that are due, at most every planInterval.
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
	counts := f.countServers(now)
	for i := range t.Catalogue().Services {
		s := &t.Catalogue().Services[i]
		if s.Scaling == nil {
			continue
		}
		f.orderForService(ctx, m, s, counts[s.Name], now)
	}
}

// countServers counts the servers of each service that has any, without those of a version that a rollout
// does not count.
func (f *fleet) countServers(now time.Time) map[string]*serverCount {
	counts := make(map[string]*serverCount)
	f.eachServer(now, func(rec *directory.Server) {
		for _, name := range rec.Services {
			if last, exists := f.rollout(name); exists && !countsForOrders(&last, rec.Version) {
				continue
			}
			count := counts[name]
			if count == nil {
				count = newServerCount()
				counts[name] = count
			}
			count.add(rec, f.announceInterval+maxRelayDelay)
		}
	})
	return counts
}

// countsForOrders reports whether servers of a version count for new orders. The candidate's do not before
// the rollout is completed: stable servers would be stopped for them. Those that get no requests any more,
// and that the platform stops or drains, never do.
func countsForOrders(last *api.Rollout, version string) bool {
	return !last.Excludes(version) && (last.Phase.Ended() || version != last.To)
}

// maxRelayDelay is the longest delay of a heartbeat from the replica that receives it.
const maxRelayDelay = follow.DefaultWait

// orderForService places the orders for one service. It stops at an order that the cloud
// does not answer. The service's initial size is read from the log: a leader elected
// during a wave of reclaims would otherwise take the remaining servers for the size that
// is needed. count is nil if the service has no server.
func (f *fleet) orderForService(ctx context.Context, m *member, s *routes.Service, count *serverCount, now time.Time) {
	if count == nil {
		count = newServerCount()
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
	// Reclaimable servers first: those that are refused are replaced by on-demand servers in
	// the same step, without waiting for the next plan.
	for _, reclaimable := range []bool{true, false} {
		in.Ordered, in.Unavailable = f.acceptedCounts(s.Name), f.refusedPools(s.Name, now)
		if !f.orderPools(ctx, s.Name, &in, reclaimable, now) {
			return
		}
	}
}

// orderPools places the due orders of the reclaimable or of the on-demand pools, and
// reports whether the cloud answered all of them.
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

// proposeInitialSize commits a service's initial size once all of its servers have had
// time to announce themselves.
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

// acceptedCounts returns the counts of the last orders that the cloud accepted.
func (f *fleet) acceptedCounts(service string) map[supply.CapacityPool]int {
	out := make(map[supply.CapacityPool]int)
	for key, o := range f.orders {
		if key.service == service && !o.refused && !o.pending {
			out[key.pool] = o.count
		}
	}
	return out
}

// refusedPools returns the pools whose last order was refused within
// 2*refusedRetryDelay.
func (f *fleet) refusedPools(service string, now time.Time) map[supply.CapacityPool]bool {
	out := make(map[supply.CapacityPool]bool)
	for key, o := range f.orders {
		if key.service == service && o.refused && now.Sub(o.placedAt) < 2*refusedRetryDelay {
			out[key.pool] = true
		}
	}
	return out
}

// serverCount counts the servers of a service by capacity pool.
type serverCount struct {
	serving map[supply.CapacityPool]int // not leaving
	present map[supply.CapacityPool]int // including those that are leaving
	total   int                         // of serving
}

func newServerCount() *serverCount {
	return &serverCount{serving: make(map[supply.CapacityPool]int), present: make(map[supply.CapacityPool]int)}
}

// add counts a server unless it is unreachable, or is leaving and its last heartbeat is
// older than maxHeartbeatAge: such a server has stopped, and its capacity can be ordered
// again.
func (c *serverCount) add(rec *directory.Server, maxHeartbeatAge time.Duration) {
	pool := supply.CapacityPool{Zone: rec.Zone, Reclaimable: rec.Class == directory.ClassReclaimable}
	if rec.Unreachable || rec.State != instance.StateServing && rec.HeartbeatAge > maxHeartbeatAge {
		return
	}
	c.present[pool]++
	if rec.State == instance.StateServing {
		c.serving[pool]++
		c.total++
	}
}

// zonesOf returns the zones of a service with their prices, sorted by name.
func zonesOf(s *routes.Scaling) []supply.Zone {
	var zones []supply.Zone
	for _, name := range slices.SortedFunc(maps.Keys(s.ZonePrices), strings.Compare) {
		zones = append(zones, supply.Zone{Name: name, Price: s.ZonePrices[name]})
	}
	return zones
}

// due reports whether an order is to be placed: it is new, its outcome is unknown, or
// its servers are missing and the delay since the last attempt has passed.
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

// placeOrder places an order and reports whether the cloud answered.
func (f *fleet) placeOrder(ctx context.Context, service string, o supply.Order, serving, need int, now time.Time) bool {
	err := f.sendOrder(ctx, DesiredServers{Service: service, Zone: o.Zone, Reclaimable: o.Reclaimable, Count: o.Count})
	refused := errors.Is(err, ErrNoCapacity)
	f.orders[orderKey{service, o.CapacityPool}] = &orderState{count: o.Count, placedAt: now, refused: refused, pending: err != nil && !refused}
	event.Log(ctx, f.log, slog.LevelInfo, event.PlacementChosen, slog.String("service", service), slog.String("zone", o.Zone),
		slog.Bool("reclaimable", o.Reclaimable), slog.Int("count", o.Count), slog.Int("serving", serving), slog.Int("need", need), slog.Any("error", err))
	return err == nil || refused
}
