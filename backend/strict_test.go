package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
)

// callRaw sends a call with a body to a server that answers with bytes of its own, and returns the answer's body.
func callRaw(t *testing.T, addr string, bodyBytes int) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	a, err := p.Do(ctx, addr, &Call{
		Method: "POST", Target: "/", Host: "a.example", Header: func() http.Header { return http.Header{} },
		Body: []byte(strings.Repeat("x", bodyBytes)),
	})
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return io.ReadAll(a)
}

const uploadBytes = 700 << 10

// Guards against a part of an answer that passes for the whole: a server answers an upload at once, without a length,
// and resets the connection while the upload is still being written.
func TestResetUnderUploadIsNoEnd(t *testing.T) {
	addr := testutil.StartRawServer(t, func(*http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\npart", true })
	for range 40 {
		body, err := callRaw(t, addr, uploadBytes)
		require.Error(t, err, "%q", body)
		var e *Error
		require.ErrorAs(t, err, &e)
		require.True(t, e.Sent, "it may have run")
	}
}

// Guards against an answer that is refused although it is whole: its connection ends it, once the request was read.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		return "HTTP/1.1 200 OK\r\n\r\nwhole", false
	})
	for range 20 {
		body, err := callRaw(t, addr, uploadBytes)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
}

// requireRefused checks that an answer with this head is none.
func requireRefused(t *testing.T, head string) {
	t.Helper()
	addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		return head + "\r\n\r\nbody and more", false
	})
	body, err := callRaw(t, addr, 10)
	require.Error(t, err, "%q: %q", head, body)
	var e *Error
	require.True(t, errors.As(err, &e) && e.Sent, "it may have run")
}

// Guards against an answer whose status is none of HTTP, such as 000, which no caller understands.
func TestStatusThatIsNoHTTP(t *testing.T) {
	for _, status := range []string{"000 Trouble", "020 x", "099 x", "600 x", "999 x"} {
		requireRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4")
	}
}

// Guards against an answer with a blank or a control byte in the name of a field: the line would be passed on, or the
// body be another than the server's.
func TestFieldNamesThatAreNoHTTP(t *testing.T) {
	for _, field := range []string{"Content Length: 4", "Content-Length : 4", "X-\x01: 1", "X\x7f: 1", "X(1): 1"} {
		requireRefused(t, "HTTP/1.1 200 OK\r\n"+field)
	}
}
