package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/admit"
)

const (
	pollCount      = 2000
	reportCount    = 300
	reportInterval = 5 * time.Millisecond // demand is a rate, so reports need time between them
)

// Confirm measures the poll by which an entry confirms that its catalogue is
// current, by the number of control replicas. A poll calls each replica once.
// Processor time is that of both ends together.
func Confirm(ctx context.Context, replicas ...int) (*Table, error) {
	t := &Table{SizeLabel: "control replicas", Columns: []string{"sent B/poll", "received B/poll", "both ends µs/poll"}}
	for _, n := range replicas {
		s, err := newSite(ctx, n, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.measureConfirm()
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureConfirm returns the row of this site.
func (s *site) measureConfirm() ([]float64, error) {
	if _, err := s.controlClient.Confirm(s.ctx); err != nil { // opens the links before the measurement
		return nil, err
	}
	m := newCPUMeter()
	before := s.traffic.Method(api.MethodVersion)
	for range pollCount {
		if _, err := s.controlClient.Confirm(s.ctx); err != nil {
			return nil, err
		}
	}
	sent, received := s.bytesSince(before)
	return []float64{sent / pollCount, received / pollCount, m.microsecondsPerUnit(pollCount)}, nil
}

// bytesSince returns the bytes of before's method that the site's pool has sent
// and received since before.
func (s *site) bytesSince(before link.MethodTraffic) (sent, received float64) {
	after := s.traffic.Method(before.Method)
	return float64(after.BytesSent - before.BytesSent), float64(after.BytesReceived - before.BytesReceived)
}

// Leases measures one entry's demand report and the leases in the reply, by the
// number of workspaces with limits. Every workspace has demand.
func Leases(ctx context.Context, workspaces ...int) (*Table, error) {
	t := &Table{SizeLabel: "limited workspaces", Columns: []string{"sent B/report", "received B/report", "both ends µs/report"}}
	for _, n := range workspaces {
		s, err := newSite(ctx, 1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.measureLeases(n)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureLeases returns one row for this many limited workspaces.
func (s *site) measureLeases(workspaces int) ([]float64, error) {
	if err := s.applyCatalogue(limitedCatalogue(workspaces)); err != nil {
		return nil, err
	}
	e, err := newLimitedEntry(1, workspaces)
	if err != nil {
		return nil, err
	}
	if err := s.eventually("first lease", func() error { return e.sendReport(s.ctx, s.controlClient) }); err != nil {
		return nil, err
	}
	m := newCPUMeter()
	before := s.traffic.Method(api.MethodLeases)
	for range reportCount {
		<-time.After(reportInterval)
		if err := e.sendReport(s.ctx, s.controlClient); err != nil {
			return nil, err
		}
	}
	sent, received := s.bytesSince(before)
	return []float64{sent / reportCount, received / reportCount, m.microsecondsPerUnit(reportCount)}, nil
}

// LeaseEntries measures one demand report at the leader by the number of entries
// that hold leases, with 50 limited workspaces.
func LeaseEntries(ctx context.Context, entries ...int) (*Table, error) {
	const workspaces, rounds = 50, 5
	t := &Table{SizeLabel: "entries", Columns: []string{"both ends µs/report", "leader's memory, kB"}}
	for _, n := range entries {
		s, err := newSite(ctx, 1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.measureLeaseEntries(n, workspaces, rounds)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureLeaseEntries returns one row for n entries.
func (s *site) measureLeaseEntries(n, workspaces, rounds int) ([]float64, error) {
	if err := s.applyCatalogue(limitedCatalogue(workspaces)); err != nil {
		return nil, err
	}
	var entries []*limitedEntry
	for i := range n {
		e, err := newLimitedEntry(i, workspaces)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	memoryBefore := memoryInUse()
	reportAll := func() error {
		for _, e := range entries {
			if err := s.eventually("lease", func() error { return e.sendReport(s.ctx, s.controlClient) }); err != nil {
				return err
			}
		}
		return nil
	}
	if err := reportAll(); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	m := newCPUMeter()
	for range rounds {
		if err := reportAll(); err != nil {
			return nil, err
		}
	}
	return []float64{m.microsecondsPerUnit(rounds * n), memory / 1000}, nil
}

// limitedEntry reports demand and applies leases with policy/admit, as an entry
// does.
type limitedEntry struct {
	name       string
	workspaces int
	admitter   *admit.Admitter
	term       uint64
	sequence   uint64
}

// newLimitedEntry returns a limitedEntry with the first workspaces of
// limitedCatalogue.
func newLimitedEntry(number, workspaces int) (*limitedEntry, error) {
	admitter, err := admit.New(admit.DefaultConfig())
	if err != nil {
		return nil, err
	}
	e := &limitedEntry{name: fmt.Sprintf("entry-%03d", number), workspaces: workspaces, admitter: admitter}
	for i := range workspaces {
		w := testWorkspace(i)
		admitter.SetLimits(time.Now(), w.Name, w.Limits)
	}
	return e, nil
}

// sendReport admits one request of each workspace, sends a demand report and
// applies the leases in the reply.
func (e *limitedEntry) sendReport(ctx context.Context, client *api.Client) error {
	for i := range e.workspaces {
		e.admitter.Decide(time.Now(), admit.Request{
			Workspace: testWorkspace(i).Name, Class: contract.ClassStandard, Cost: 300, Deadline: time.Now().Add(time.Minute),
		}, 0)
	}
	for range 2 { // an entry's first report to a leader returns the term only
		e.sequence++
		sentAt := time.Now()
		reply, err := client.Leases(ctx, admit.Report{
			Entry: e.name, Term: e.term, Sequence: e.sequence, Demands: e.admitter.Demands(sentAt, e.term),
		})
		if err != nil {
			return err
		}
		e.term = reply.Term
		if reply.Status != admit.Leased {
			continue
		}
		for _, l := range reply.Leases {
			e.admitter.Apply(time.Now(), sentAt, l)
		}
		return nil
	}
	return fmt.Errorf("no lease granted to %s", e.name)
}

// testService returns service i, which only workspace i may call.
func testService(i int) contract.Service {
	name := fmt.Sprintf("service-%04d", i)
	return contract.Service{
		Name: name, Owner: name + "@example.com", Kind: contract.KindModel, Model: strings.ToLower(name),
		Workspaces: []string{testWorkspace(i).Name},
	}
}
