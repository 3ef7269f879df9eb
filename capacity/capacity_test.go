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

// Guards against a wrong least-squares fit: every extrapolated figure in
// docs/CAPACITY.md would be wrong but plausible.
func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")
		noise := rapid.Float64Range(0, 10).Draw(t, "noise")
		table := &Table{Columns: []string{"y"}}
		for i, sign := range []float64{1, -1, -1, 1} { // this pattern changes neither slope nor intercept
			x := float64(i + 1)
			table.Rows = append(table.Rows, Row{Size: x, Values: []float64{base + slope*x + sign*noise}})
		}
		line := table.Fit(0)
		require.InDelta(t, base, line.Intercept, 1e-6)
		require.InDelta(t, slope, line.Slope, 1e-6)
		require.InDelta(t, noise*math.Sqrt(4.0/2/5), line.SlopeError, 1e-6) // sqrt(residuals / (n-2) / spread)
	})
}

// Guards against control messages and state that grow unnoticed, for example by a
// new field: every entry sends them all the time, so the control replicas' traffic
// and memory would exceed their budget at full size.
//
// The prefix index is a map, whose growth depends on a random hash seed; the
// median of several runs is compared with the bound.
func TestBytesOfControlMessages(t *testing.T) {
	bounds := []struct {
		name      string
		run       func(context.Context, ...int) (*Table, error)
		sizes     []int
		maxSlopes map[int]float64 // maximum bytes per unit of size, by column
		runs      int             // the median of the runs is checked
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
