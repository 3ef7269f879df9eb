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

// Guards against stopping on-demand servers before reclaimable ones serve, and against
// exceeding a zone's bound meanwhile.
func TestOnDemandServersStayUntilReclaimableOnesServe(t *testing.T) {
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
	require.Equal(t, 4, onDemand, "replace the loss of one zone")
	in.Present = nil
	spot, _ = counts(Plan(in))
	require.Equal(t, 18, spot, "the on-demand servers have left")
}

// Guards against a shortage after a second wave: on-demand servers for it must be ordered
// after the first one, as they take seconds to boot.
func TestOnDemandServersReplaceAReclaimedZone(t *testing.T) {
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
			require.GreaterOrEqual(t, o.Count, in.Ordered[o.CapacityPool], "booting servers stay ordered")
		}
	}
	_, onDemand = counts(again)
	require.Equal(t, 4, onDemand, "four reclaimable and four on-demand servers serve the load")
}

// Guards against relying on the reclaimable servers of the last zone after two waves:
// on-demand servers for the current load must be ordered before a third wave.
func TestLastZoneIsBackedByOnDemandServers(t *testing.T) {
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
	require.Zero(t, onDemand, "a wave would leave two zones")
}

// Guards against reserving zone capacity for reclaimable servers that are unavailable in
// all zones: the load is then served on demand.
func TestUnavailableServersAreOrderedOnDemand(t *testing.T) {
	in := threeZones()
	in.Need = 20
	in.Unavailable = map[CapacityPool]bool{{"a", true}: true, {"b", true}: true, {"c", true}: true}
	_, onDemand := counts(Plan(in))
	require.Equal(t, 20, onDemand)
}

// Guards against ordering reclaimable servers where none are offered.
func TestOnlyOnDemandServersWithoutASpotPrice(t *testing.T) {
	in := threeZones()
	in.SpotPrice = 0
	spot, onDemand := counts(Plan(in))
	require.Zero(t, spot)
	require.Equal(t, 8, onDemand)
}

// Guards against orders outside the zones' bounds, and against a shortage that the bounds do
// not require.
func TestPlanStaysWithinZoneBounds(t *testing.T) {
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

// Guards against ordering expensive on-demand servers after two waves when reclaimable ones
// are cheap enough for two spare zones.
func TestCheapReclaimableServersCoverTheLossOfTwoZones(t *testing.T) {
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

// Guards against ordering on-demand servers for a surge above the initial number of servers,
// which is too short for them to pay off.
func TestSurgeAddsNoOnDemandServers(t *testing.T) {
	in := threeZones()
	in.Need, in.InitialServers = 18, 12
	in.Serving = map[CapacityPool]int{{"a", true}: 6, {"b", true}: 6, {"c", true}: 6}
	spot, onDemand := counts(Plan(in))
	require.Equal(t, 24, spot)
	require.Zero(t, onDemand)
}

// Guards against starting thousands of reclaimable servers in the second in which a fleet with
// thousands of on-demand ones starts, and against stopping the latter all at once: every entry
// has to learn of each, and the control replicas would do nothing else.
func TestLargeServiceIsExchangedByAndBy(t *testing.T) {
	in := Input{Min: 1, Max: 1200, SpotPrice: 0.22, Need: 2910, InitialServers: 2910, Serving: map[CapacityPool]int{}, Present: map[CapacityPool]int{}}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		in.Zones = append(in.Zones, Zone{name, 1})
		in.Serving[CapacityPool{name, false}], in.Present[CapacityPool{name, false}] = 582, 582
	}
	spot, onDemand := counts(Plan(in))
	require.LessOrEqual(t, spot, maxStarting)
	require.Greater(t, spot, maxStarting-len(in.Zones))
	require.Equal(t, 2910, onDemand, "none is stopped before others serve")

	in.Ordered = map[CapacityPool]int{}
	for _, o := range Plan(in) {
		in.Ordered[o.CapacityPool] = o.Count
	}
	again, _ := counts(Plan(in))
	require.Equal(t, spot, again, "the order stays while its servers boot")

	in.Need = 200
	for _, z := range in.Zones {
		in.Serving[CapacityPool{z.Name, true}], in.Present[CapacityPool{z.Name, true}] = 67, 67
	}
	_, onDemand = counts(Plan(in))
	require.GreaterOrEqual(t, onDemand, 2910-maxStopping)
	require.LessOrEqual(t, onDemand, 2910-maxStopping+len(in.Zones))
	for _, z := range in.Zones {
		in.Serving[CapacityPool{z.Name, false}] -= 150
	}
	_, onDemand = counts(Plan(in))
	require.GreaterOrEqual(t, onDemand, 2910-maxStopping, "750 are leaving")
	for _, z := range in.Zones {
		in.Present[CapacityPool{z.Name, false}] = in.Serving[CapacityPool{z.Name, false}]
	}
	_, onDemand = counts(Plan(in))
	require.LessOrEqual(t, onDemand, 2160-maxStopping+len(in.Zones), "those have left")
}
