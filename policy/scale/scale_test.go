package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/policy"
	"savoryreel.example/savoryreel/zone"
)

var epoch = time.Unix(1_800_000_000, 0).Truncate(24 * time.Hour)

// testZones returns five data centres in which reclaimable instances cost 30% to 40% of the
// on-demand price.
func testZones() []zone.Zone {
	var zones []zone.Zone
	for i, discount := range []float64{0.30, 0.32, 0.35, 0.38, 0.40} {
		zones = append(zones, zone.Zone{
			Name: fmt.Sprint("zone-", i), Region: "r", DataCentre: fmt.Sprint("dc-", i),
			Prices: []zone.Price{{Class: "large", Reclaimable: 8 * discount, OnDemand: 8}, {Class: "small", Reclaimable: 2.2 * discount, OnDemand: 2.2}},
		})
	}
	return zones
}

func testClasses() []Class { return []Class{{"large", 4000}, {"small", 1000}} }

// cloud simulates a cloud: instances serve three minutes after their start, and reclaimable
// ones are refused in zones under a wave.
type cloud struct {
	t         require.TestingT
	scaler    *Scaler
	state     State
	fleet     []Instance
	ready     map[string]time.Time
	reclaimed map[string]bool // zones under a wave
	refuse    func(Option) bool
	starts    int
	stops     int
	refused   int
}

func newCloud(t require.TestingT) *cloud {
	scaler, err := New("site", DefaultConfig())
	require.NoError(t, err)
	return &cloud{t: t, scaler: scaler, ready: map[string]time.Time{}, reclaimed: map[string]bool{}}
}

// step decides until no start is refused.
func (c *cloud) step(now time.Time, demand float64) Plan {
	for range 100 {
		refused := c.refused
		if plan := c.decide(now, demand); c.refused == refused {
			return plan
		}
	}
	require.Fail(c.t, "starts are refused without backoff")
	return Plan{}
}

func (c *cloud) decide(now time.Time, demand float64) Plan {
	for i := range c.fleet {
		if f := &c.fleet[i]; f.Phase == PhaseStarting && !now.Before(c.ready[f.ID]) {
			f.Phase = PhaseServing
		}
	}
	in := Input{Now: now, Demand: demand, Classes: testClasses(), Zones: testZones(), Fleet: c.fleet}
	state, plan := c.scaler.Decide(c.state, in)
	c.state = state
	for _, start := range plan.Starts {
		o := start.Option
		if o.Market == zone.Reclaimable && c.reclaimed[o.Zone] || c.refuse != nil && c.refuse(o) {
			c.state = c.scaler.Refused(c.state, o, now)
			c.refused++
			continue
		}
		c.state = c.scaler.Accepted(c.state, start)
		require.NotContains(c.t, c.ready, start.Token)
		c.ready[start.Token] = now.Add(3 * time.Minute)
		c.fleet = append(c.fleet, Instance{start.Token, o, PhaseStarting})
		c.starts++
	}
	for _, stop := range plan.Stops {
		c.fleet = slices.DeleteFunc(c.fleet, func(i Instance) bool { return i.ID == stop.ID })
		c.stops++
	}
	return plan
}

func (c *cloud) reclaim(zoneName string) {
	c.reclaimed[zoneName] = true
	c.fleet = slices.DeleteFunc(c.fleet, func(i Instance) bool {
		return i.Option.Zone == zoneName && i.Option.Market == zone.Reclaimable
	})
}

func (c *cloud) serving() float64 {
	sum := 0.0
	for _, i := range c.fleet {
		if i.Phase == PhaseServing {
			sum += map[string]float64{"large": 4000, "small": 1000}[i.Option.Class]
		}
	}
	return sum
}

func (c *cloud) price() float64 {
	sum := 0.0
	zones := testZones()
	for _, i := range c.fleet {
		for z := range zones {
			if zones[z].Name == i.Option.Zone {
				price, _ := zones[z].Price(i.Option.Class, i.Option.Market)
				sum += price
			}
		}
	}
	return sum
}

