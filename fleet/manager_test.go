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

// site is a cloud with a fleet's state and view, without a control replica.
type site struct {
	t             require.TestingT
	cloud         *fake.Cloud
	api           *native.CloudClient
	state         State
	view          *instance.View
	recordPuts    int // shared records
	mu            sync.Mutex
	leaveOrders   []string // addresses ordered to leave
	loadOrders    []string // addresses ordered to load a model
	clock         time.Time
	failStep      func() bool // whether the next step of a leader goes wrong
	expensiveZone string      // a zone whose prices have gone up
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
	s.serve("old-1", 8, 8) // a server with work for one instance's capacity, from before
	return s, func() { s.api.Close(); server.Close() }
}

func (s *site) serve(id string, slots, running int) { s.announce(id, "demo", slots, running) }

func (s *site) announce(id, model string, slots, running int) {
	a := instance.Announcement{ID: id, Address: id + ":1", Class: "g1", Model: model, State: instance.StateServing, Slots: slots, Load: instance.Load{Running: running}}
	s.view.Apply([]instance.Update{{Server: &instance.Server{Announcement: a}}})
}

var errLeaderLost = errors.New("the leader died here")

// Log.
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

// Members, Orderer and Lease.
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

// unreliableCloud is the cloud as a site's leaders see it: answers to starts are lost,
// prices move, and the list of instances is behind by those of the last minutes.
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

// leader returns a new leader, which knows nothing but the log and the view.
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

// startedInstances returns how many instances run after a number of leaders, each of
// which does one step, or a part of one. Each finds other prices than the one
// before it and would decide otherwise.
func startedInstances(t require.TestingT, fail func() bool) int {
	s, closeSite := newSite(t)
	defer closeSite()
	s.failStep = fail
	for i := range 10 {
		s.expensiveZone = []string{"z1", "z2", "z3"}[i%3]
		_ = s.leader().Step(context.Background()) // what failed is left to the next leader
	}
	require.Empty(t, s.state.Starts)
	return s.cloud.Stats().Started
}

// A control leader decides to start instances and is lost at any point: before
// the decision is in the log, after it, between two starts, or with the cloud's
// answer under way. Its successor goes on. If it started them again, the site
// would pay for each twice. As many run in the end as with one leader that
// lives.
//
// It breaks without the commit in decide, with a token that is not the log's,
// and without Accepted in start.
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

// A leader is frozen after it decided and before it wrote that into the log.
// Another one decides in the meantime, at other prices. The first one's decision
// must not take hold when it thaws: both would be started.
//
// It breaks without the comparison with Base in State.Apply.
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

// The cheapest zone has no instances left. The missing ones are started in
// another zone at once, and the full one is not asked over and over.
func TestRefusedStartsMoveToAnotherZone(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	s.cloud.Refuse("z1")
	m := s.leader()
	require.NoError(t, m.Step(t.Context()))
	running, err := s.api.Instances(t.Context())
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(running), 4, "the demand of 100 with headroom 1.2, also without one data centre")
	refused := s.cloud.Stats().Refused
	require.Positive(t, refused)
	s.clock = s.clock.Add(time.Second)
	require.NoError(t, m.resize(t.Context(), s.state))
	require.Equal(t, refused, s.cloud.Stats().Refused)
}

// The cloud takes back a zone's instances. Every entry learns of it from the
// shared record, and the server is told to leave, by the next leader if the
// first one did not know it yet. Without that, a server that does not watch the
// cloud itself takes work until its end.
//
// It breaks without remind in Step; the record is put twice without Notice.
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

// The demand rises by one request, and a second after a decision a notice calls
// for another one. Taken as a trend, that request would be many times the demand
// by the time that a start takes, and the site would pay for idle instances.
//
// It breaks without the last decision's demand in input.
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
