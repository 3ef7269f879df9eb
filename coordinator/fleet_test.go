package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/routes"
)

// market is a cloud that notes orders and answers as it is told.
type fakeCloud struct {
	fleet           *fleet
	member          *member
	now             time.Time
	servers         []directory.Server
	orders          []DesiredServers
	runningRequests int // requests
	respond         func(w DesiredServers) error
}

// slotsPerServer is how many requests a server runs at once.
const slotsPerServer = 8

// newFakeCloud is one for a service that began with size servers. Each zone has room
// for eight.
func newFakeCloud(size int) *fakeCloud {
	m := &fakeCloud{now: time.Unix(1000, 0), respond: func(DesiredServers) error { return nil }, member: &member{state: newEmptyState()}}
	m.member.state.applySize(sizeCommand{Service: "chat", Servers: size})
	table := routes.NewTable(&routes.Catalogue{Services: []routes.Service{{
		Name: "chat", Scaling: &routes.Scaling{Min: 0, Max: 8, SpotPrice: 0.3, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}},
	}}})
	m.fleet = &fleet{
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return m.now }, routeTable: func() *routes.Table { return table },
		servers: func(time.Time) []directory.Server { return m.servers }, announceEvery: time.Second, running: func([]string) int { return m.runningRequests },
		work: newWorkTable(), discoveries: make(map[string]*discovery), demands: make(map[string]*demand),
		sendOrder: func(_ context.Context, w DesiredServers) error {
			m.orders = append(m.orders, w)
			return m.respond(w)
		},
	}
	m.fleet.reset()
	return m
}

// step looks at the fleet some time later and returns the orders given.
func (m *fakeCloud) step(elapsed time.Duration) []DesiredServers {
	m.now = m.now.Add(elapsed)
	m.orders = nil
	m.fleet.observe()
	m.fleet.step(context.Background(), m.member)
	return m.orders
}

// observe only notes which servers there are, some time later.
func (m *fakeCloud) observe(elapsed time.Duration) {
	m.now = m.now.Add(elapsed)
	m.fleet.observe()
}

// addServers makes so many reclaimable servers addServers in a zone.
func (m *fakeCloud) addServers(zone string, n int) {
	for i := range n {
		m.servers = append(m.servers, directory.Server{Announcement: instance.Announcement{
			ID: fmt.Sprint(zone, i), Zone: zone, Class: directory.ClassReclaimable, State: instance.StateServing, Services: []string{"chat"}, Slots: slotsPerServer,
		}})
	}
}

func orderedCounts(orders []DesiredServers, zone string, reclaimable bool) []int {
	var counts []int
	for _, w := range orders {
		if w.Zone == zone && w.Reclaimable == reclaimable {
			counts = append(counts, w.Count)
		}
	}
	return counts
}

// An order is accepted, but its servers do not come. It is given again after a
// while, and not at each look.
func TestOrderIsRepeatedWhileServersAreMissing(t *testing.T) {
	m := newFakeCloud(4)
	require.Equal(t, []int{2}, orderedCounts(m.step(time.Second), "a", true))
	require.Empty(t, orderedCounts(m.step(time.Second), "a", true))
	require.Equal(t, []int{2}, orderedCounts(m.step(repeatInterval), "a", true))
	for _, zone := range []string{"a", "b", "c"} {
		m.addServers(zone, 2)
	}
	require.Empty(t, orderedCounts(m.step(repeatInterval), "a", true))
}

// None are to be had. They are asked for again soon, but not at each look: the
// cloud takes few calls, and those of all others count too.
func TestRefusedOrderIsRetriedAfterDelay(t *testing.T) {
	m := newFakeCloud(4)
	m.respond = func(w DesiredServers) error {
		if w.Reclaimable {
			return ErrNoCapacity
		}
		return nil
	}
	require.Len(t, orderedCounts(m.step(time.Second), "b", true), 1)
	require.Empty(t, orderedCounts(m.step(planInterval), "b", true))
	require.Len(t, orderedCounts(m.step(refusedRetryDelay), "b", true), 1)
}

// A wave takes a zone's servers, and reclaimable ones are not to be had there. The room
// that was kept for them is for on-demand ones now. They boot for seconds: they are
// ordered in the same step and not at the next look, or callers wait that much longer.
//
// It breaks if all orders of a step come from one plan.
func TestRefusedOrderFallsBackToOnDemandInSameStep(t *testing.T) {
	m := newFakeCloud(16)
	for _, zone := range []string{"a", "b", "c"} {
		m.addServers(zone, 8)
	}
	require.Len(t, m.step(time.Second), 6)
	m.servers = slices.DeleteFunc(m.servers, func(s directory.Server) bool { return s.Zone == "c" })
	m.respond = func(w DesiredServers) error {
		if w.Reclaimable && w.Zone == "c" {
			return ErrNoCapacity
		}
		return nil
	}
	orders := m.step(repeatInterval)
	require.Equal(t, []int{8}, orderedCounts(orders, "c", true))
	require.Equal(t, []int{8}, orderedCounts(orders, "c", false))
	require.Empty(t, m.step(planInterval), "nothing is left to be ordered")
}

