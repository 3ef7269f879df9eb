package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Table holds the results of one measurement at several sizes.
type Table struct {
	SizeLabel string   // heading of the column of sizes
	Columns   []string // headings, with units
	Rows      []Row
}

// Row holds the results at one size, in the order of the table's columns.
type Row struct {
	Size   float64
	Values []float64
}

// Line is a least-squares fit of one column against size.
type Line struct {
	Intercept  float64 // value at size 0
	Slope      float64 // per unit of size
	SlopeError float64 // standard error of the slope; NaN with fewer than three sizes
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line of the column with this index. The table
// needs rows of at least two different sizes.
func (t *Table) Fit(column int) Line {
	n := float64(len(t.Rows))
	var sx, sy, sxx, sxy float64
	for _, r := range t.Rows {
		y := r.Values[column]
		sx, sy = sx+r.Size, sy+y
		sxx, sxy = sxx+r.Size*r.Size, sxy+r.Size*y
	}
	spread := sxx - sx*sx/n
	slope := (sxy - sx*sy/n) / spread
	line := Line{Slope: slope, Intercept: (sy - slope*sx) / n}
	var residuals float64
	for _, r := range t.Rows {
		d := r.Values[column] - line.At(r.Size)
		residuals += d * d
	}
	line.SlopeError = math.NaN()
	if n > 2 {
		line.SlopeError = math.Sqrt(residuals / (n - 2) / spread)
	}
	return line
}

// Write prints the rows and, below them, the fitted line of each column.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s\t", t.SizeLabel)
	for _, c := range t.Columns {
		fmt.Fprintf(tw, "%s\t", c)
	}
	fmt.Fprintln(tw)
	for _, r := range t.Rows {
		writeRow(tw, fmt.Sprint(r.Size), r.Values)
	}
	var intercepts, slopes, slopeErrors []float64
	for i := range t.Columns {
		l := t.Fit(i)
		intercepts, slopes, slopeErrors = append(intercepts, l.Intercept), append(slopes, l.Slope), append(slopeErrors, l.SlopeError)
	}
	writeRow(tw, "base", intercepts)
	writeRow(tw, "slope", slopes)
	writeRow(tw, "error of slope", slopeErrors)
	return tw.Flush()
}

func writeRow(w io.Writer, name string, values []float64) {
	fmt.Fprintf(w, "%s\t", name)
	for _, v := range values {
		fmt.Fprintf(w, "%.4g\t", v)
	}
	fmt.Fprintln(w)
}
