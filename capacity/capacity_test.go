package capacity

import (
	"context"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// A least-squares fit with an error in it would make every figure that the page
// works out wrong, and nobody would see it: the page's numbers look plausible
// whatever they are. A reader would size a site by them. Fails without "- sx*sy/n" in Table.Fit.
func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")
		noise := rapid.Float64Range(0, 10).Draw(t, "noise")
		table := &Table{Columns: []string{"y"}}
		for i, sign := range []float64{1, -1, -1, 1} { // of no slope and no base
			x := float64(i + 1)
			table.Rows = append(table.Rows, Row{Size: x, Values: []float64{base + slope*x + sign*noise}})
		}
		line := table.Fit(0)
		require.InDelta(t, base, line.Intercept, 1e-6)
		require.InDelta(t, slope, line.Slope, 1e-6)
		require.InDelta(t, noise*math.Sqrt(4.0/2/5), line.SlopeError, 1e-6) // sqrt(residuals / (n-2) / spread)
	})
}

// A message that grows by a field is paid for by every entry every second; at
// the size to design for nobody notices until control's budget is gone. The
// bounds are the bytes first measured and a tenth; for the index's memory, which depends
// on how full its map happens to be, more. A map's hash seed is drawn anew each time, and
// with it when the map grows: single measurements lie between 77 and 225 bytes, so the
// median of several is held to the bound. Fails when admit.Demand gets one more
// float, or when api.VersionReply goes out as a map with names.
func TestBytesOfControlMessages(t *testing.T) {
	bounds := []struct {
		name      string
		run       func(context.Context, ...int) (*Table, error)
		sizes     []int
		maxSlopes map[int]float64 // bytes for one more of the size, by column
		runs      int             // measurements of which the median counts
	}{
		{"confirm", Confirm, []int{1, 3}, map[int]float64{0: 32, 1: 34}, 1},
		{"leases", Leases, []int{5, 50}, map[int]float64{0: 150, 1: 172}, 1},
		{"catalogue", Catalogue, []int{10, 100}, map[int]float64{0: 420}, 1},
		{"ledger", Ledger, []int{1000, 2000}, map[int]float64{2: 503}, 1},
		{"prefixes", Prefixes, []int{1000, 2000}, map[int]float64{0: 200}, 9},
	}
	for _, b := range bounds {
		t.Run(b.name, func(t *testing.T) {
			slopes := make(map[int][]float64)
			var columns []string
			for range b.runs {
				table, err := b.run(t.Context(), b.sizes...)
				require.NoError(t, err)
				columns = table.Columns
				for column := range b.maxSlopes {
					slopes[column] = append(slopes[column], table.Fit(column).Slope)
				}
			}
			for column, maxSlope := range b.maxSlopes {
				slices.Sort(slopes[column])
				slope := slopes[column][b.runs/2]
				t.Logf("%s: %.1f, bound %.1f", columns[column], slope, maxSlope)
				require.Positive(t, slope, columns[column])
				require.LessOrEqual(t, slope, maxSlope, columns[column])
			}
		})
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
