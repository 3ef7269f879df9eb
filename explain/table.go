package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// maxRows is the number of rows that the table shows of a dimension with many keys; they are
// those with the most lost requests.
const maxRows = 12

// secondKey returns the key of a second, padded so that keys sort by time.
func secondKey(since time.Duration) string { return fmt.Sprintf("%4d", int(since.Seconds())) }

// sizeClass returns the key of a prompt's size class, whose upper bound is a power of two.
func sizeClass(tokens int) string {
	class := 1
	for class < tokens {
		class *= 2
	}
	return fmt.Sprintf("up to %6d", class)
}

// WriteTable writes the account as text tables.
func (a *Account) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d requests ended; lines: %d left out by processes, %d passed over, %d torn\n", a.Requests, a.LeftOut, a.Skipped, a.Torn)
	fmt.Fprintf(out, "first byte: p50 %s, p95 %s, p99 %s; word on load that decided: p50 %s, p95 %s old\n",
		quantile(a.firstByteTimes, 50), quantile(a.firstByteTimes, 95), quantile(a.firstByteTimes, 99), quantile(a.loadAges, 50), quantile(a.loadAges, 95))
	fmt.Fprintf(out, "%d sent to a server without a free slot while another candidate had one; first byte: p50 %s, p95 %s\n\n",
		a.BesideRoom, quantile(a.besideRoomTimes, 50), quantile(a.besideRoomTimes, 95))
	total := a.By[All][""]
	for _, reason := range reasonsByCount(total) {
		fmt.Fprintf(out, "%s\t%d\t%.1f%%\n", reason, total[reason], 100*float64(total[reason])/float64(max(a.Requests, 1)))
	}
	for _, d := range []Dimension{Second, Route, Workspace, Size, Server} {
		a.writeDimension(out, d)
	}
	return trace.Wrap(out.Flush(), "step=write table")
}

// writeDimension writes the table of one dimension.
func (a *Account) writeDimension(out io.Writer, d Dimension) {
	groups := a.By[d]
	fmt.Fprintf(out, "\n%s\trequests\tlost\tmostly\n", d)
	for _, key := range a.rows(d) {
		t := groups[key]
		fmt.Fprintf(out, "%s\t%d\t%d\t%s\n", key, t.Total(), t.Lost(), topReasons(t))
	}
	if d != Second && len(groups) > maxRows {
		fmt.Fprintf(out, "(%d more)\n", len(groups)-maxRows)
	}
}

// rows returns the keys of a dimension's rows: all seconds and size classes in ascending
// order; for other dimensions the maxRows keys with the most lost requests, in descending
// order of these.
func (a *Account) rows(d Dimension) []string {
	groups := a.By[d]
	keys := slices.Sorted(maps.Keys(groups))
	if d == Second || d == Size {
		return keys
	}
	slices.SortStableFunc(keys, func(x, y string) int { return cmp.Compare(groups[y].Lost(), groups[x].Lost()) })
	return keys[:min(len(keys), maxRows)]
}

// topReasons lists the three most frequent reasons other than InTime, with their counts.
func topReasons(t Tally) string {
	var parts []string
	for _, reason := range reasonsByCount(t) {
		if reason != InTime && len(parts) < 3 {
			parts = append(parts, fmt.Sprintf("%d %s", t[reason], reason))
		}
	}
	return strings.Join(parts, ", ")
}

// reasonsByCount returns the reasons in descending order of their counts.
func reasonsByCount(t Tally) []Reason {
	reasons := slices.Sorted(maps.Keys(t))
	slices.SortStableFunc(reasons, func(x, y Reason) int { return cmp.Compare(t[y], t[x]) })
	return reasons
}

type histogram interface{ ValueAtQuantile(q float64) int64 }

// quantile returns a quantile (q from 0 to 100) of a histogram in microseconds.
func quantile(h histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// report is the JSON form of an Account.
type report struct {
	Requests   int                            `json:"requests"`
	Skipped    int                            `json:"skippedLines"`
	LeftOut    int                            `json:"leftOutLines"`
	Torn       int                            `json:"tornLines"`
	By         map[Dimension]map[string]Tally `json:"by"`
	Seconds    map[string]float64             `json:"seconds"`
	BesideRoom int                            `json:"sentBesideRoom"`
}

// WriteJSON writes the account as JSON.
func (a *Account) WriteJSON(w io.Writer) error {
	seconds := make(map[string]float64)
	for _, q := range []float64{50, 95, 99} {
		seconds[fmt.Sprintf("firstByteP%.0f", q)] = quantile(a.firstByteTimes, q).Seconds()
		seconds[fmt.Sprintf("sentBesideRoomFirstByteP%.0f", q)] = quantile(a.besideRoomTimes, q).Seconds()
		seconds[fmt.Sprintf("loadAgeP%.0f", q)] = quantile(a.loadAges, q).Seconds()
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(report{a.Requests, a.Skipped, a.LeftOut, a.Torn, a.By, seconds, a.BesideRoom}), "step=write report")
}
