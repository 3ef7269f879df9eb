package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/membership"
)

const (
	catalogueChanges = 5
	trafficWindow    = 5 * time.Second
	settleTime       = 2 * time.Second
)

// Nodes measures real entries over loopback, by their number, with three control
// replicas: the link traffic of one idle entry by purpose, and the time from the
// acceptance of a catalogue change until it is in force at the last entry.
// Processor time is that of the whole process, control replicas included, divided
// by the entries. Membership counts sent bytes only; an entry receives about as
// many over links that others dialled.
func Nodes(ctx context.Context, entries ...int) (*Table, error) {
	t := &Table{SizeLabel: "entries", Columns: []string{
		"membership sent B/s", "version B/s", "leases B/s", "heartbeats B/s", "other B/s", "core %/entry", "in force, mean ms", "worst ms",
	}}
	for _, n := range entries {
		values, err := measureNodes(ctx, n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureNodes returns one row for n entries.
func measureNodes(ctx context.Context, n int) ([]float64, error) {
	w := newVersionWatcher()
	s, err := newSite(ctx, 3, slog.New(w))
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startEntries(n); err != nil {
		return nil, err
	}
	if err := s.eventually("catalogue in force at all entries", func() error { return w.checkActive(s.catalogueVersion, n) }); err != nil {
		return nil, err
	}
	<-time.After(settleTime)
	traffic, err := s.idleTraffic()
	if err != nil {
		return nil, err
	}
	mean, worst, err := s.measureActivation(w, n)
	return append(traffic, mean, worst), err
}

// idleTraffic returns the bytes per second of one idle entry by purpose, and its
// processor time in percent of a core.
func (s *site) idleTraffic() ([]float64, error) {
	var before, after map[string]float64
	before, err := s.allLinkBytes()
	if err != nil {
		return nil, err
	}
	cpuBefore := cpuTime()
	<-time.After(trafficWindow)
	cores := (cpuTime() - cpuBefore).Seconds() / trafficWindow.Seconds()
	if after, err = s.allLinkBytes(); err != nil {
		return nil, err
	}
	var gossip, version, leases, heartbeats, other float64
	for method, bytes := range after {
		rate := (bytes - before[method]) / trafficWindow.Seconds() / float64(len(s.entries))
		switch method {
		case membership.Method:
			gossip += rate
		case api.MethodVersion:
			version += rate
		case api.MethodLeases:
			leases += rate
		case link.MethodHeartbeat:
			heartbeats += rate
		default:
			other += rate
		}
	}
	return []float64{gossip, version, leases, heartbeats, other, cores * 100 / float64(len(s.entries))}, nil
}

// allLinkBytes returns the bytes that all entries together have sent and
// received, by method.
func (s *site) allLinkBytes() (map[string]float64, error) {
	sum := map[string]float64{}
	for _, e := range s.entries {
		traffic, err := s.scrapeLinkTraffic(e.ops)
		if err != nil {
			return nil, err
		}
		for method, t := range traffic {
			sum[method] += t.bytes
		}
	}
	return sum, nil
}

// measureActivation changes the catalogue several times and returns the mean and
// the longest time until the last entry has activated a change, in milliseconds.
func (s *site) measureActivation(w *versionWatcher, entries int) (mean, worst float64, err error) {
	for i := range catalogueChanges {
		if err := s.applyCatalogue(limitedCatalogue(10 + i)); err != nil {
			return 0, 0, err
		}
		acceptedAt := time.Now()
		if err := s.eventually("change in force at all entries", func() error { return w.checkActive(s.catalogueVersion, entries) }); err != nil {
			return 0, 0, err
		}
		elapsedMs := w.lastActivated(s.catalogueVersion).Sub(acceptedAt).Seconds() * 1e3
		mean += elapsedMs / catalogueChanges
		worst = max(worst, elapsedMs)
	}
	return mean, worst, nil
}

// versionWatcher is a log handler that records which catalogue versions the
// entries have activated, and when. It is safe for concurrent use.
type versionWatcher struct {
	mu             sync.Mutex
	entryCount     map[uint64]int
	lastActivation map[uint64]time.Time
}

func newVersionWatcher() *versionWatcher {
	return &versionWatcher{entryCount: map[uint64]int{}, lastActivation: map[uint64]time.Time{}}
}

// Enabled implements slog.Handler.
func (w *versionWatcher) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }

// Handle implements slog.Handler.
func (w *versionWatcher) Handle(_ context.Context, r slog.Record) error {
	if r.Message != event.CatalogueTaken.String() {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "version" {
			return true
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.entryCount[a.Value.Uint64()]++
		w.lastActivation[a.Value.Uint64()] = r.Time
		return false
	})
	return nil
}

// WithAttrs implements slog.Handler.
func (w *versionWatcher) WithAttrs([]slog.Attr) slog.Handler { return w }

// WithGroup implements slog.Handler.
func (w *versionWatcher) WithGroup(string) slog.Handler { return w }

// checkActive returns an error unless the given number of entries have activated
// the version.
func (w *versionWatcher) checkActive(version uint64, entries int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entryCount[version] < entries {
		return fmt.Errorf("version %d is in force at %d of %d entries", version, w.entryCount[version], entries)
	}
	return nil
}

// lastActivated returns when the last entry activated the version.
func (w *versionWatcher) lastActivated(version uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastActivation[version]
}
