package fake_test

import (
	"context"
	"errors"
	"flag"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	testModel    = "m1"
)

// propertySeed makes the results of property tests reproducible.
const propertySeed = "20261202"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		log.Fatal(err)
	}
	goleak.VerifyTestMain(m)
}

// testEngine is an Engine that serves on a loopback address.
type testEngine struct {
	*fake.Engine
	address string
	client  *native.EngineClient
	ended   chan error
}

func startEngine(t *testing.T, cfg fake.EngineConfig) *testEngine {
	t.Helper()
	cfg.Model = testModel
	r := &testEngine{
		Engine: fake.NewEngine(cfg, fake.Deps{}),
		client: native.NewEngine(native.EngineConfig{}),
		ended:  make(chan error, 1),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.ended <- r.Run(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		r.client.Close()
	})
	return r
}

func (r *testEngine) chat(t *testing.T, id string, req native.ChatRequest) *native.ChatStream {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	stream, err := r.client.Chat(ctx, r.address, id, req)
	t.Cleanup(cancel)
	require.NoError(t, err)
	t.Cleanup(func() { stream.Close() })
	return stream
}

func chatRequest(text string, n int) native.ChatRequest {
	return native.ChatRequest{
		Model:     testModel,
		Messages:  []native.Message{{Role: "user", Content: text}},
		MaxTokens: n,
	}
}

// readTokens reads up to n tokens, or to the end of the stream if n is negative.
func readTokens(s *native.ChatStream, n int) ([]string, error) {
	var tokens []string
	for len(tokens) != n {
		chunk, err := s.Next()
		if err != nil {
			return tokens, err
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				tokens = append(tokens, choice.Delta.Content)
			}
		}
	}
	return tokens, nil
}

// Guards against a stream with missing or wrong tokens or usage counts.
func TestEngineStreamsItsAnswer(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{})
	req := chatRequest("how much ragweed is there", 20)
	stream := e.chat(t, "r1", req)
	tokens, err := readTokens(stream, -1)
	require.Equal(t, io.EOF, err)
	require.Equal(t, fake.Answer(testModel, req.Messages, 20), tokens)
	require.Equal(t, 20, stream.Usage().Completion)
	require.Equal(t, fake.PromptTokens(req.Messages), stream.Usage().Prompt)
	require.Equal(t, map[string]int{"r1": 1}, e.Stats().Finished)
}

// Guards against a resumed answer that doesn't continue with the next token: the
// caller would see missing or repeated text.
func TestEngineResumesAnAnswer(t *testing.T) {
	req := chatRequest("briefing for the season", 30)
	want := fake.Answer(testModel, req.Messages, 30)
	first := startEngine(t, fake.EngineConfig{ID: "a", TokenTime: time.Millisecond})
	head, err := readTokens(first.chat(t, "r1", req), 10)
	require.NoError(t, err)
	export, err := first.client.ExportKV(context.Background(), first.address, "r1")
	require.NoError(t, err)
	second := startEngine(t, fake.EngineConfig{ID: "b"})
	imported, err := second.client.ImportKV(context.Background(), second.address,
		native.ImportRequest{From: first.address, Handle: export.Handle})
	require.NoError(t, err)

	for name, c := range map[string]struct {
		handle     string
		recomputed int
	}{
		"with the KV cache": {imported.Handle, 0},
		"by prefill":        {"", fake.PromptTokens(req.Messages) + len(head)},
	} {
		resumed := req
		resumed.Resume = &native.Resume{Tokens: head, Handle: c.handle}
		stream := second.chat(t, name, resumed)
		rest, err := readTokens(stream, -1)
		require.Equal(t, io.EOF, err, name)
		require.Equal(t, want, append(head[:10:10], rest...), name)
		require.Equal(t, c.recomputed, stream.Usage().Recomputed, name)
	}
}

// Guards against a request that keeps its slot after it was cancelled or its
// client disconnected.
func TestEngineCancels(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{Slots: 2, TokenTime: time.Millisecond})
	closed := e.chat(t, "closed", chatRequest("one", 1<<20))
	deleted := e.chat(t, "deleted", chatRequest("two", 1<<20))
	_, err := readTokens(closed, 3)
	require.NoError(t, err)
	_, err = readTokens(deleted, 3)
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	require.NoError(t, e.client.Cancel(context.Background(), e.address, "deleted"))
	_, err = readTokens(deleted, -1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool {
		s := e.Stats()
		return s.Running == 0 && s.Cancelled["closed"] == 1 && s.Cancelled["deleted"] == 1
	}, waitTimeout, pollInterval)
}

// Guards against a simulated crash that leaves other streams or the listener open,
// or that reports a request that ran as not run.
func TestEngineCrashesOnARequest(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{TokenTime: time.Millisecond})
	e.SetFaults(fake.Faults{CrashOn: "trigger"})
	bystander := e.chat(t, "bystander", chatRequest("harmless", 1<<20))
	_, err := readTokens(bystander, 1)
	require.NoError(t, err)
	crash := e.chat(t, "crash", chatRequest("some trigger here", 5))
	_, err = readTokens(crash, -1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.False(t, native.NotRun(err))
	_, err = readTokens(bystander, -1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.ErrorIs(t, <-e.ended, fake.ErrCrashed)
	_, err = e.client.Chat(context.Background(), e.address, "later", chatRequest("x", 1))
	require.True(t, native.NotRun(err), "%v", err)
}

// Guards against a simulated stall that closes the stream or affects new
// connections. It must look like a network device that drops the packets of one
// connection.
func TestEngineStallsOpenStreams(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{})
	e.SetFaults(fake.Faults{StallAfterTokens: 4})
	stream := e.chat(t, "r1", chatRequest("long story", 50))
	_, err := readTokens(stream, 4)
	require.NoError(t, err)
	nextErr := make(chan error, 1)
	go func() {
		_, err := stream.Next()
		nextErr <- err
	}()
	require.Eventually(t, func() bool { return e.Stats().Finished["r1"] == 1 }, waitTimeout, pollInterval)
	require.NoError(t, e.client.Probe(context.Background(), e.address))
	require.Empty(t, nextErr, "the stalled stream ended or sent more")
	require.NoError(t, stream.Close())
	require.Error(t, <-nextErr)
}

