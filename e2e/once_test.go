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

// sendCredit sends entry i a request that may run at most once per idempotency key.
func (s *site) sendCredit(ctx context.Context, i int, key string) (reply, error) {
	return s.call(ctx, i, "POST", "/svc/echo/credit", "1 EUR", map[string]string{"Idempotency-Key": key})
}

// Guards against double execution when a caller sends the same credit to both
// entries several times at once: it runs once and all get the same answer.
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

// Guards against an "unknown" outcome after a caller's connection broke while its
// credit ran: the credit completes, its answer is stored, and a resend gets it.
// Fails without callContext in entry.
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

// Guards against double execution after the entry that runs a credit was killed:
// the other entry can't determine whether it ran, so each resend must get the
// outcome "unknown" and the credit must not run again.
func TestOnceAfterTheEntryDied(t *testing.T) {
	s, entries, _ := newSmallSite(t, 1)
	s.setFaults(7301, fake.Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = s.sendCredit(ctx, 1, "credit-9") })
	s.eventually("the credit is recorded", func() error {
		for _, r := range s.operator().Replicas(t.Context()) {
			if r.LedgerRecords > 2 { // waitUntilServing wrote two
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

// Guards against a retry of a credit on another server after its server crashed
// having read it: the outcome is "unknown", and the second server gets nothing.
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

// Guards against a credit that runs without a committed record: without a majority
// of control replicas it is refused as not run, with Retry-After. Once the
// replicas run again, the same credit is executed.
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
	s.eventually("the credit is executed", func() error {
		r, err := s.sendCredit(t.Context(), 1, "credit-5")
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	require.Equal(t, 1, s.plainStats(1).Executions["credit-5"])
}

// Guards against lost or doubly executed credits when the control leader is killed
// while they are being recorded: lost records are proposed again, and each credit
// is answered and runs at most once.
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