// Guards against a shortage in a morning surge during which the cheapest data centre is
// reclaimed and refuses starts for two hours. The first surge may exceed the capacity for a
// few minutes; the second is forecast.
func TestCostThroughAMorningSurgeWithAZoneReclaimed(t *testing.T) {
	c := newCloud(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var shortMinutes [2]int
	cost, onDemandCost, onDemandSpareCost := 0.0, 0.0, 0.0
	for minute := range 2 * 24 * 60 {
		now := epoch.Add(time.Duration(minute) * time.Minute)
		demand := dayDemand(minute%(24*60)) * (1 + 0.05*rng.NormFloat64())
		if minute%(24*60) == 9*60 {
			c.reclaim("zone-0")
		}
		if minute%(24*60) == 11*60 {
			c.reclaimed = map[string]bool{}
		}
		c.step(now, demand)
		if minute > 10 && c.serving() < demand {
			shortMinutes[minute/(24*60)]++
		}
		cost += c.price() / 60
		// On demand in one zone for the same target: without spare capacity, and with a spare
		// data centre out of five.
		onDemandCost += math.Ceil(c.state.Capacity/4000) * 8 / 60
		onDemandSpareCost += math.Ceil(c.state.Capacity*1.25/4000) * 8 / 60
	}
	t.Logf("cost %.0f; on demand without spare %.0f (%.0f%% saved), with one spare data centre of five %.0f (%.0f%% saved)",
		cost, onDemandCost, 100*(1-cost/onDemandCost), onDemandSpareCost, 100*(1-cost/onDemandSpareCost))
	t.Logf("%d starts, %d refused, %d stops; minutes with less capacity than demand, by day: %v", c.starts, c.refused, c.stops, shortMinutes)
	require.LessOrEqual(t, shortMinutes[0], 3)
	require.Zero(t, shortMinutes[1])
	require.Less(t, cost, 0.6*onDemandCost)
}

// dayDemand returns work per second by minute of the day.
func dayDemand(minute int) float64 {
	switch {
	case minute < 8*60:
		return 30_000
	case minute < 8*60+6:
		return 30_000 + 20_000*float64(minute-8*60)
	case minute < 16*60:
		return 150_000
	default:
		return 30_000
	}
}

// Guards against starts and stops when the load varies by 10% around a constant level: each
// start costs three minutes without service.
func TestNoiseCausesNoStartsOrStops(t *testing.T) {
	c := newCloud(t)
	rng := rand.New(rand.NewPCG(5, 6))
	initialStarts := 0
	for minute := range 600 {
		c.step(epoch.Add(time.Duration(minute)*time.Minute), 100_000*(0.9+0.2*rng.Float64()))
		if minute == 60 {
			initialStarts = c.starts
		}
	}
	t.Logf("first hour: %d starts; nine hours of noise after it: %d starts, %d stops", initialStarts, c.starts-initialStarts, c.stops)
	require.Less(t, c.starts-initialStarts+c.stops, initialStarts)
}

// Guards against three failures when the cloud refuses all reclaimable starts: a shortage,
// retries without backoff, and a fleet that stays on demand after the wave.
func TestRefusedStartsFallBackToOnDemandAndBackOff(t *testing.T) {
	c := newCloud(t)
	minute := 0
	run := func(minutes int) (last Plan) {
		for range minutes {
			last = c.step(epoch.Add(time.Duration(minute)*time.Minute), 100_000)
			minute++
		}
		return last
	}
	run(30)
	onDemand := func() int {
		n := 0
		for _, i := range c.fleet {
			if i.Option.Market == zone.OnDemand {
				n++
			}
		}
		return n
	}
	require.Zero(t, onDemand())
	c.refuse = func(o Option) bool { return o.Market == zone.Reclaimable }
	c.reclaim("zone-1")
	plan := run(10)
	require.Zero(t, plan.Shortfall)
	require.Positive(t, onDemand())
	refused := c.refused
	run(60)
	t.Logf("refused in the first 10 min %d, in the next hour %d; on demand %d", refused, c.refused-refused, onDemand())
	require.Less(t, c.refused-refused, 200)
	c.refuse = nil
	c.reclaimed = map[string]bool{}
	run(240)
	require.Zero(t, onDemand())
}

// Guards against duplicate instances after a leader is lost between requesting starts and
// storing their acceptance: the next leader must send the same tokens.
func TestNewLeaderReusesStartTokens(t *testing.T) {
	scaler, err := New("site", DefaultConfig())
	require.NoError(t, err)
	in := Input{Now: epoch, Demand: 50_000, Classes: testClasses(), Zones: testZones()}
	_, first := scaler.Decide(State{}, in)
	in.Now = epoch.Add(20 * time.Second)
	state, second := scaler.Decide(State{}, in)
	require.NotEmpty(t, first.Starts)
	require.Equal(t, first.Starts, second.Starts)
	for _, start := range second.Starts {
		state = scaler.Accepted(state, start)
	}
	_, third := scaler.Decide(state, in)
	for _, start := range third.Starts {
		require.NotContains(t, first.Starts, start)
	}
}

// Guards against plans that, after all starts, neither survive the loss of any one data
// centre nor report the shortfall, and against stops that leave too few serving instances.
func TestPlanSurvivesTheLossOfADataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCloud(t)
		now := epoch
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
			if rapid.IntRange(0, 4).Draw(t, "wave") == 0 {
				c.reclaim(fmt.Sprint("zone-", rapid.IntRange(0, 4).Draw(t, "zone")))
			}
			stops := c.stops
			plan := c.step(now, rapid.Float64Range(0, 200_000).Draw(t, "demand"))
			planned, serving := make(centreCapacity, 5), make(centreCapacity, 5)
			for _, i := range c.fleet {
				centre := i.Option.Zone[len(i.Option.Zone)-1] - '0'
				capacity := map[string]float64{"large": 4000, "small": 1000}[i.Option.Class]
				planned[centre] += capacity
				if i.Phase == PhaseServing {
					serving[centre] += capacity
				}
			}
			require.GreaterOrEqual(t, planned.withoutLargest()+plan.Shortfall, plan.Wanted-1)
			if c.stops > stops {
				require.GreaterOrEqual(t, serving.withoutLargest(), plan.Wanted-1)
			}
		}
	})
}

