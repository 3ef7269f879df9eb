package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// watchers is a model of processes that each wait for changes at one replica.
type watchers struct {
	pacer   *Pacer
	names   []string
	seen    []int // changes that were reported to each
	reports int
}

func newWatchers(n int, perSecond float64) *watchers {
	w := &watchers{pacer: New(perSecond), seen: make([]int, n)}
	for i := range n {
		w.names = append(w.names, fmt.Sprint(i))
	}
	return w
}

// step reports to each watcher that lacks one of the changes and whose report is due.
func (w *watchers) step(changes int, now time.Time) {
	for i, name := range w.names {
		if w.seen[i] < changes && w.pacer.Delay(name, now) == 0 {
			w.pacer.Reported(name, now)
			w.seen[i] = changes
			w.reports++
		}
	}
}

// Guards against a report to every waiting entry for each of the thousands of servers that
// announce themselves when a site starts: replicas would do nothing else for minutes, and
// lose their heartbeats and their quorum.
func TestStartOfThousandsOfServersIsReportedAtABoundedRate(t *testing.T) {
	for _, entries := range []int{30, 100, 300, 1000} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			const rate = 500
			w := newWatchers(entries, rate)
			servers, period := 10*entries, 1200*time.Millisecond
			for announced := range servers {
				w.step(announced+1, start.Add(time.Duration(announced)*period/time.Duration(servers)))
			}
			// All get one report at once, since nothing was reported before.
			require.LessOrEqual(t, w.reports, entries+int(rate*period.Seconds())+entries/2)
			last := start.Add(period + w.pacer.interval())
			w.step(servers, last)
			for i := range w.names {
				require.Equal(t, servers, w.seen[i], "every watcher has every change one interval later")
			}
		})
	}
}

// Guards against delaying a single change, such as a server that leaves in a quiet hour: its
// entries would send it requests until the delay is over.
func TestSingleChangeIsReportedAtOnce(t *testing.T) {
	w := newWatchers(300, 500)
	w.step(1, start)
	require.Equal(t, 300, w.reports)
	w.step(2, start.Add(w.pacer.interval()))
	require.Equal(t, 600, w.reports)
}

// Guards against an interval that counts watchers which have ended.
func TestWatchersWithoutReportsAreDropped(t *testing.T) {
	w := newWatchers(300, 500)
	w.step(1, start)
	later := start.Add(2 * watcherTTL)
	w.pacer.Reported("0", later)
	require.Len(t, w.pacer.reported, 1)
}
