package supply

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func threeZones() Input {
	return Input{
		Zones: []Zone{{"a", 0.85}, {"b", 1.2}, {"c", 1}}, Min: 1, Max: 8, SpotPrice: 0.3, Need: 8, Serving: map[CapacityPool]int{},
	}
}

func counts(orders []Order) (spot, onDemand int) {
	for _, o := range orders {
		if o.Reclaimable {
			spot += o.Count
		} else {
			onDemand += o.Count
		}
	}
	return spot, onDemand
}

// The day begins with on-demand servers. They stay until reclaimable ones serve,
// and the zone's bound holds for both together meanwhile.
func TestOnDemandServersStayUntilOthersServe(t *testing.T) {
	in := threeZones()
	in.Need = 12
	for _, z := range in.Zones {
		in.Serving[CapacityPool{z.Name, false}] = 4
	}
	in.Present = in.Serving
	spot, onDemand := counts(Plan(in))
	require.Equal(t, 12, spot)
	require.Equal(t, 12, onDemand)
	for _, z := range in.Zones {
		in.Serving[CapacityPool{z.Name, true}] = 4
	}
	spot, onDemand = counts(Plan(in))
	require.Equal(t, 12, spot)
	require.Equal(t, 4, onDemand, "for the loss of a zone")
	in.Present = nil
	spot, _ = counts(Plan(in))
	require.Equal(t, 18, spot, "when the others have gone there is room")
}

// A wave takes all reclaimable servers of one zone. The others serve the load; what
// a second wave would leave short is ordered on demand before it comes.
//
// It breaks without Input.surviving: with the second wave the load would be left
// with half of the servers it needs for as long as a boot takes.
func TestWaves(t *testing.T) {
	in := threeZones()
	in.Serving = map[CapacityPool]int{{"a", true}: 4, {"b", true}: 4, {"c", true}: 4}
	_, onDemand := counts(Plan(in))
	require.Zero(t, onDemand)

	in.Serving = map[CapacityPool]int{{"a", true}: 4, {"b", true}: 4}
	in.Unavailable = map[CapacityPool]bool{{"c", true}: true}
	orders := Plan(in)
	_, onDemand = counts(orders)
	require.Equal(t, 4, onDemand)

	in.Ordered = map[CapacityPool]int{}
	for _, o := range orders {
		in.Ordered[o.CapacityPool] = o.Count
	}
	in.Serving = map[CapacityPool]int{{"b", true}: 4}
	in.Unavailable[CapacityPool{"a", true}] = true
	again := Plan(in)
	for _, o := range again {
		if !o.Reclaimable {
			require.GreaterOrEqual(t, o.Count, in.Ordered[o.CapacityPool], "servers that boot are not given up")
		}
	}
	_, onDemand = counts(again)
	require.Equal(t, 4, onDemand, "four and four serve the load")
}

// Waves have taken two zones, and a third one follows. On-demand servers that serve the
// load of the moment are there before it: after it nothing else is left for as long as
// a boot takes. A load that needs no more than is there costs nothing.
//
// It breaks if all reclaimable servers of the last zone are counted on.
func TestThirdWave(t *testing.T) {
	in := threeZones()
	in.Serving = map[CapacityPool]int{{"a", true}: 4, {"b", false}: 4}
	in.Unavailable = map[CapacityPool]bool{{"b", true}: true, {"c", true}: true}
	for load, want := range map[int]int{0: 4, 3: 4, 6: 6, 8: 8, 100: 8} {
		in.Load = load
		_, onDemand := counts(Plan(in))
		require.Equal(t, want, onDemand, "load %d", load)
	}
	in.Serving = map[CapacityPool]int{{"a", true}: 4, {"b", true}: 4, {"c", true}: 4}
	in.Unavailable, in.Load = nil, 100
	_, onDemand := counts(Plan(in))
	require.Zero(t, onDemand, "a wave leaves two zones")
}

// Waves have taken the reclaimable servers of all zones, and none are to be had. A
// load that needs all the room that the zones have is served on demand meanwhile.
//
// It breaks without Input.Closed.
func TestWavesInAllZones(t *testing.T) {
	in := threeZones()
	in.Need = 20
	in.Unavailable = map[CapacityPool]bool{{"a", true}: true, {"b", true}: true, {"c", true}: true}
	_, onDemand := counts(Plan(in))
	require.Equal(t, 20, onDemand)
}

func TestNoReclaimableServersAreSold(t *testing.T) {
	in := threeZones()
	in.SpotPrice = 0
	spot, onDemand := counts(Plan(in))
	require.Zero(t, spot)
	require.Equal(t, 8, onDemand)
}

// Whatever is served now, each zone stays within its bounds, and what is wanted
// covers the need if the bounds allow.
func TestPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := threeZones()
		in.Zones = in.Zones[:rapid.IntRange(1, 3).Draw(t, "zones")]
		in.Min = rapid.IntRange(0, 2).Draw(t, "min")
		in.Max = in.Min + rapid.IntRange(0, 8).Draw(t, "room")
		in.Need = rapid.IntRange(0, 30).Draw(t, "need")
		in.SpotPrice = rapid.SampledFrom([]float64{0, 0.2, 0.3, 0.9}).Draw(t, "price")
		for _, z := range in.Zones {
			in.Serving[CapacityPool{z.Name, true}] = rapid.IntRange(0, 8).Draw(t, "spot")
			in.Serving[CapacityPool{z.Name, false}] = rapid.IntRange(0, 8).Draw(t, "on demand")
		}
		perZone := map[string]int{}
		total := 0
		in.Present = in.Serving
		for _, o := range Plan(in) {
			require.GreaterOrEqual(t, o.Count, 0)
			perZone[o.Zone] += o.Count
			total += o.Count
		}
		for zone, n := range perZone {
			require.LessOrEqual(t, n, in.Max, zone)
			require.GreaterOrEqual(t, n, in.Min, zone)
		}
		require.GreaterOrEqual(t, total, min(in.Need, in.Max*len(in.Zones)))
	})
}

// Reclaimable servers cost a fifth of on-demand ones. Two waves take two zones within
// seconds. The third zone still serves the load, and nobody boots on-demand servers at
// five times the price in between.
//
// It breaks if only one zone is spared whatever the price.
func TestCheapServersSpareTwoZones(t *testing.T) {
	in := threeZones()
	in.SpotPrice, in.Min = 0.2, 0
	spot, _ := counts(Plan(in))
	require.Equal(t, 24, spot)
	in.Serving = map[CapacityPool]int{{"a", true}: 8, {"b", true}: 8, {"c", true}: 8}
	for _, lost := range []string{"c", "b"} {
		delete(in.Serving, CapacityPool{lost, true})
		in.Unavailable = map[CapacityPool]bool{{lost, true}: true}
		_, onDemand := counts(Plan(in))
		require.Zero(t, onDemand, "after the loss of %s", lost)
	}
}

// A workspace surges, and the load takes half as many servers again as the service began
// with. Cheap ones are ordered for it; on-demand ones would boot for seconds and be paid
// for long after it.
//
// It breaks without Input.InitialServers.
func TestSurgeIsLeftToReclaimableServers(t *testing.T) {
	in := threeZones()
	in.Need, in.InitialServers = 18, 12
	in.Serving = map[CapacityPool]int{{"a", true}: 6, {"b", true}: 6, {"c", true}: 6}
	spot, onDemand := counts(Plan(in))
	require.Equal(t, 24, spot)
	require.Zero(t, onDemand)
}
