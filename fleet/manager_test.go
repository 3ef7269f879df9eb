package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/scale"
	"savoryreel.example/savoryreel/zone"
)

// site holds a fake cloud, the fleet state and the membership view, without a
// control replica.
type site struct {
	t             require.TestingT
	cloud         *fake.Cloud
	api           *native.CloudClient
	state         State
	view          *instance.View
	recordPuts    int // number of shared records written
	mu            sync.Mutex
	leaveOrders   []string // addresses ordered to leave
	loadOrders    []string // addresses ordered to load a model
	clock         time.Time
	failStep      func() bool // reports whether the leader fails at the next step
	expensiveZone string      // zone with raised prices
	beforeCommit  func()      // called once, before the next commit
}

func newSite(t require.TestingT) (*site, func()) {
	var prices []native.Price
	for i, z := range []string{"z1", "z2", "z3"} {
		prices = append(prices, native.Price{Zone: z, Class: "g1", Kind: native.Reclaimable, PerHour: 1 + float64(i)/10},
			native.Price{Zone: z, Class: "g1", Kind: native.OnDemand, PerHour: 3})
	}
	s := &site{
		t: t, cloud: fake.NewCloud(fake.CloudConfig{Prices: prices}, fake.Deps{}), view: instance.NewView(),
		clock: time.Now(), failStep: func() bool { return false },
	}
	server := httptest.NewServer(s.cloud.Handler())
	s.api = native.NewCloud(native.CloudConfig{Address: strings.TrimPrefix(server.URL, "http://")})
	s.serve("old-1", 8, 8) // loaded to the capacity of one instance
	return s, func() { s.api.Close(); server.Close() }
}

func (s *site) serve(id string, slots, running int) { s.announce(id, "demo", slots, running) }

func (s *site) announce(id, model string, slots, running int) {
	a := instance.Announcement{ID: id, Address: id + ":1", Class: "g1", Model: model, State: instance.StateServing, Slots: slots, Load: instance.Load{Running: running}}
	s.view.Apply([]instance.Update{{Server: &instance.Server{Announcement: a}}})
}

var errLeaderLost = errors.New("leader lost")

// Implements Log.
func (s *site) Fleet(context.Context) (State, error) { return s.state, nil }

func (s *site) Commit(_ context.Context, c Command) (Result, error) {
	if hook := s.beforeCommit; hook != nil {
		s.beforeCommit = nil
		hook()
	}
	if s.failStep() {
		return Result{}, errLeaderLost
	}
	data, err := c.Encode()
	require.NoError(s.t, err)
	result, err := s.state.Apply(data)
	if s.failStep() {
		return Result{}, errLeaderLost
	}
	return result, err
}

// Implements Members, OrderSender and Lease.
func (s *site) View() *instance.View { return s.view }

func (s *site) Put(key string, version uint64, body []byte) {
	s.recordPuts++
	s.view.Apply([]instance.Update{{Record: &instance.Record{Key: key, Version: version, Body: body}}})
}
func (s *site) HoldsLease() (uint64, time.Time, bool) { return 1, s.clock.Add(time.Hour), true }
func (s *site) Send(_ context.Context, address string, order native.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Kind == native.OrderLoadModel {
		s.loadOrders = append(s.loadOrders, address)
		return nil
	}
	s.leaveOrders = append(s.leaveOrders, address)
	return nil
}

// unreliableCloud is the cloud as the leaders see it: it loses answers to starts, its
// prices change, and its list of instances lags behind its answers.
type unreliableCloud struct {
	*native.CloudClient
	site *site
}

func (c unreliableCloud) Start(ctx context.Context, r native.StartRequest) (native.CloudInstance, error) {
	i, err := c.CloudClient.Start(ctx, r)
	if err == nil && c.site.failStep() {
		return i, errLeaderLost
	}
	return i, err
}

func (c unreliableCloud) Prices(ctx context.Context) ([]native.Price, error) {
	prices, err := c.CloudClient.Prices(ctx)
	for i := range prices {
		if prices[i].Zone == c.site.expensiveZone {
			prices[i].PerHour *= 10
		}
	}
	return prices, err
}

func (c unreliableCloud) Instances(context.Context) ([]native.CloudInstance, error) { return nil, nil }

// leader returns a new leader, which has only the log and the view.
func (s *site) leader() *Manager {
	cfg := Config{StoreRate: 250, MinLoadRate: 100, Site: "test", Classes: []scale.Class{{Name: "g1", Capacity: 100}}, Scale: scale.DefaultConfig(), DecisionInterval: time.Minute}
	for _, z := range []string{"z1", "z2", "z3"} {
		cfg.Zones = append(cfg.Zones, zone.Zone{Name: z, Region: "r1", DataCentre: "dc-" + z})
	}
	m, err := NewManager(cfg, Deps{
		Cloud: unreliableCloud{s.api, s}, Log: s, Members: s, Orders: s, Lease: s,
		Models: func() []Model { return []Model{{Name: "demo", Version: "v1"}} },
		Logger: slog.New(slog.DiscardHandler), Now: func() time.Time { return s.clock },
	})
	require.NoError(s.t, err)
	s.clock = s.clock.Add(viewWarmUp)
	return m
}

