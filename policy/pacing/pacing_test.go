package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

var rates = Rates{Urgent: 300, Routine: 150}

// watchers is a model of processes that each wait for changes at one replica.
type watchers struct {
	pacer   *Pacer
	names   []string
	seen    []int // changes that were reported to each
	reports int
}

func newWatchers(n int) *watchers {
	w := &watchers{pacer: New(rates), seen: make([]int, n)}
	for i := range n {
		w.names = append(w.names, fmt.Sprint(i))
	}
	return w
}

// step reports to each watcher that lacks one of the changes and whose report is due.
func (w *watchers) step(changes int, urgent bool, now time.Time) {
	for i, name := range w.names {
		if w.seen[i] < changes && w.pacer.Delay(name, urgent, now) == 0 {
			w.pacer.Reported(name, now)
			w.seen[i] = changes
			w.reports++
		}
	}
}

// Guards against a report to every waiting entry for each of the thousands of servers that
// announce themselves when a site starts, or leave when zones are reclaimed: replicas would do
// nothing else for minutes, and lose their heartbeats and their quorum.
func TestChangesOfThousandsOfServersAreReportedAtABoundedRate(t *testing.T) {
	for _, entries := range []int{30, 100, 300, 1000} {
		for _, urgent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d entries, urgent %v", entries, urgent), func(t *testing.T) {
				rate := rates.Routine
				if urgent {
					rate = rates.Urgent
				}
				w := newWatchers(entries)
				servers, period := 10*entries, 1200*time.Millisecond
				for announced := range servers {
					w.step(announced+1, urgent, start.Add(time.Duration(announced)*period/time.Duration(servers)))
				}
				// All get one report at once, since nothing was reported before.
				require.LessOrEqual(t, w.reports, 2*entries+int(rate*period.Seconds()))
				w.step(servers, urgent, start.Add(period+w.pacer.interval(urgent)))
				for i := range w.names {
					require.Equal(t, servers, w.seen[i], "every watcher has every change one interval later")
				}
			})
		}
	}
}

// Guards against a leave that waits behind the announcements of new servers: while a zone
// starts, entries would send requests to servers whose leave was acknowledged seconds ago.
func TestLeaveIsNotDelayedByNewServers(t *testing.T) {
	w := newWatchers(300)
	w.step(1, false, start)
	now := start.Add(w.pacer.interval(true))
	w.step(2, false, now)
	require.Equal(t, 300, w.reports, "new servers wait")
	w.step(3, true, now)
	require.Equal(t, 600, w.reports)
	require.Less(t, w.pacer.interval(true), 1300*time.Millisecond)
}

// Guards against delaying a single change, such as a server that starts in a quiet hour.
func TestSingleChangeIsReportedAtOnce(t *testing.T) {
	w := newWatchers(300)
	w.step(1, false, start)
	require.Equal(t, 300, w.reports)
	w.step(2, false, start.Add(w.pacer.interval(false)))
	require.Equal(t, 600, w.reports)
}

// Guards against an interval that counts watchers which have ended.
func TestWatchersWithoutReportsAreDropped(t *testing.T) {
	w := newWatchers(300)
	w.step(1, false, start)
	later := start.Add(2 * watcherTTL)
	w.pacer.Reported("0", later)
	require.Len(t, w.pacer.reported, 1)
}
