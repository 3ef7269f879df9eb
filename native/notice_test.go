package native_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/native"
)

// Guards against a pause that is too long, or that the server hasn't asked for: a server would
// be out of use for nothing, or get requests before it wants them.
func TestPauseThatAnswerAsksFor(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "1.": time.Second, "3600.5": time.Hour, "99999999999999999999": time.Hour,
		"": 0, "0": 0, "-1": 0, "+1": 0, "NaN": 0, "Inf": 0, "1e3": 0, "0x10": 0, "1 s": 0, ".": 0, "1.2.3": 0, "Thu, 03 Dec 2026 17:00:00 GMT": 0,
	} {
		h := http.Header{native.HeaderRetryAfter: {value}}
		require.Equal(t, native.AnswerNotice{Pause: want}, native.NoticeOf(http.StatusServiceUnavailable, h), "%q", value)
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusBadGateway} {
			require.Zero(t, native.NoticeOf(status, h))
		}
	}
}

// Guards against taking a value that the protocol doesn't have for a server's leaving.
func TestLeavingInAnswer(t *testing.T) {
	for value, want := range map[string]bool{"1": true, "": false, "0": false, "true": false} {
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			require.Equal(t, native.AnswerNotice{Leaving: want}, native.NoticeOf(status, http.Header{native.HeaderLeaving: {value}}))
		}
	}
}

// Guards against a request that is written after it was withdrawn while it waited for a
// connection, new or pooled.
func TestWithdrawnCallIsNotWritten(t *testing.T) {
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer s.Close()
	c := native.NewPlain(native.PlainConfig{})
	defer c.Close()
	for _, do := range []func(context.Context, string, *http.Request) (*http.Response, bool, error){c.DoOnce, c.Do, c.Do} {
		for _, may := range []bool{false, true} {
			received.Store(0)
			req, err := http.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
			require.NoError(t, err)
			resp, sent, err := do(native.WithMaySend(t.Context(), func() bool { return may }), s.Listener.Addr().String(), req)
			require.Equal(t, may, sent)
			if may {
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.EqualValues(t, 1, received.Load())
				continue
			}
			require.ErrorIs(t, err, native.ErrWithdrawn)
			require.True(t, native.NotRun(err))
			require.Zero(t, received.Load())
		}
	}
}

// Guards against a limit that is not understood, and against a server that gets no requests for a
// header that is none.
func TestLimitInAnswer(t *testing.T) {
	for value, want := range map[string]native.AnswerNotice{
		"2.5": {Limited: true, Limit: 2.5}, "0": {Limited: true}, "": {}, "-1": {}, "NaN": {}, "Inf": {}, "two": {},
	} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			require.Equal(t, want, native.NoticeOf(status, http.Header{native.HeaderLimit: {value}}), "%q", value)
		}
	}
}
