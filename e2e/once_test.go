package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
)

// credit sends a statement credit, which may run once, to entry i.
func (s *site) sendCredit(ctx context.Context, i int, key string) (reply, error) {
	return s.call(ctx, i, "POST", "/svc/echo/credit", "1 EUR", map[string]string{"Idempotency-Key": key})
}

// A caller loses patience and sends its credit to both entries at the same
// time, several times over. It runs once, and each arrival gets the one answer.
func TestOnceUnderResendsToBothEntries(t *testing.T) {
	s := newOnceSite(t, 400*time.Millisecond)
	var wg sync.WaitGroup
	bodies := make([]string, 8)
	for k := range bodies {
		wg.Go(func() {
			r, err := s.sendCredit(t.Context(), 1+k%2, "credit-7")
			if err != nil || r.status != http.StatusOK {
				bodies[k] = fmt.Sprint(err, r.status, r.body)
				return
			}
			bodies[k] = r.body
		})
	}
	wg.Wait()
	for _, b := range bodies {
		require.Equal(t, bodies[0], b)
	}
	require.Equal(t, 1, s.plainStats(1).Executions["credit-7"])
}

// A caller's connection breaks while its credit runs. The credit runs on and its
// answer is kept, so the caller that sends it again gets the answer and not
// "unknown". Without callContext this test fails.
func TestOnceWhenTheCallerLeaves(t *testing.T) {
	s := newOnceSite(t, 700*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := s.sendCredit(ctx, 1, "credit-8")
	require.Error(t, err)
	r, err := s.sendCredit(t.Context(), 2, "credit-8")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, 1, s.plainStats(1).Executions["credit-8"])
}

// The entry that runs a credit is killed before the answer is out. The caller
// sends it again to the other entry, which cannot know whether it ran. It must
// say so, at once and each time, and never run it a second time.
func TestOnceAfterTheEntryDied(t *testing.T) {
	s, entries, _ := newSmallSite(t, 1)
	s.setFaults(7301, fake.Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = s.sendCredit(ctx, 1, "credit-9") })
	s.eventually("the credit is recorded", func() error {
		for _, r := range s.operator().Replicas(t.Context()) {
			if r.LedgerRecords > 2 { // two were left by the checks of readiness
				return nil
			}
		}
		return fmt.Errorf("no record yet")
	})
	entries[0].kill(t)
	s.setFaults(7301, fake.Faults{})
	wg.Wait()
	for range 2 {
		r, err := s.sendCredit(t.Context(), 2, "credit-9")
		require.NoError(t, err)
		require.Equal(t, "unknown", r.header.Get("Savoryreel-Outcome"), r.body)
		require.Contains(t, r.body, "outcome_unknown")
	}
	require.LessOrEqual(t, s.plainStats(1).Executions["credit-9"], 1)
}

// The plain service dies after it has read a credit. Nobody can tell whether
// the credit was made, so the answer is "unknown" and no other server is asked.
func TestOnceWhenTheServerDies(t *testing.T) {
	s, _, _ := newSmallSite(t, 1)
	s.startPlain(2, "z2")
	s.waitForServers(1, 3)
	s.setFaults(7301, fake.Faults{CrashOn: "EUR"})
	s.setFaults(7302, fake.Faults{CrashOn: "EUR"})
	r, err := s.sendCredit(t.Context(), 1, "credit-3")
	require.NoError(t, err)
	require.Equal(t, "unknown", r.header.Get("Savoryreel-Outcome"), r.body)
	second, err := s.sendCredit(t.Context(), 2, "credit-3")
	require.NoError(t, err)
	require.Equal(t, "unknown", second.header.Get("Savoryreel-Outcome"), second.body)
	alive := 0
	for _, port := range []int{7301, 7302} {
		if resp, err := http.Get("http://" + s.addr(port) + "/healthz"); err == nil {
			_ = resp.Body.Close()
			alive++
		}
	}
	require.Equal(t, 1, alive, "the credit reached two servers")
}

// All control replicas but one are frozen, so no record can be committed. A
// credit must be refused as not run, with when to come back, and must not run.
// Once the replicas run again, the same credit is taken.
func TestOnceWithoutAMajority(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(3)
	s.startEntry(1, "z1")
	s.startPlain(1, "z1")
	s.apply(newTestCatalogue())
	s.waitUntilServing(1, "/svc/echo/ready", "x")
	for _, r := range replicas[1:] {
		r.freeze(t)
	}
	r, err := s.sendCredit(t.Context(), 1, "credit-5")
	require.NoError(t, err)
	require.Equal(t, "not_run", r.header.Get("Savoryreel-Outcome"), r.body)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, s.plainStats(1).Executions["credit-5"])
	for _, r := range replicas[1:] {
		r.signal(t, syscall.SIGCONT)
	}
	s.eventually("the credit is taken", func() error {
		r, err := s.sendCredit(t.Context(), 1, "credit-5")
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	require.Equal(t, 1, s.plainStats(1).Executions["credit-5"])
}

// The control leader is killed while credits are being recorded. Credits whose
// record was lost on the way are proposed again; each runs once.
func TestOnceWhileTheLeaderDies(t *testing.T) {
	s := newSite(t)
	replicas := s.startControl(3)
	s.startEntry(1, "z1")
	s.startPlain(1, "z1")
	s.apply(newTestCatalogue())
	s.waitUntilServing(1, "/svc/echo/ready", "x")
	leader := s.leaderIndex()
	var wg sync.WaitGroup
	replies := make([]reply, 60)
	errs := make([]error, len(replies))
	for k := range replies {
		wg.Go(func() {
			<-time.After(time.Duration(k) * 10 * time.Millisecond)
			replies[k], errs[k] = s.sendCredit(t.Context(), 1, fmt.Sprint("k", k))
		})
	}
	replicas[leader].kill(t)
	wg.Wait()
	executions := s.plainStats(1).Executions
	for k, r := range replies {
		require.NoError(t, errs[k])
		key := fmt.Sprint("k", k)
		require.LessOrEqual(t, executions[key], 1)
		if r.header.Get("Savoryreel-Outcome") == "not_run" {
			require.Zero(t, executions[key], r.body)
		}
		require.Equal(t, http.StatusOK, r.status, r.body)
	}
}