// Two of three zones are lost. A single burst of arrivals orders no servers; a load that
// lasts for seconds orders what would serve it without the last zone.
//
// It breaks if the load is not smoothed, or not looked at.
func TestSustainedLoadOrdersOnDemandServers(t *testing.T) {
	m := newFakeCloud(4)
	m.addServers("a", 2)
	onDemand := func(orders []DesiredServers) (n int) {
		for _, w := range orders {
			if !w.Reclaimable {
				n += w.Count
			}
		}
		return n
	}
	m.runningRequests = 1
	m.observe(planInterval)
	m.observe(planInterval)
	require.Equal(t, 2, onDemand(m.step(time.Second)), "two more for the need")
	m.runningRequests = 4 * slotsPerServer
	require.Zero(t, onDemand(m.step(planInterval)), "a burst")
	highest := 0
	for range 8 {
		highest = max(highest, onDemand(m.step(planInterval)))
	}
	require.GreaterOrEqual(t, highest, 2, "the other zone's part as well")
}

// A leader is elected in the middle of a wave. It does not wait for seconds until it
// knows the load, which it could see before.
//
// It breaks if a new lead forgets the load, or if the smoothed load begins at nothing.
func TestNewLeaderUsesLoadObservedBefore(t *testing.T) {
	m := newFakeCloud(4)
	m.addServers("a", 2)
	m.runningRequests = 8 * slotsPerServer
	m.observe(planInterval)
	m.observe(planInterval)
	m.fleet.reset()
	onDemand := 0
	for _, w := range m.step(time.Second) {
		if !w.Reclaimable {
			onDemand += w.Count
		}
	}
	require.Equal(t, 4, onDemand)
}

// A wave has taken a zone's servers. They said that they leave, and then nothing more.
// The room that they had is for others, as soon as they are gone: kept for minutes, it
// would leave the load without the servers that it needs.
//
// It breaks if servers that leave count until they are forgotten.
func TestDepartedServersFreeTheirCapacity(t *testing.T) {
	m := newFakeCloud(16)
	m.addServers("a", 8)
	m.addServers("b", 8)
	m.addServers("c", 8)
	for i := range m.servers {
		if m.servers[i].Zone == "c" {
			m.servers[i].State = instance.StateLeaving
		}
	}
	m.respond = func(w DesiredServers) error {
		if w.Reclaimable && w.Zone == "c" {
			return ErrNoCapacity
		}
		return nil
	}
	require.Equal(t, []int{0}, orderedCounts(m.step(time.Second), "c", false), "they are still there")
	for i := range m.servers {
		if m.servers[i].Zone == "c" {
			m.servers[i].HeartbeatAge = 3 * time.Second
		}
	}
	require.Equal(t, []int{8}, orderedCounts(m.step(time.Second), "c", false))
}

// The cloud is silent. One order waits for it, and not six one after the other: the
// usage reports of the same leader would be late.
//
// It breaks if step goes on after an order without an answer.
func TestUnansweredOrderEndsTheStep(t *testing.T) {
	m := newFakeCloud(4)
	m.respond = func(DesiredServers) error { return errors.New("no answer") }
	require.Len(t, m.step(time.Second), 1)
	require.Len(t, m.step(time.Second), 1, "and it is given again")
}

// The first leader of a group has no predecessor whose calls could still be on their
// way. Every later one has, and waits until the lease of that one is over.
//
// The first part breaks if every leader waits: a fleet is paid at the dearest price for
// as long.
func TestLaterLeadersWaitForTheLease(t *testing.T) {
	require.True(t, mayAct(firstTerm, 0, time.Second))
	require.False(t, mayAct(firstTerm+1, time.Second-1, time.Second))
	require.True(t, mayAct(firstTerm+1, time.Second, time.Second))
}

// Servers announce themselves within a heartbeat of each other. Their number is noted
// once no further one has come for longer than that, also by a replica that was elected
// only then: what was noted too early would be taken for the need for good.
func TestInitialSizeWaitsForLateServers(t *testing.T) {
	m := newFakeCloud(0)
	m.addServers("a", 1)
	m.observe(time.Second)
	require.False(t, m.fleet.allServersKnown("chat"))
	m.addServers("b", 2)
	m.observe(time.Second)
	require.False(t, m.fleet.allServersKnown("chat"), "two more have just come")
	m.fleet.reset() // another lead
	m.observe(2 * time.Second)
	require.True(t, m.fleet.allServersKnown("chat"))
}

// Servers keep coming, one a heartbeat. Their number is noted all the same.
func TestInitialSizeWaitIsBounded(t *testing.T) {
	m := newFakeCloud(0)
	for i := range 8 {
		m.addServers(fmt.Sprint("zone", i), 1)
		m.observe(time.Second)
	}
	require.True(t, m.fleet.allServersKnown("chat"))
}