// startedInstances returns the number of instances started by a sequence of leaders,
// each of which runs one step or fails within it. Each leader finds other prices than
// its predecessor, so its own decision would differ.
func startedInstances(t require.TestingT, fail func() bool) int {
	s, closeSite := newSite(t)
	defer closeSite()
	s.failStep = fail
	for i := range 10 {
		s.expensiveZone = []string{"z1", "z2", "z3"}[i%3]
		_ = s.leader().Step(context.Background()) // the next leader handles failures
	}
	require.Empty(t, s.state.Starts)
	return s.cloud.Stats().Started
}

// Guards against a new leader that repeats the starts of its predecessor, so that
// the site pays for each instance twice. The predecessor fails before or after the
// commit, between two starts, or before the cloud's answer arrives.
//
// Fails without the commit in decide, with a token other than the log's, and
// without Accepted in requestStart.
func TestNewLeaderDoesNotRepeatStarts(t *testing.T) {
	want := startedInstances(t, func() bool { return false })
	require.Positive(t, want)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(t, "faults")
		require.Equal(t, want, startedInstances(t, func() bool {
			if len(faults) == 0 {
				return false
			}
			failed := faults[0]
			faults = faults[1:]
			return failed
		}))
	})
}

// Guards against applying the decision of a suspended leader after another leader
// has decided: the starts of both would be requested.
//
// Fails without the comparison with BaseVersion in State.Apply.
func TestStaleDecisionIsNotApplied(t *testing.T) {
	want := startedInstances(t, func() bool { return false })
	s, closeSite := newSite(t)
	defer closeSite()
	stale := s.leader()
	s.beforeCommit = func() {
		s.expensiveZone = "z1"
		require.NoError(t, s.leader().Step(t.Context()))
	}
	require.ErrorIs(t, stale.Step(t.Context()), errStateConflict)
	require.Equal(t, want, s.cloud.Stats().Started)
	require.NoError(t, s.leader().Step(t.Context()))
	require.Equal(t, want, s.cloud.Stats().Started)
}

// Guards against missing capacity when the cheapest zone has none: the instances
// start in another zone at once, and the full zone is not retried immediately.
func TestRefusedStartsMoveToAnotherZone(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	s.cloud.Refuse("z1")
	m := s.leader()
	require.NoError(t, m.Step(t.Context()))
	running, err := s.api.Instances(t.Context())
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(running), 4, "demand of 100 and headroom 1.2, after the loss of any one data centre")
	refused := s.cloud.Stats().Refused
	require.Positive(t, refused)
	s.clock = s.clock.Add(time.Second)
	require.NoError(t, m.resize(t.Context(), s.state))
	require.Equal(t, refused, s.cloud.Stats().Refused)
}

// Guards against sending requests to a server until its instance is reclaimed. The
// notice is published to every entry, and the server is ordered to leave, by the
// next leader if it was missing from the first leader's view.
//
// Fails without orderNoticedToLeave in Step; without LastNotice the record is
// written twice.
func TestNoticeIsPublishedAndServerOrderedToLeave(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	reclaimed, err := s.api.Start(t.Context(), native.StartRequest{ClientToken: "test/x", Zone: "z1", Class: "g1", Kind: native.Reclaimable})
	require.NoError(t, err)
	wave := s.cloud.Wave("z1", time.Hour)
	require.NoError(t, s.leader().Step(t.Context()))
	require.Empty(t, s.leaveOrders)
	s.serve(reclaimed.ID, 8, 0)
	next := s.leader()
	for range 2 {
		require.NoError(t, next.Step(t.Context()))
	}
	require.Equal(t, []string{reclaimed.ID + ":1"}, s.leaveOrders)
	record, _ := s.view.Record(NoticeKey(reclaimed.ID))
	n, err := DecodeNotice(record.Body)
	require.NoError(t, err)
	require.Equal(t, Notice{Instance: reclaimed.ID, Zone: "z1", Deadline: wave[0].Deadline.UnixMilli()}, n)
	require.Equal(t, 1, s.recordPuts)
}

// Guards against paying for idle instances: one more request within a second of a
// decision, extrapolated as a trend, would count as a surge.
//
// Fails without the last decision's demand in decisionInput.
func TestDecisionsInQuickSuccessionSeeNoSurge(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	m := s.leader()
	require.NoError(t, m.Step(t.Context()))
	before := s.cloud.Stats().Started
	s.serve("old-1", 8, 9)
	s.clock = s.clock.Add(time.Second)
	require.NoError(t, m.resize(t.Context(), s.state))
	require.Equal(t, before, s.cloud.Stats().Started)
}