// Guards against a refused request that ran, and against a refusal without
// HeaderNotRun, which the client must report as not run.
func TestEngineRefusesBeforeRunning(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{Slots: 1, MaxWaiting: -1, TokenTime: time.Millisecond})
	holder := e.chat(t, "holder", chatRequest("x", 1<<20))
	_, err := readTokens(holder, 1)
	require.NoError(t, err)
	_, err = e.client.Chat(context.Background(), e.address, "full", chatRequest("y", 1))
	requireRefused(t, err, 429)
	e.SetFaults(fake.Faults{Refuse: true})
	_, err = e.client.Chat(context.Background(), e.address, "refused", chatRequest("y", 1))
	requireRefused(t, err, 503)
	require.Equal(t, map[string]int{"holder": 1}, e.Stats().Runs)
}

func requireRefused(t *testing.T, err error, status int) {
	t.Helper()
	var call *native.CallError
	require.True(t, errors.As(err, &call), "%v", err)
	require.Equal(t, native.Refused, call.Delivery)
	require.Equal(t, status, call.Status)
	require.Equal(t, fake.DefaultRetryAfter, call.RetryAfter)
	require.True(t, native.NotRun(err))
}

// Guards against a free slot that goes to a less urgent request.
func TestEngineServesUrgentRequestsFirst(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{Slots: 1, TokenTime: time.Millisecond})
	holder := e.chat(t, "holder", chatRequest("x", 1<<20))
	_, err := readTokens(holder, 1)
	require.NoError(t, err)
	low := chatRequest("low", 1<<20)
	low.Priority = 2
	e.chat(t, "low", low)
	require.Eventually(t, func() bool { return e.Stats().Waiting == 1 }, waitTimeout, pollInterval)
	high := e.chat(t, "high", chatRequest("high", 5))
	require.Eventually(t, func() bool { return e.Stats().Waiting == 2 }, waitTimeout, pollInterval)
	require.NoError(t, holder.Close())
	_, err = readTokens(high, -1)
	require.Equal(t, io.EOF, err)
	require.Equal(t, 1, e.Stats().Runs["high"])
	require.Eventually(t, func() bool { return e.Stats().Runs["low"] == 1 }, waitTimeout, pollInterval)
}

// Guards against a prefix cache that doesn't reuse or list the prefixes of the
// previous turn.
func TestEngineCachesPrefixes(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{CacheTokens: 200})
	req := chatRequest(strings.Repeat("station history ", 20), 5)
	_, err := readTokens(e.chat(t, "r1", req), -1)
	require.Equal(t, io.EOF, err)
	req.Messages = append(req.Messages, native.Message{Role: "user", Content: "and now?"})
	second := e.chat(t, "r2", req)
	_, err = readTokens(second, -1)
	require.Equal(t, io.EOF, err)
	require.Equal(t, fake.PromptTokens(req.Messages[:1]), second.Usage().Cached)
	listing, err := e.client.Listing(context.Background(), e.address)
	require.NoError(t, err)
	hashes := native.PrefixHashes(req.Messages)
	var listed []uint64
	for _, entry := range listing.Entries {
		listed = append(listed, entry.Prefix)
	}
	require.Subset(t, listed, hashes)
}

// Guards against a frozen engine that answers, fails its streams or loses tokens:
// callers must see only a timeout, and the whole answer after the thaw.
func TestEngineFreezes(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{TokenTime: time.Millisecond})
	req := chatRequest("x", 200)
	stream := e.chat(t, "r1", req)
	head, err := readTokens(stream, 3)
	require.NoError(t, err)
	e.SetFaults(fake.Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, e.client.Probe(ctx, e.address), context.DeadlineExceeded)
	require.Zero(t, e.Stats().Finished["r1"])
	e.SetFaults(fake.Faults{})
	rest, err := readTokens(stream, -1)
	require.Equal(t, io.EOF, err)
	require.Equal(t, fake.Answer(testModel, req.Messages, 200), append(head, rest...))
	e.SetFaults(fake.Faults{Freeze: true}) // Run must end while frozen too
}

// Guards against an engine that goes on with the tokens of another version of its model: the text would
// be joined from two versions.
func TestEngineRefusesResumeOfAnotherVersion(t *testing.T) {
	e := startEngine(t, fake.EngineConfig{TokenTime: time.Millisecond, Version: "v1"})
	req := chatRequest("x", 3)
	for _, version := range []string{"", "v1"} {
		req.Resume = &native.Resume{Tokens: []string{"a"}, Version: version}
		require.Equal(t, "v1", e.chat(t, "same"+version, req).Version())
	}
	req.Resume.Version = "v2"
	_, err := e.client.Chat(context.Background(), e.address, "other", req)
	var call *native.CallError
	require.ErrorAs(t, err, &call)
	require.Equal(t, http.StatusConflict, call.Status)
	require.True(t, native.NotRun(err))
}
