package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/internal/relay"
)

// Guards against failed requests during a planned stop of an entry: callers that
// still use an older list of entries are served until it expires, the entry is no
// longer listed, and it is listed again after the stop is cancelled.
func TestPlannedStopOfAnEntry(t *testing.T) {
	s, _, _ := newSmallSite(t, 2)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	var answered atomic.Int32
	var failure atomic.Pointer[string]
	for k := range 4 {
		wg.Go(func() { s.callListedEntries(ctx, k, &answered, &failure) })
	}
	_, err := s.operator().PlanStop(t.Context(), contract.Stop{ID: "stop-entry", Scope: contract.StopInstance, Name: "entry-1"})
	require.NoError(t, err)
	s.waitForEntries(2, 1)
	s.eventually("the entry is closed", func() error {
		if !strings.Contains(s.status(1), `"phase":"closed"`) {
			return fmt.Errorf("not closed")
		}
		return nil
	})
	answeredBefore := answered.Load()
	s.eventually("callers are still answered", func() error {
		if answered.Load() < answeredBefore+20 {
			return fmt.Errorf("%d answers", answered.Load())
		}
		return nil
	})
	stop()
	wg.Wait()
	if p := failure.Load(); p != nil {
		t.Fatal(*p)
	}
	_, err = s.operator().CancelStop(t.Context(), "stop-entry")
	require.NoError(t, err)
	s.waitForEntries(2, 2)
}

// callListedEntries sends requests as client number k until ctx ends. It fetches the
// list of entries each time the last one has expired (after 1 s); an even client then
// calls entry 1 while that is listed, all others entry 2. It counts the answers and
// stores the first failure.
func (s *site) callListedEntries(ctx context.Context, k int, answered *atomic.Int32, failure *atomic.Pointer[string]) {
	target := 1 + k%2
	var listExpires time.Time
	body, _ := chatBody("short", 2, false)
	for ctx.Err() == nil {
		if time.Now().After(listExpires) {
			r, err := s.call(ctx, 2, "GET", "/v1/entries", "", nil)
			if err == nil && strings.Contains(r.body, `"entry-1"`) && k%2 == 0 {
				target = 1
			} else {
				target = 2
			}
			listExpires = time.Now().Add(time.Second)
		}
		r, err := s.call(ctx, target, "POST", "/v1/chat/completions", body, nil)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil || r.status != http.StatusOK:
			text := fmt.Sprintf("entry %d: %v, status %d: %s", target, err, r.status, r.body)
			failure.CompareAndSwap(nil, &text)
		default:
			answered.Add(1)
		}
	}
}

// Guards against a planned stop that a backend server's own "serving" state
// overrides: within three seconds it receives no new requests, and it receives some
// again once the stop is cancelled.
func TestPlannedStopOfABackendServer(t *testing.T) {
	s, _, _ := newSmallSite(t, 2)
	_, err := s.operator().PlanStop(t.Context(), contract.Stop{ID: "stop-engine", Scope: contract.StopInstance, Name: "engine-1"})
	require.NoError(t, err)
	body, _ := chatBody("anything", 1, false)
	checkNoRequests := func() error {
		before := len(s.engineStats(1).Runs)
		for range 10 {
			if r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil); err != nil || r.status != http.StatusOK {
				return fmt.Errorf("%v %s", err, r.body)
			}
		}
		if n := len(s.engineStats(1).Runs) - before; n > 0 {
			return fmt.Errorf("%d requests reached the stopped server", n)
		}
		return nil
	}
	s.eventuallyWithin(3*time.Second, "the stopped server receives no requests", checkNoRequests)
	require.NoError(t, checkNoRequests())
	_, err = s.operator().CancelStop(t.Context(), "stop-engine")
	require.NoError(t, err)
	s.eventually("the server receives requests again", func() error {
		if checkNoRequests() == nil {
			return fmt.Errorf("no request reached it")
		}
		return nil
	})
}