// Guards against too many concurrent loads, copies in one data centre only, and adapters on
// hosts without their model.
func TestPlacePacesSpreadsAndKeepsAdaptersWithModels(t *testing.T) {
	model := Artifact{Model: "m", Version: "1", Bytes: 10}
	adapter := Artifact{Model: "m", Version: "1", Adapter: "a", Bytes: 1}
	in := PlaceInput{StoreRate: 20, MinLoadRate: 10, Needs: []Need{{adapter, 1, 9}, {model, 2, 5}}}
	for i := range 6 {
		in.Hosts = append(in.Hosts, Host{ID: fmt.Sprint(i), DataCentre: fmt.Sprint(i / 3), FreeBytes: 100, Leaving: i == 0})
	}
	in.Hosts[1].Loaded = []Artifact{model}
	got := Place(in)
	require.Equal(t, []Load{{"1", adapter}, {"3", model}}, got.Loads)
	in.LoadsInProgress = 1
	got = Place(in)
	require.Len(t, got.Loads, 1)
	require.Equal(t, 1, got.Deferred)
}

// Guards against a configuration error that does not name the invalid field.
func TestConfigNamesTheField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.DownStep = 0
	_, err := New("site", cfg)
	var fault *policy.ConfigError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "DownStep", fault.Field)
}
