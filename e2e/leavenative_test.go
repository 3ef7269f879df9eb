package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

const (
	// nativeLeaveBound is the time after the acknowledgement of its leave from which a server must get
	// no requests: a few seconds, by the users' brief.
	nativeLeaveBound = 3 * time.Second
	nativeHeartbeat  = time.Second
)

// ownServer is a plain service that the test announces itself.
type ownServer struct {
	*httptest.Server
	s  *site
	id string

	mu       sync.Mutex
	sequence uint64
	arrivals []time.Time
}

func (s *site) startOwnServer(id string) *ownServer {
	o := &ownServer{s: s, id: id}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			o.mu.Lock()
			o.arrivals = append(o.arrivals, time.Now())
			o.mu.Unlock()
		}
		_, _ = w.Write([]byte("ok"))
	}))
	s.t.Cleanup(o.Close)
	return o
}

// announce announces the server to entry i.
func (o *ownServer) announce(ctx context.Context, i int, state instance.State) error {
	o.mu.Lock()
	o.sequence++
	a := instance.Announcement{
		ID: o.id, Incarnation: 1, Sequence: o.sequence, Address: o.Listener.Addr().String(), Region: "r1", Zone: "z1", Class: "small",
		State: state, Services: []string{"echo"}, Slots: 8,
	}
	o.mu.Unlock()
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.s.addr(entryPort(i))+native.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+announceKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %d: %s", resp.StatusCode, readAll(resp))
	}
	return nil
}

// since counts the requests that arrived after a time.
func (o *ownServer) since(t time.Time) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Guards against a leave that is lost with the one entry that has it: requests would go on reaching a
// server whose leave was acknowledged.
func TestLeaveOutlastsTheEntryThatAcknowledgedIt(t *testing.T) {
	const servers = 8 // half of them say that they leave, half that they are gone
	states := []instance.State{instance.StateLeaving, instance.StateGone}
	for name, end := range map[string]func(*process){
		"killed": func(p *process) { p.kill(t) },
		"frozen": func(p *process) { p.freeze(t) },
	} {
		t.Run(name, func(t *testing.T) {
			s, entries, _ := newSmallSite(t, 1)
			var own []*ownServer
			for i := range servers {
				own = append(own, s.startOwnServer(fmt.Sprintf("own-%d", i)))
			}
			stopHeartbeats := s.heartbeats(own)
			s.waitForServers(2, servers+2)
			stopCallers := s.callEcho(2)
			defer stopCallers()
			time.Sleep(500 * time.Millisecond)
			stopHeartbeats()
			for i, o := range own {
				require.NoError(t, o.announce(t.Context(), 1, states[i%len(states)]))
			}
			end(entries[0])
			acknowledged := time.Now()
			time.Sleep(nativeLeaveBound + 4*time.Second)
			late, reached := make(map[instance.State]int), 0
			for i, o := range own {
				reached += o.since(time.Time{})
				late[states[i%len(states)]] += o.since(acknowledged.Add(nativeLeaveBound))
			}
			t.Logf("%v of %d arrivals later than %s after the acknowledgement", late, reached, nativeLeaveBound)
			require.Positive(t, reached)
			require.Zero(t, late[instance.StateLeaving]+late[instance.StateGone])
		})
	}
}

// heartbeats announces servers to entry 1, and again at intervals until the returned function is called.
func (s *site) heartbeats(servers []*ownServer) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var wg sync.WaitGroup
	for _, o := range servers {
		require.NoError(s.t, o.announce(ctx, 1, instance.StateServing))
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = o.announce(ctx, 1, instance.StateServing) // the next heartbeat follows
				time.Sleep(nativeHeartbeat)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// callEcho sends requests to entry i until the returned function is called.
func (s *site) callEcho(i int) (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				_, _ = s.call(ctx, i, "PUT", "/svc/echo/tiles/7", "1 EUR", nil) // counted at the servers
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}
