package fake_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

// plainServer is the address of a running Plain and a client for it.
type plainServer struct {
	address string
	client  *native.PlainClient
	cancel  context.CancelFunc
}

func startPlain(t *testing.T, p *fake.Plain) (plainServer, <-chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := plainServer{
		address: ln.Addr().String(),
		client:  native.NewPlain(native.PlainConfig{}),
		cancel:  cancel,
	}
	ended := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- p.Run(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		s.client.Close()
	})
	return s, ended
}

func (s plainServer) do(t *testing.T, method, path, key string, body io.Reader) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(method, path, body)
	require.NoError(t, err)
	if key != "" {
		req.Header.Set(fake.HeaderIdempotencyKey, key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	resp, _, err := s.client.Do(ctx, s.address, req)
	if err == nil {
		t.Cleanup(func() { resp.Body.Close() })
	}
	return resp, err
}

// Guards against an answer that doesn't describe the request, and executions or
// counters that are miscounted.
func TestPlainEchoesAndCounts(t *testing.T) {
	p := fake.NewPlain(fake.PlainConfig{ID: "p1"}, fake.Deps{})
	s, _ := startPlain(t, p)
	body := bytes.Repeat([]byte("premium bordereau "), 1<<16)
	for range 2 {
		resp, err := s.do(t, http.MethodPatch, "/statements/7?x=1", "k1", bytes.NewReader(body))
		require.NoError(t, err)
		var answer fake.PlainAnswer
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
		require.Equal(t, fake.PlainAnswer{
			Server: "p1", Method: http.MethodPatch, Path: "/statements/7", Query: "x=1",
			BodyBytes: int64(len(body)), BodyHash: bodyHash(body), Key: "k1",
			Executions: p.Stats().Executions["k1"],
		}, answer)
	}
	_, err := s.do(t, http.MethodPost, "/counter?name=alerts", "", nil)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"k1": 2}, p.Stats().Executions)
	require.Equal(t, map[string]int{"alerts": 1}, p.Stats().Counters)
}

func bodyHash(body []byte) string {
	h := xxhash.New()
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Guards against lost or wrong bytes in a large streamed answer.
func TestPlainStreamsALargeAnswer(t *testing.T) {
	s, _ := startPlain(t, fake.NewPlain(fake.PlainConfig{}, fake.Deps{}))
	const size = 3<<20 + 17
	resp, err := s.do(t, http.MethodGet, "/tiles/stream?bytes=3145745", "", nil)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, data, size)
	for i, b := range data {
		if b != fake.StreamByte(int64(i)) {
			t.Fatalf("byte %d is %d", i, b)
		}
	}
}

// Guards against a crash between body and effect that has the effect, or that the
// client reports as not run: the caller can't know whether the effect happened.
func TestPlainCrashesAfterTheBody(t *testing.T) {
	p := fake.NewPlain(fake.PlainConfig{}, fake.Deps{})
	s, ended := startPlain(t, p)
	p.SetFaults(fake.Faults{CrashOn: "trigger"})
	_, err := s.do(t, http.MethodPost, "/counter?name=a", "k", bytes.NewReader([]byte("a trigger b")))
	require.Error(t, err)
	require.False(t, native.NotRun(err))
	require.ErrorIs(t, <-ended, fake.ErrCrashed)
	require.Zero(t, p.Stats().Calls)
}

// Guards against a call that the caller cancels after its effect and that the
// client reports as not run: a retry would have the effect twice.
func TestPlainAnswersLate(t *testing.T) {
	p := fake.NewPlain(fake.PlainConfig{AnswerDelay: time.Hour}, fake.Deps{})
	s, _ := startPlain(t, p)
	req, err := http.NewRequest(http.MethodPost, "/counter?name=alerts", nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, _, err := s.client.DoOnce(ctx, s.address, req)
		failed <- err
	}()
	require.Eventually(t, func() bool { return p.Stats().Counters["alerts"] == 1 }, waitTimeout, pollInterval)
	cancel()
	require.False(t, native.NotRun(<-failed))
}

// Guards against faults set over HTTP that don't apply, and against a call that is
// refused as not run but had its effect.
func TestPlainRefusesWithoutEffect(t *testing.T) {
	s, _ := startPlain(t, fake.NewPlain(fake.PlainConfig{}, fake.Deps{}))
	resp, err := s.do(t, http.MethodPost, fake.PathFaults, "", strings.NewReader(`{"refuse":true}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, err = s.do(t, http.MethodPost, "/counter?name=a", "k", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get(native.HeaderNotRun))
	require.NotEmpty(t, resp.Header.Get(native.HeaderRetryAfter))
	resp, err = s.do(t, http.MethodGet, fake.PathStats, "", nil)
	require.NoError(t, err)
	var stats fake.PlainStats
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
	require.Zero(t, stats.Calls)
}
