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
	fleet   *fleet
	member  *member
	now     time.Time
	servers []directory.Server
	orders  []DesiredServers
	running int // requests
	answer  func(w DesiredServers) error
}

// slotsEach is how many requests a server runs at once.
const slotsEach = 8

// newFakeCloud is one for a service that began with size servers. Each zone has room
// for eight.
func newFakeCloud(size int) *fakeCloud {
	m := &fakeCloud{now: time.Unix(1000, 0), answer: func(DesiredServers) error { return nil }, member: &member{state: emptyState()}}
	m.member.state.applySize(sizeCommand{Service: "chat", Servers: size})
	table := routes.NewTable(&routes.Catalogue{Services: []routes.Service{{
		Name: "chat", Scaling: &routes.Scaling{Min: 0, Max: 8, SpotPrice: 0.3, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}},
	}}})
	m.fleet = &fleet{
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return m.now }, table: func() *routes.Table { return table },
		servers: func(time.Time) []directory.Server { return m.servers }, announceEvery: time.Second, running: func([]string) int { return m.running },
		work: newWorkBook(), joined: make(map[string]*joining), demands: make(map[string]*demand),
		give: func(_ context.Context, w DesiredServers) error {
			m.orders = append(m.orders, w)
			return m.answer(w)
		},
	}
	m.fleet.reset()
	return m
}

// step looks at the fleet some time later and returns the orders given.
func (m *fakeCloud) step(later time.Duration) []DesiredServers {
	m.now = m.now.Add(later)
	m.orders = nil
	m.fleet.observe()
	m.fleet.step(context.Background(), m.member)
	return m.orders
}

// look only notes which servers there are, some time later.
func (m *fakeCloud) look(later time.Duration) {
	m.now = m.now.Add(later)
	m.fleet.observe()
}

// serve makes so many reclaimable servers serve in a zone.
func (m *fakeCloud) serve(zone string, n int) {
	for i := range n {
		m.servers = append(m.servers, directory.Server{Announcement: instance.Announcement{
			ID: fmt.Sprint(zone, i), Zone: zone, Class: directory.ClassReclaimable, State: instance.StateServing, Services: []string{"chat"}, Slots: slotsEach,
		}})
	}
}

func wants(orders []DesiredServers, zone string, reclaimable bool) []int {
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
	require.Equal(t, []int{2}, wants(m.step(time.Second), "a", true))
	require.Empty(t, wants(m.step(time.Second), "a", true))
	require.Equal(t, []int{2}, wants(m.step(repeatEvery), "a", true))
	for _, zone := range []string{"a", "b", "c"} {
		m.serve(zone, 2)
	}
	require.Empty(t, wants(m.step(repeatEvery), "a", true))
}

// None are to be had. They are asked for again soon, but not at each look: the
// cloud takes few calls, and those of all others count too.
func TestRefusedOrderWaits(t *testing.T) {
	m := newFakeCloud(4)
	m.answer = func(w DesiredServers) error {
		if w.Reclaimable {
			return ErrNoCapacity
		}
		return nil
	}
	require.Len(t, wants(m.step(time.Second), "b", true), 1)
	require.Empty(t, wants(m.step(planEvery), "b", true))
	require.Len(t, wants(m.step(refusedFor), "b", true), 1)
}

// A wave takes a zone's servers, and reclaimable ones are not to be had there. The room
// that was kept for them is for on-demand ones now. They boot for seconds: they are
// ordered in the same step and not at the next look, or callers wait that much longer.
//
// It breaks if all orders of a step come from one plan.
func TestRefusedOrderIsMadeGoodInTheSameStep(t *testing.T) {
	m := newFakeCloud(16)
	for _, zone := range []string{"a", "b", "c"} {
		m.serve(zone, 8)
	}
	require.Len(t, m.step(time.Second), 6)
	m.servers = slices.DeleteFunc(m.servers, func(s directory.Server) bool { return s.Zone == "c" })
	m.answer = func(w DesiredServers) error {
		if w.Reclaimable && w.Zone == "c" {
			return ErrNoCapacity
		}
		return nil
	}
	orders := m.step(repeatEvery)
	require.Equal(t, []int{8}, wants(orders, "c", true))
	require.Equal(t, []int{8}, wants(orders, "c", false))
	require.Empty(t, m.step(planEvery), "nothing is left to be ordered")
}

