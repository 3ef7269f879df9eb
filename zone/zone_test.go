package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestValidateNamesZoneAndField(t *testing.T) {
	good := Zone{Name: "a", Region: "r", DataCentre: "d", Prices: []Price{{"large", 1, 3}}}
	require.NoError(t, Validate([]Zone{good, {Name: "b", Region: "r", DataCentre: "d"}}))
	for field, bad := range map[string]Zone{
		"name":         good,
		"region":       {Name: "b", DataCentre: "d"},
		"dataCentre":   {Name: "b", Region: "other", DataCentre: "d"},
		"prices.large": {Name: "b", Region: "r", DataCentre: "d", Prices: []Price{{"large", 1, 3}, {"large", 1, 3}}},
	} {
		var fault *FieldError
		require.ErrorAs(t, Validate([]Zone{good, bad}), &fault)
		require.Equal(t, field, fault.Field)
	}
}

// A notice for a data centre must not cover on-demand instances, which keep running:
// they would be drained when capacity is scarcest.
func TestNoticeCoversReclaimableOnly(t *testing.T) {
	z := &Zone{Name: "a", Region: "r", DataCentre: "d"}
	now := time.Unix(1_800_000_000, 0)
	n := Notice{Scope: NoticeDataCentre, DataCentre: "d", Ends: now.Add(30 * time.Second)}
	require.True(t, n.Covers(Location{"i", z, Reclaimable}))
	require.False(t, n.Covers(Location{"i", z, OnDemand}))
	named := Notice{Scope: NoticeInstances, Instances: []string{"i"}}
	require.True(t, named.Covers(Location{"i", z, OnDemand}))
	require.Equal(t, 30*time.Second, n.Remaining(now))
	require.Zero(t, n.Remaining(now.Add(time.Minute)))
}
