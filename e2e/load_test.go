package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/load"
)

// Guards against one workspace starving another: while one sends far more than the
// servers can process, the other's requests are all answered and the surplus of
// the first is refused as not run. Logs the first-token times.
func TestQuietWorkspaceUnderASurge(t *testing.T) {
	s, _, _ := newSmallSite(t, 2, "--slots", "8", "--prefill-rate", "0")
	cfg := load.Config{
		Entries: []string{"http://" + s.addr(entryPort(1)), "http://" + s.addr(entryPort(2))},
		Rate:    110, Duration: 8 * time.Second, Seed: 1, MaxInFlight: 2000, Expect: fake.Answer,
		Parts: []load.Part{
			{Name: "surge", Weight: 100, Kind: load.Chat, Service: "chat", Model: "demo", Key: workspaceKey, MaxTokens: 50, PromptBytes: 100, Deadline: 5 * time.Second},
			{Name: "quiet", Weight: 10, Kind: load.Chat, Service: "chat", Model: "demo", Key: quietKey, MaxTokens: 20, PromptBytes: 100, Deadline: 10 * time.Second},
		},
	}
	r, err := load.Run(t.Context(), cfg)
	require.NoError(t, err)
	surge, quiet := r.Parts[0], r.Parts[1]
	for _, p := range r.Parts {
		t.Logf("%s: %d requests, %+v, first token p50 %.0f p95 %.0f ms, refusal p95 %.0f ms", p.Name, p.Requests, p.Outcomes, p.FirstToken.P50, p.FirstToken.P95, p.Refusal.P95)
	}
	require.Equal(t, quiet.Requests, quiet.Outcomes.Answered)
	require.Equal(t, surge.Requests, surge.Outcomes.Answered+surge.Outcomes.NotRun+surge.Outcomes.Unknown)
	require.Positive(t, surge.Outcomes.NotRun)
	require.Less(t, 10*surge.Outcomes.Unknown, surge.Outcomes.Answered, "requests cut off by their deadlines")
}

// Guards against a concurrency limit that applies per entry instead of to the
// workspace: of 24 requests sent at once over two entries, at most four may run
// at the same time; the others are refused with Retry-After.
func TestLimitHoldsOverEntries(t *testing.T) {
	s, _, _ := newSmallSite(t, 1, "--slots", "64")
	c := newTestCatalogue()
	c.Workspaces[0].Limits.Concurrency = 4
	version := s.apply(c)
	body, _ := chatBody("limited", 100, false)
	for i := 1; i <= 2; i++ {
		s.eventually("the entry applies the limit", func() error {
			if !strings.Contains(s.status(i), fmt.Sprintf(`"catalogueVersion":%d,`, version)) {
				return fmt.Errorf("entry %d has another version", i)
			}
			return nil
		})
	}
	s.eventually("both entries have their share of the limit", func() error {
		for i := 1; i <= 2; i++ {
			short, _ := chatBody("short", 1, false)
			if r, err := s.call(t.Context(), i, "POST", "/v1/chat/completions", short, nil); err != nil || r.status != http.StatusOK {
				return fmt.Errorf("entry %d: %v %s", i, err, r.body)
			}
		}
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	peakRunning := make(chan int, 1)
	go func() {
		peak := 0
		for ctx.Err() == nil {
			peak = max(peak, s.engineStats(1).Running)
		}
		peakRunning <- peak
	}()
	var wg sync.WaitGroup
	replies := make([]reply, 24)
	for k := range replies {
		wg.Go(func() { replies[k], _ = s.call(t.Context(), 1+k%2, "POST", "/v1/chat/completions", body, nil) })
	}
	wg.Wait()
	cancel()
	answered := 0
	for _, r := range replies {
		if r.status == http.StatusOK {
			answered++
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, r.status, r.body)
		require.Equal(t, "not_run", r.header.Get("Savoryreel-Outcome"))
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	peak := <-peakRunning
	t.Logf("%d of %d answered, at most %d at a time", answered, len(replies), peak)
	require.LessOrEqual(t, peak, 4)
	require.Positive(t, answered)
}