// Two of three zones are lost. A single burst of arrivals orders no servers; a load that
// lasts for seconds orders what would serve it without the last zone.
//
// It breaks if the load is not smoothed, or not looked at.
func TestLoadThatLastsHasAStandIn(t *testing.T) {
	m := newFakeCloud(4)
	m.serve("a", 2)
	onDemand := func(orders []DesiredServers) (n int) {
		for _, w := range orders {
			if !w.Reclaimable {
				n += w.Count
			}
		}
		return n
	}
	m.running = 1
	m.look(planEvery)
	m.look(planEvery)
	require.Equal(t, 2, onDemand(m.step(time.Second)), "two more for the need")
	m.running = 4 * slotsEach
	require.Zero(t, onDemand(m.step(planEvery)), "a burst")
	most := 0
	for range 8 {
		most = max(most, onDemand(m.step(planEvery)))
	}
	require.GreaterOrEqual(t, most, 2, "the other zone's part as well")
}

// A leader is elected in the middle of a wave. It does not wait for seconds until it
// knows the load, which it could see before.
//
// It breaks if a new lead forgets the load, or if the smoothed load begins at nothing.
func TestNewLeaderKnowsTheLoad(t *testing.T) {
	m := newFakeCloud(4)
	m.serve("a", 2)
	m.running = 8 * slotsEach
	m.look(planEvery)
	m.look(planEvery)
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
func TestRoomOfServersThatHaveLeft(t *testing.T) {
	m := newFakeCloud(16)
	m.serve("a", 8)
	m.serve("b", 8)
	m.serve("c", 8)
	for i := range m.servers {
		if m.servers[i].Zone == "c" {
			m.servers[i].State = instance.StateLeaving
		}
	}
	m.answer = func(w DesiredServers) error {
		if w.Reclaimable && w.Zone == "c" {
			return ErrNoCapacity
		}
		return nil
	}
	require.Equal(t, []int{0}, wants(m.step(time.Second), "c", false), "they are still there")
	for i := range m.servers {
		if m.servers[i].Zone == "c" {
			m.servers[i].HeartbeatAge = 3 * time.Second
		}
	}
	require.Equal(t, []int{8}, wants(m.step(time.Second), "c", false))
}

// The cloud is silent. One order waits for it, and not six one after the other: the
// usage reports of the same leader would be late.
//
// It breaks if step goes on after an order without an answer.
func TestSilentCloudHoldsUpOneOrder(t *testing.T) {
	m := newFakeCloud(4)
	m.answer = func(DesiredServers) error { return errors.New("no answer") }
	require.Len(t, m.step(time.Second), 1)
	require.Len(t, m.step(time.Second), 1, "and it is given again")
}

// The first leader of a group has no predecessor whose calls could still be on their
// way. Every later one has, and waits until the lease of that one is over.
//
// The first part breaks if every leader waits: a fleet is paid at the dearest price for
// as long.
func TestOnlyTheFirstLeaderActsAtOnce(t *testing.T) {
	require.True(t, mayAct(firstTerm, 0, time.Second))
	require.False(t, mayAct(firstTerm+1, time.Second-1, time.Second))
	require.True(t, mayAct(firstTerm+1, time.Second, time.Second))
}

// Servers announce themselves within a heartbeat of each other. Their number is noted
// once no further one has come for longer than that, also by a replica that was elected
// only then: what was noted too early would be taken for the need for good.
func TestSizeIsNotedOnceNoFurtherServersCome(t *testing.T) {
	m := newFakeCloud(0)
	m.serve("a", 1)
	m.look(time.Second)
	require.False(t, m.fleet.settled("chat"))
	m.serve("b", 2)
	m.look(time.Second)
	require.False(t, m.fleet.settled("chat"), "two more have just come")
	m.fleet.reset() // another lead
	m.look(2 * time.Second)
	require.True(t, m.fleet.settled("chat"))
}

// Servers keep coming, one a heartbeat. Their number is noted all the same.
func TestSizeIsNotedWhileServersKeepComing(t *testing.T) {
	m := newFakeCloud(0)
	for i := range 8 {
		m.serve(fmt.Sprint("zone", i), 1)
		m.look(time.Second)
	}
	require.True(t, m.fleet.settled("chat"))
}
