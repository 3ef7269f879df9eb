package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/gravitational/trace"
)

//go:embed report.html.tmpl
var reportTemplate string

// Size and margins of a plot in SVG user units.
const (
	plotWidth   = 640.0
	plotHeight  = 240.0
	frameLeft   = 56.0
	frameRight  = 12.0
	frameTop    = 12.0
	frameBottom = 28.0
	plotTicks   = 5
)

// plot is a line plot that the template renders as inline SVG.
type plot struct {
	Title  string
	XLabel string
	YLabel string
	Lines  []line
	XTicks []tick
	YTicks []tick
	W, H   float64
	Left   float64
	Top    float64
	Right  float64
	Base   float64
}

// line is a series scaled to SVG user units. Points has the format of the points
// attribute of an SVG polyline.
type line struct {
	Name   string
	Colour string
	Points string
	LabelX float64
}

// tick is an axis label and its position in SVG user units.
type tick struct {
	At    float64
	Label string
}

// series is a line in data units.
type series struct {
	name   string
	colour string
	x, y   []float64
}

type reportPage struct {
	Result *Result
	Rows   []PartResult
	Plots  []plot
}

// WriteHTML writes the result as a self-contained HTML page with inline plots. The
// page loads no external resources.
func (r *Result) WriteHTML(w io.Writer) error {
	tmpl, err := template.New("report").Funcs(template.FuncMap{"ms": formatMS}).Parse(reportTemplate)
	if err != nil {
		return trace.Wrap(err)
	}
	page := reportPage{
		Result: r,
		Rows:   append([]PartResult{r.Total}, r.Parts...),
		Plots:  []plot{r.outcomePlot(), r.firstTokenPlot(), r.curvePlot()},
	}
	return trace.Wrap(tmpl.Execute(w, page))
}

func formatMS(v float64) string {
	if v == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2f", v)
}

func (r *Result) outcomePlot() plot {
	newSeries := func(name, colour string, count func(Outcomes) int) series {
		s := series{name: name, colour: colour}
		for _, second := range r.Timeline {
			s.x = append(s.x, float64(second.Second))
			s.y = append(s.y, float64(count(second.Outcomes)))
		}
		return s
	}
	return newPlot("Outcomes by second of intended start", "s", "requests", []series{
		newSeries("answered", "#2a7d4f", func(o Outcomes) int { return o.Answered }),
		newSeries("not run", "#c98a1b", func(o Outcomes) int { return o.NotRun }),
		newSeries("unknown", "#8a4fbf", func(o Outcomes) int { return o.Unknown }),
		newSeries("failed, broken, wrong, unstarted", "#c0392b", func(o Outcomes) int {
			return o.Failed + o.Broken + o.Wrong + o.Unstarted
		}),
	})
}

func (r *Result) firstTokenPlot() plot {
	p50 := series{name: "p50", colour: "#2a6f9e"}
	p95 := series{name: "p95", colour: "#c0392b"}
	for _, s := range r.Timeline {
		p50.x = append(p50.x, float64(s.Second))
		p50.y = append(p50.y, s.P50)
		p95.x = append(p95.x, float64(s.Second))
		p95.y = append(p95.y, s.P95)
	}
	return newPlot("First token by second of intended start", "s", "ms", []series{p50, p95})
}

// curvePlot plots latency by percentile on a logarithmic axis (see nines), so that the
// tail is legible.
func (r *Result) curvePlot() plot {
	newSeries := func(name, colour string, d Distribution) series {
		s := series{name: name, colour: colour}
		for _, point := range d.Curve {
			s.x = append(s.x, nines(point.Percent))
			s.y = append(s.y, point.Value)
		}
		return s
	}
	p := newPlot("Latency by percentile", "percentile", "ms", []series{
		newSeries("first token", "#2a6f9e", r.Total.FirstToken),
		newSeries("between tokens", "#2a7d4f", r.Total.Between),
		newSeries("whole answer", "#8a4fbf", r.Total.Whole),
	})
	p.XTicks = nil
	for _, percent := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		at := p.Left + (p.Right-p.Left)*nines(percent)/nines(100)
		p.XTicks = append(p.XTicks, tick{At: at, Label: fmt.Sprint(percent)})
	}
	return p
}

// nines maps 0, 90, 99, 99.9, ... percent to 0, 1, 2, 3, ..., and 100 to 4.5.
func nines(percent float64) float64 {
	const maxNines = 4.5
	if percent >= 100 {
		return maxNines
	}
	return min(maxNines, -math.Log10(1-percent/100))
}

func newPlot(title, xLabel, yLabel string, all []series) plot {
	p := plot{
		Title:  title,
		XLabel: xLabel,
		YLabel: yLabel,
		W:      plotWidth,
		H:      plotHeight,
		Left:   frameLeft,
		Top:    frameTop,
		Right:  plotWidth - frameRight,
		Base:   plotHeight - frameBottom,
	}
	xMax, yMax := maxValues(all)
	for i, s := range all {
		p.Lines = append(p.Lines, line{
			Name:   s.name,
			Colour: s.colour,
			Points: p.points(s, xMax, yMax),
			LabelX: p.Left + float64(i)*(p.Right-p.Left)/float64(len(all)),
		})
	}
	for i := range plotTicks + 1 {
		fraction := float64(i) / plotTicks
		p.XTicks = append(p.XTicks, tick{At: p.Left + fraction*(p.Right-p.Left), Label: formatTick(fraction * xMax)})
		p.YTicks = append(p.YTicks, tick{At: p.Base - fraction*(p.Base-p.Top), Label: formatTick(fraction * yMax)})
	}
	return p
}

func (p plot) points(s series, xMax, yMax float64) string {
	var b strings.Builder
	for i := range s.x {
		x := p.Left + s.x[i]/xMax*(p.Right-p.Left)
		y := p.Base - s.y[i]/yMax*(p.Base-p.Top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

// maxValues returns the highest x and y of all series. Both are at least 1, because the
// scaling divides by them.
func maxValues(all []series) (x, y float64) {
	x, y = 1, 1
	for _, s := range all {
		for i := range s.x {
			x = max(x, s.x[i])
			y = max(y, s.y[i])
		}
	}
	return x, y
}

func formatTick(v float64) string {
	if v == math.Trunc(v) || v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
