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
	polls       = 2000
	reports     = 300
	reportPause = 5 * time.Millisecond // demand is measured over time
)

// Confirm measures how an entry learns that its catalogue is current, by the
// number of control replicas: one call to each. Processor time is of both ends
// together.
func Confirm(ctx context.Context, replicas ...int) (*Table, error) {
	t := &Table{Size: "control replicas", Columns: []string{"sent B/poll", "received B/poll", "both ends µs/poll"}}
	for _, n := range replicas {
		s, err := newSite(ctx, n, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.confirm()
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

func (s *site) confirm() ([]float64, error) {
	if _, err := s.client.Confirm(s.ctx); err != nil { // dials
		return nil, err
	}
	m := newMeter()
	before := s.traffic.Method(api.MethodVersion)
	for range polls {
		if _, err := s.client.Confirm(s.ctx); err != nil {
			return nil, err
		}
	}
	sent, received := s.bytesSince(before)
	return []float64{sent / polls, received / polls, m.perUnit(polls)}, nil
}

func (s *site) bytesSince(before link.MethodTraffic) (sent, received float64) {
	after := s.traffic.Method(before.Method)
	return float64(after.BytesSent - before.BytesSent), float64(after.BytesReceived - before.BytesReceived)
}

// Leases measures one entry's report of its demand and the leases that answer
// it, by the number of workspaces that have limits. Each workspace has calls.
func Leases(ctx context.Context, workspaces ...int) (*Table, error) {
	t := &Table{Size: "limited workspaces", Columns: []string{"sent B/report", "received B/report", "both ends µs/report"}}
	for _, n := range workspaces {
		s, err := newSite(ctx, 1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.leases(n)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

func (s *site) leases(workspaces int) ([]float64, error) {
	if err := s.apply(limitedCatalogue(workspaces)); err != nil {
		return nil, err
	}
	e, err := newLimitedEntry(1, workspaces)
	if err != nil {
		return nil, err
	}
	if err := s.eventually("first lease", func() error { return e.report(s.ctx, s.client) }); err != nil {
		return nil, err
	}
	m := newMeter()
	before := s.traffic.Method(api.MethodLeases)
	for range reports {
		<-time.After(reportPause)
		if err := e.report(s.ctx, s.client); err != nil {
			return nil, err
		}
	}
	sent, received := s.bytesSince(before)
	return []float64{sent / reports, received / reports, m.perUnit(reports)}, nil
}

// LeaseEntries measures one report at the leader by the number of entries that
// hold parts of the limits, with 50 limited workspaces.
func LeaseEntries(ctx context.Context, entries ...int) (*Table, error) {
	const workspaces, rounds = 50, 5
	t := &Table{Size: "entries", Columns: []string{"both ends µs/report", "leader's memory, kB"}}
	for _, n := range entries {
		s, err := newSite(ctx, 1, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		values, err := s.leaseEntries(n, workspaces, rounds)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

func (s *site) leaseEntries(n, workspaces, rounds int) ([]float64, error) {
	if err := s.apply(limitedCatalogue(workspaces)); err != nil {
		return nil, err
	}
	var all []*limitedEntry
	for i := range n {
		e, err := newLimitedEntry(i, workspaces)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	before := memoryInUse()
	round := func() error {
		for _, e := range all {
			if err := s.eventually("lease", func() error { return e.report(s.ctx, s.client) }); err != nil {
				return err
			}
		}
		return nil
	}
	if err := round(); err != nil {
		return nil, err
	}
	memory := memoryInUse() - before
	m := newMeter()
	for range rounds {
		if err := round(); err != nil {
			return nil, err
		}
	}
	return []float64{m.perUnit(rounds * n), memory / 1000}, nil
}

// limitedEntry reports demand as an entry does: by policy/admit.
type limitedEntry struct {
	name       string
	workspaces int
	admitter   *admit.Admitter
	term       uint64
	sequence   uint64
}

func newLimitedEntry(number, workspaces int) (*limitedEntry, error) {
	admitter, err := admit.New(admit.DefaultConfig())
	if err != nil {
		return nil, err
	}
	e := &limitedEntry{name: fmt.Sprintf("entry-%03d", number), workspaces: workspaces, admitter: admitter}
	for i := range workspaces {
		w := workspaceNumber(i)
		admitter.SetLimits(time.Now(), w.Name, w.Limits)
	}
	return e, nil
}

// report lets one request of each workspace in, reports, and applies the leases.
func (e *limitedEntry) report(ctx context.Context, client *api.Client) error {
	for i := range e.workspaces {
		e.admitter.Decide(time.Now(), admit.Request{
			Workspace: workspaceNumber(i).Name, Class: contract.ClassStandard, Cost: 300, Deadline: time.Now().Add(time.Minute),
		}, 0)
	}
	for range 2 { // the first answer to a new leader's entry tells only the term
		e.sequence++
		asked := time.Now()
		reply, err := client.Leases(ctx, admit.Report{
			Entry: e.name, Term: e.term, Sequence: e.sequence, Demands: e.admitter.Demands(asked, e.term),
		})
		if err != nil {
			return err
		}
		e.term = reply.Term
		if reply.Status != admit.Leased {
			continue
		}
		for _, l := range reply.Leases {
			e.admitter.Apply(time.Now(), asked, l)
		}
		return nil
	}
	return fmt.Errorf("%s got no lease", e.name)
}

// service number i, with an owner and one workspace that may call it.
func serviceNumber(i int) contract.Service {
	name := fmt.Sprintf("service-%04d", i)
	return contract.Service{
		Name: name, Owner: name + "@example.com", Kind: contract.KindModel, Model: strings.ToLower(name),
		Workspaces: []string{workspaceNumber(i).Name},
	}
}
