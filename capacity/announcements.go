package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/entry"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/membership"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
)

// idleServerWindow is shorter than the time after which an entry considers a
// server without announcements gone.
const idleServerWindow = 2 * time.Second

// Announcements measures the processor time that backend servers of one model
// cost a real entry, by their number: a server's first announcement, a repeated
// one without changes, and the entry's load while no announcements arrive. The
// announcing side runs in this process too and is included.
func Announcements(ctx context.Context, servers ...int) (*Table, error) {
	t := &Table{SizeLabel: "backend servers", Columns: []string{"first µs", "later µs", "quiet core %"}}
	for _, n := range servers {
		s, err := newServingSite(ctx, 1, 0, 0)
		if err != nil {
			return nil, err
		}
		values, err := s.measureAnnouncements(n)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureAnnouncements returns one row for n servers.
func (s *site) measureAnnouncements(n int) ([]float64, error) {
	if err := s.eventually("announce", func() error { return s.announce(testAnnouncement(0)) }); err != nil {
		return nil, err
	}
	<-time.After(settleTime)
	m := newCPUMeter()
	idleCores := m.idleCores
	if err := s.announceAll(n, 1); err != nil {
		return nil, err
	}
	firstMicroseconds := m.microsecondsPerUnit(n)
	m.start()
	if err := s.announceAll(n, 2); err != nil {
		return nil, err
	}
	laterMicroseconds := m.microsecondsPerUnit(n)
	cpuBefore := cpuTime()
	<-time.After(idleServerWindow)
	quietCores := (cpuTime()-cpuBefore).Seconds()/idleServerWindow.Seconds() - idleCores
	return []float64{firstMicroseconds, laterMicroseconds, quietCores * 100}, nil
}

// announceAll announces the first n servers to the first entry, all with the same
// sequence number.
func (s *site) announceAll(n int, sequence uint64) error {
	for i := range n {
		a := testAnnouncement(i)
		a.Sequence = sequence
		if err := s.announce(a); err != nil {
			return err
		}
	}
	return nil
}

// announce sends an announcement to the first entry.
func (s *site) announce(a instance.Announcement) error {
	body, err := json.Marshal(&a)
	if err != nil {
		return trace.Wrap(err, "step=encode announcement")
	}
	address := s.entries[0].callers
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+address+native.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+announceKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err, "step=announce peer=%s", address)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the client reuse the connection
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcement: status %d", resp.StatusCode)
	}
	return nil
}

// Join measures the membership bytes that two entries send, beyond their usual
// traffic, until a third, new entry lists all backend servers, and how long that
// takes, by the number of servers. An entry does not count bytes received over
// links that others dialled.
func Join(ctx context.Context, servers ...int) (*Table, error) {
	t := &Table{SizeLabel: "backend servers", Columns: []string{"membership B", "ms"}}
	for _, n := range servers {
		s, err := newServingSite(ctx, 2, 0, 0)
		if err != nil {
			return nil, err
		}
		values, err := s.measureJoin(n)
		s.close()
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureJoin returns one row for this many servers.
func (s *site) measureJoin(servers int) ([]float64, error) {
	if err := s.eventually("announce", func() error { return s.announceAll(1, 1) }); err != nil {
		return nil, err
	}
	<-time.After(settleTime)
	s.runDaemon("announcements", func(ctx context.Context) error {
		for sequence := uint64(2); ctx.Err() == nil; sequence++ {
			if err := s.announceAll(servers, sequence); err != nil {
				return err
			}
			<-time.After(fake.DefaultHeartbeat / 2)
		}
		return nil
	})
	allKnown := func(e entryAddresses) func() error { return func() error { return s.checkServersKnown(e, servers) } }
	if err := s.eventually("entry lists all servers", allKnown(s.entries[1])); err != nil {
		return nil, err
	}
	bytesBeforeIdle, err := s.membershipSent(2)
	if err != nil {
		return nil, err
	}
	<-time.After(trafficWindow)
	bytesBefore, err := s.membershipSent(2)
	if err != nil {
		return nil, err
	}
	startTime := time.Now()
	if err := s.startEntries(1); err != nil {
		return nil, err
	}
	if err := s.eventually("new entry lists all servers", allKnown(s.entries[2])); err != nil {
		return nil, err
	}
	elapsed := time.Since(startTime)
	bytesAfter, err := s.membershipSent(2)
	idleBytes := (bytesBefore - bytesBeforeIdle) * elapsed.Seconds() / trafficWindow.Seconds()
	return []float64{bytesAfter - bytesBefore - idleBytes, float64(elapsed.Milliseconds())}, err
}

// membershipSent returns the bytes that the first n entries have sent for
// membership.
func (s *site) membershipSent(n int) (float64, error) {
	var sum float64
	for _, e := range s.entries[:n] {
		traffic, err := s.scrapeLinkTraffic(e.ops)
		if err != nil {
			return 0, err
		}
		sum += traffic[membership.Method].bytes
	}
	return sum, nil
}

// checkServersKnown returns an error unless the entry's status lists at least this
// many backend servers.
func (s *site) checkServersKnown(e entryAddresses, servers int) error {
	resp, err := http.Get("http://" + e.ops + "/v1/status")
	if err != nil {
		return trace.Wrap(err, "step=read status peer=%s", e.ops)
	}
	defer resp.Body.Close()
	var status entry.StatusView
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return trace.Wrap(err, "step=read status peer=%s", e.ops)
	}
	if len(status.Servers) < servers {
		return fmt.Errorf("%s lists %d of %d servers", status.ID, len(status.Servers), servers)
	}
	return nil
}

// Ownership measures the reassignment of servers to their owning entries, by the
// number of entries. An entry does it on each change of a server or an entry.
func Ownership(_ context.Context, entries ...int) (*Table, error) {
	const servers, rounds = 600, 20
	t := &Table{SizeLabel: "entries", Columns: []string{"µs/change"}}
	var allServers []quarantine.Server
	for i := range servers {
		allServers = append(allServers, quarantine.Server{ID: testAnnouncement(i).ID, Incarnation: 1})
	}
	for _, n := range entries {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("entry-%03d", i))
		}
		cpuBefore := cpuTime()
		for range rounds {
			quarantine.NewView(ids[0], ids, allServers)
		}
		t.Rows = append(t.Rows, Row{float64(n), []float64{(cpuTime() - cpuBefore).Seconds() * 1e6 / rounds}})
	}
	return t, nil
}
