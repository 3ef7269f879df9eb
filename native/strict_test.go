package native_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/native"
)

// quietConn is a connection on which a write in progress always gets the error of a reset, so that the read returns
// io.EOF.
type quietConn struct {
	net.Conn
	failed chan struct{} // closed when a write has failed
	once   sync.Once
}

// Write writes in small parts, so that a long upload is still being written when the answer has come.
func (c *quietConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(p[:min(len(p), 1<<10)])
		written += n
		p = p[n:]
		if written > 64<<10 {
			time.Sleep(time.Millisecond)
		}
	}
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return written, err
}

// Read reads from the connection.
func (c *quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, syscall.ECONNRESET) {
		return n, err
	}
	select {
	case <-c.failed:
		return n, io.EOF
	case <-time.After(time.Second):
		return n, err
	}
}

func dialQuiet(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &quietConn{Conn: c, failed: make(chan struct{})}, err
}

// plainCalls are the ways to call a plain service.
func plainCalls(c *native.PlainClient) map[string]func(context.Context, string, *http.Request) (*http.Response, bool, error) {
	return map[string]func(context.Context, string, *http.Request) (*http.Response, bool, error){"repeatable": c.Do, "once": c.DoOnce}
}

// callRawPlain calls a server that answers with bytes of its own, in each way, and returns the answers' bodies.
func callRawPlain(t *testing.T, addr string, bodyBytes int, check func(body []byte, err error)) {
	t.Helper()
	client := native.NewPlain(native.PlainConfig{Dial: dialQuiet})
	defer client.Close()
	for name, call := range plainCalls(client) {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			req, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bodyBytes)))
			require.NoError(t, err)
			resp, sent, err := call(ctx, addr, req)
			if err != nil {
				require.True(t, sent, "it may have run")
				check(nil, err)
				return
			}
			defer resp.Body.Close()
			check(io.ReadAll(resp.Body))
		})
	}
}

// Guards against a part of an answer that passes for the whole: a server answers an upload at once, without a length,
// and resets the connection while the upload is still being written.
func TestResetUnderUploadIsNoEnd(t *testing.T) {
	addr := testutil.StartRawServer(t, func(*http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\npart", true })
	for range 20 {
		callRawPlain(t, addr, 700<<10, func(body []byte, err error) { require.Error(t, err, "%q", body) })
	}
}

// Guards against an answer that is refused although it is whole: its connection ends it, once the request was read.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		return "HTTP/1.1 200 OK\r\n\r\nwhole", false
	})
	for range 10 {
		callRawPlain(t, addr, 700<<10, func(body []byte, err error) {
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
		})
	}
}

// requireHeadRefused checks that an answer with this head is none, to a plain call and to a chat.
func requireHeadRefused(t *testing.T, head string) {
	t.Helper()
	addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		return head + "\r\n\r\ndata: [DONE]\n\n", false
	})
	callRawPlain(t, addr, 10, func(body []byte, err error) { require.Error(t, err, "%q: %q", head, body) })
	engines := native.NewEngine(native.EngineConfig{})
	defer engines.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := engines.Chat(ctx, addr, "1", native.ChatRequest{Model: "m"})
	require.Error(t, err, "%q", head)
}

// Guards against an answer whose status is none of HTTP, such as 000, which no caller understands.
func TestStatusThatIsNoHTTP(t *testing.T) {
	for _, status := range []string{"000 Trouble", "020 x", "099 x", "600 x", "999 x"} {
		requireHeadRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4")
	}
}

// Guards against an answer with a blank or a control byte in the name of a field: the line would be passed on, or the
// body be another than the server's.
func TestFieldNamesThatAreNoHTTP(t *testing.T) {
	for _, field := range []string{"Content Length: 4", "Content-Length : 4", "X-\x01: 1", "X\x7f: 1", "X(1): 1"} {
		requireHeadRefused(t, "HTTP/1.1 200 OK\r\n"+field)
	}
}