// Guards against a revoked key that is still accepted: within six seconds of the
// change no entry admits requests with it, nor does an entry that restarts.
func TestKeyTakenAwayIsInForceEverywhere(t *testing.T) {
	s, entries, _ := newSmallSite(t, 1)
	c := newTestCatalogue()
	c.Workspaces = c.Workspaces[1:]
	s.apply(c)
	accepted := time.Now()
	body, _ := chatBody("anything", 1, false)
	checkRefused := func(i int) error {
		r, err := s.call(t.Context(), i, "POST", "/v1/chat/completions", body, nil)
		if err == nil && r.status == http.StatusOK {
			err = fmt.Errorf("entry %d still serves", i)
		}
		return err
	}
	for i := 1; i <= 2; i++ {
		s.eventuallyWithin(6*time.Second, "the entry applies the change", func() error { return checkRefused(i) })
	}
	t.Logf("applied by both entries after %s", time.Since(accepted).Round(time.Millisecond))
	entries[0].kill(t)
	s.startEntry(1, "z1")
	s.eventually("the restarted entry refuses the key", func() error {
		r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil)
		if err == nil && r.status != http.StatusUnauthorized {
			err = fmt.Errorf("status %d", r.status)
		}
		return err
	})
}

// Guards against serving from a catalogue that can't be confirmed: while control is
// frozen, new requests are refused as not run with Retry-After, and requests
// admitted before are answered in full.
func TestEntryWithoutControl(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(1)
	s.startEntry(1, "z1")
	s.startEngine(1, "z1", "--token-time", "10ms")
	s.apply(newTestCatalogue())
	body, _ := chatBody("ready?", 1, false)
	s.waitUntilServing(1, "/v1/chat/completions", body)
	errs := s.streamAll(t.Context(), 1, 2, 900, func() {
		s.waitForTokens(1, 10)
		replicas[0].freeze(t)
		s.eventuallyWithin(8*time.Second, "new requests are refused", func() error {
			r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil)
			if err == nil && !strings.Contains(r.body, "catalogue_unconfirmed") {
				err = fmt.Errorf("status %d: %s", r.status, r.body)
			}
			if err == nil {
				require.NotEmpty(t, r.header.Get("Retry-After"))
				require.Equal(t, "not_run", r.header.Get("Savoryreel-Outcome"))
			}
			return err
		})
	})
	requireNoErrors(t, errs)
	replicas[0].signal(t, syscall.SIGCONT)
	s.waitUntilServing(1, "/v1/chat/completions", body)
}

// Guards against an entry that waits forever on a half-open connection to control, as
// after a middlebox lost its state: the entry must reconnect and apply the next
// change within six seconds.
func TestSilentLinkToControl(t *testing.T) {
	s := newSite(t)
	s.startControl(1)
	r, err := relay.New(s.controlLinkAddrs[0])
	require.NoError(t, err)
	t.Cleanup(r.Close)
	s.controlLinkAddrs = []string{r.Addr()}
	s.startEntry(1, "z1")
	s.startEngine(1, "z1")
	s.apply(newTestCatalogue())
	body, _ := chatBody("ready?", 1, false)
	s.waitUntilServing(1, "/v1/chat/completions", body)
	r.Silence()
	c := newTestCatalogue()
	c.Workspaces = c.Workspaces[1:]
	s.apply(c)
	s.eventuallyWithin(6*time.Second, "the entry applies the change", func() error {
		r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil)
		if err == nil && r.status == http.StatusOK {
			err = fmt.Errorf("still served")
		}
		return err
	})
	s.eventually("the key is refused by the new catalogue", func() error {
		r, err := s.call(t.Context(), 1, "POST", "/v1/chat/completions", body, nil)
		if err == nil && r.status != http.StatusUnauthorized {
			err = fmt.Errorf("status %d", r.status)
		}
		return err
	})
}
