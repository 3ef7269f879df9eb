package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/load"
	"savoryreel.example/savoryreel/native"
)

const (
	testModel = "m1"
	testKey   = "bearer-key"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEntry starts an entry that handles requests with calls. The list of entries that
// it serves begins with one that cannot be reached.
func startEntry(t *testing.T, calls http.Handler) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"id":"gone","address":"127.0.0.1:1"},{"id":"a","address":%q}],"validSeconds":30}`,
			server.Listener.Addr().String())
	})
	mux.Handle("/", calls)
	t.Cleanup(server.Close)
	return server
}

func startEngine(t *testing.T, cfg fake.EngineConfig) (*fake.Engine, http.Handler) {
	t.Helper()
	cfg.Model = testModel
	e := fake.NewEngine(cfg, fake.Deps{})
	return e, e.Handler()
}

func chatPart(name string) load.Part {
	return load.Part{
		Name: name, Weight: 1, Kind: load.Chat, Service: testModel, Key: testKey,
		PrefixBytes: 200, PromptBytes: 50, MaxTokens: 4,
	}
}

// Guards against complete answers with the wrong text being counted as answered, and
// against a schedule that differs between runs with the same seed.
func TestRunChecksAnswersAndMeasuresOverhead(t *testing.T) {
	_, engine := startEngine(t, fake.EngineConfig{Slots: 64})
	entry := startEntry(t, engine)
	direct := chatPart("direct")
	direct.Direct = entry.Listener.Addr().String()
	cfg := load.Config{
		Entries: []string{entry.URL}, Rate: 400, Duration: 500 * time.Millisecond, Seed: 1,
		Parts:  []load.Part{chatPart("through"), direct},
		Expect: fake.Answer,
	}
	result, err := load.Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Equal(t, result.Total.Requests, result.Total.Outcomes.Answered, "%v", result.Total.Errors)
	require.Equal(t, 4*result.Total.Requests, result.Total.Tokens)
	require.EqualValues(t, 3*result.Total.Requests, result.Total.Between.Count)
	require.Positive(t, result.Total.Redials, "the first entry of the list cannot be reached")
	require.Zero(t, result.Parts[1].Redials)
	overhead, err := result.Overhead("through", "direct")
	require.NoError(t, err)
	t.Logf("through the same server: %+v", overhead)

	repeated, err := load.Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Equal(t, result.Total.Requests, repeated.Total.Requests, "the same seed must give the same schedule")

	cfg.Expect = func(string, []native.Message, int) []string { return []string{"other"} }
	wrong, err := load.Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Equal(t, wrong.Total.Requests, wrong.Total.Outcomes.Wrong)
}

// Guards against coordinated omission: if latency were measured from the actual start,
// a slow system that delays later requests would appear fast.
func TestRunMeasuresLatencyFromIntendedStart(t *testing.T) {
	const answer = 20 * time.Millisecond
	_, engine := startEngine(t, fake.EngineConfig{FirstToken: answer})
	entry := startEntry(t, engine)
	part := chatPart("slow")
	part.MaxTokens = 1
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{entry.URL}, Rate: 100, Duration: 400 * time.Millisecond, MaxInFlight: 1, Seed: 7,
		Parts: []load.Part{part},
	})
	require.NoError(t, err)
	n := result.Total.Requests
	require.Greater(t, n, 20, "the schedule must exceed the capacity of the system")
	require.Equal(t, n, result.Total.Outcomes.Answered)
	// The n requests run one after the other, and the intended start of the last one is
	// before 400 ms. Timers never fire early, so the bound holds on any machine.
	minLatency := time.Duration(n)*answer - 400*time.Millisecond
	require.GreaterOrEqual(t, result.Total.FirstToken.Max, 0.99*float64(minLatency.Milliseconds()))
}

// Guards against a run that never ends because the system hangs, and against requests
// that never started being missing from the result.
func TestRunEndsAndCountsUnstartedWhenServerHangs(t *testing.T) {
	e, engine := startEngine(t, fake.EngineConfig{})
	e.SetFaults(fake.Faults{Freeze: true})
	entry := startEntry(t, engine)
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{entry.URL}, Rate: 100, Duration: 200 * time.Millisecond, Drain: 50 * time.Millisecond,
		MaxInFlight: 2, Parts: []load.Part{chatPart("frozen")},
	})
	e.SetFaults(fake.Faults{})
	require.NoError(t, err)
	o := result.Total.Outcomes
	require.Greater(t, result.Total.Requests, 2)
	require.Equal(t, load.Outcomes{Broken: o.Broken, Unstarted: result.Total.Requests - o.Broken}, o)
	require.LessOrEqual(t, o.Broken, 2, "more requests were running than there are callers")
}

// Guards against reported outcomes of plain calls being miscounted, and against missing
// or repeated idempotency keys.
func TestRunCountsOutcomesOfPlainCalls(t *testing.T) {
	var calls atomic.Int64
	keys := make(chan string, 1000)
	entry := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/svc/statements/credit" || r.Header.Get("Authorization") != "Bearer "+testKey ||
			r.Header.Get("Savoryreel-Deadline-Ms") != "1500" || r.Method != http.MethodPut {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		keys <- r.Header.Get("Idempotency-Key")
		switch calls.Add(1) % 3 {
		case 0:
			w.Header().Set("Savoryreel-Outcome", "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.Header().Set("Savoryreel-Outcome", "unknown")
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{entry.URL}, Rate: 300, Duration: 200 * time.Millisecond, Seed: 3,
		Surges: []load.Surge{{Part: "credit", From: 100 * time.Millisecond, For: 100 * time.Millisecond, Factor: 3}},
		Parts: []load.Part{{
			Name: "credit", Weight: 1, Kind: load.Plain, Service: "statements", Path: "credit",
			Method: http.MethodPut, Key: testKey, Deadline: 1500 * time.Millisecond, Once: true, BodyBytes: 10,
		}},
	})
	require.NoError(t, err)
	n := int(calls.Load())
	require.Equal(t, n, result.Total.Requests)
	require.Equal(t, load.Outcomes{Answered: n - n/3 - (n+2)/3, NotRun: n / 3, Unknown: (n + 2) / 3}, result.Total.Outcomes)
	close(keys)
	seen := make(map[string]bool)
	for key := range keys {
		require.NotEmpty(t, key)
		require.False(t, seen[key], "key %s was sent twice", key)
		seen[key] = true
	}
}

// Guards against losing the bearer token when a draining entry redirects a request: the
// other entry would refuse it as unauthorized.
func TestRunKeepsKeyOnRedirect(t *testing.T) {
	_, engine := startEngine(t, fake.EngineConfig{})
	other := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+testKey {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		engine.ServeHTTP(w, r)
	}))
	draining := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", other.URL+r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{draining.URL}, Rate: 100, Duration: 100 * time.Millisecond, Seed: 5,
		Parts: []load.Part{chatPart("moved")}, Expect: fake.Answer,
	})
	require.NoError(t, err)
	require.Positive(t, result.Total.Requests)
	require.Equal(t, result.Total.Requests, result.Total.Outcomes.Answered, "%v", result.Total.Errors)
}

// Guards against counting a stream as broken when it breaks after some tokens but can
// be resumed with Last-Event-ID, and against losing or repeating tokens.
func TestRunResumesBrokenStream(t *testing.T) {
	const sentTokens = 2 // before the stream breaks
	entry := startEntry(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req native.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		answer := fake.Answer(testModel, req.Messages, req.MaxTokens)
		from, to := 0, sentTokens
		if id := r.Header.Get("Last-Event-ID"); id != "" {
			from, to = sentTokens, len(answer)
			if id != fmt.Sprint(sentTokens-1) || r.Header.Get("X-Request-Id") != "req-1" {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("X-Request-Id", "req-1")
		for i := from; i < to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, answer[i])
		}
		if to == len(answer) {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}))
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{entry.URL}, Rate: 100, Duration: 100 * time.Millisecond, Seed: 5,
		Parts: []load.Part{chatPart("resumed")}, Expect: fake.Answer,
	})
	require.NoError(t, err)
	require.Positive(t, result.Total.Requests)
	require.Equal(t, result.Total.Requests, result.Total.Outcomes.Answered, "%v", result.Total.Errors)
	require.Equal(t, result.Total.Requests, result.Total.Reconnects)
}

// Guards against bearer tokens in the reports, unescaped names in the HTML report, and
// external resources that it would load.
func TestReportHasNoKeysOrExternalResources(t *testing.T) {
	_, engine := startEngine(t, fake.EngineConfig{})
	entry := startEntry(t, engine)
	result, err := load.Run(context.Background(), load.Config{
		Entries: []string{entry.URL}, Rate: 200, Duration: 100 * time.Millisecond,
		Parts: []load.Part{chatPart("a <b>")},
	})
	require.NoError(t, err)
	var asJSON, asHTML bytes.Buffer
	require.NoError(t, result.WriteJSON(&asJSON))
	require.NoError(t, result.WriteHTML(&asHTML))
	var decoded load.Result
	require.NoError(t, json.Unmarshal(asJSON.Bytes(), &decoded))
	require.Equal(t, *result, decoded)
	page := asHTML.String()
	require.Equal(t, 3, strings.Count(page, "<svg"))
	require.NotContains(t, page, "a <b>")
	require.NotContains(t, page, "://")
	require.NotContains(t, page+asJSON.String(), testKey)
	if path := os.Getenv("LOAD_REPORT"); path != "" {
		require.NoError(t, os.WriteFile(path, asHTML.Bytes(), 0o600))
	}
}

// Guards against Validate returning only the first of several errors.
func TestValidateReturnsAllErrors(t *testing.T) {
	err := load.Config{
		Rate:   -1,
		Parts:  []load.Part{{Name: "a", Weight: 1, Kind: "x", Service: "s"}, {Name: "a"}},
		Surges: []load.Surge{{Part: "b"}},
	}.Validate()
	for _, want := range []string{"rate", "duration", "kind", "unique", "weight", "service", "entry", `no part "b"`} {
		require.ErrorContains(t, err, want)
	}
}
