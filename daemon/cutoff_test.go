package daemon

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/intake"
)

// startBounded serves h with these limits and returns the server and its address.
func startBounded(t *testing.T, limits intake.Limits, h http.HandlerFunc) (*HTTPServer, string) {
	gate := intake.New(limits, time.Now).Gate("test", 1)
	l, err := ListenClients(t.Context(), slog.New(slog.DiscardHandler), gate, "127.0.0.1:0")
	require.NoError(t, err)
	s := NewHTTPServer(h, gate, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l, HTTPLimits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute}) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-ended)
	})
	return s, l.Addr().String()
}

// readBodyHandler answers with the length of the body, or with the status of the error.
func readBodyHandler(limit int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := intake.ReadAll(r, limit)
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		fmt.Fprint(w, len(body))
	}
}

func dialTest(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// statusOf sends a request and returns the status of the answer.
func statusOf(t *testing.T, addr, request string) int {
	c := dialTest(t, addr)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return resp.StatusCode
}

const smallRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// Guards against connections that send nothing, no end of their header or no end of their body, and keep out all others.
func TestNewcomerTakesThePlaceOfOneThatStopped(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing":     "",
		"half header": "POST / HTTP/1.1\r\nHost: ",
		"half body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf",
		"one request": smallRequest, // and then idle
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startBounded(t, intake.Limits{Connections: 3, Requests: 2, BodyBytes: 1 << 20}, readBodyHandler(1<<20))
			for range 6 {
				_, err := io.WriteString(dialTest(t, addr), sent)
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return statusOf(t, addr, smallRequest) == http.StatusOK }, 20*time.Second, time.Millisecond)
		})
	}
}

// Guards against a request that waits forever for its place, or is refused without a Retry-After.
func TestRequestWithoutAPlaceIsRefused(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	_, addr := startBounded(t, intake.Limits{Connections: 8, Requests: 1, BodyBytes: 1 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-release
	})
	defer close(release)
	_, err := io.WriteString(dialTest(t, addr), smallRequest)
	require.NoError(t, err)
	<-begun
	require.Equal(t, http.StatusServiceUnavailable, statusOf(t, addr, smallRequest))
	c := dialTest(t, addr)
	_, err = io.WriteString(c, smallRequest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, busyRetryAfter, resp.Header.Get("Retry-After"))
}

// Guards against a client that is refused while it is still sending and loses its answer to a reset.
func TestRefusedClientGetsItsAnswer(t *testing.T) {
	_, addr := startBounded(t, intake.LimitsOf(0, 0), readBodyHandler(1<<10))
	for _, framing := range []string{"Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n30d40\r\n"} {
		for range 20 {
			c := dialTest(t, addr)
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+strings.Repeat("x", 200_000))
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, framing)
			require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
			require.True(t, resp.Close, "the rest is no request")
		}
	}
}

// Guards against a process that decodes what refused clients go on sending: in tiny chunks that takes a processor as
// long as their bodies would.
func TestLittleIsReadOfARefusedBody(t *testing.T) {
	const sockets = 8 * intake.SocketBuffer // of both ends, as the kernel counts them
	_, addr := startBounded(t, intake.LimitsOf(0, 0), readBodyHandler(1<<10))
	c := dialTest(t, addr)
	require.NoError(t, c.(*net.TCPConn).SetWriteBuffer(intake.SocketBuffer))
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(t, err)
	sent, chunks := 0, strings.Repeat("1\r\nx\r\n", 100)
	for err == nil && sent < 4<<20 {
		var n int
		n, err = io.WriteString(c, chunks)
		sent += n
	}
	require.Error(t, err, "the connection ends")
	require.LessOrEqual(t, sent, unreadBytes+sockets)
}

// Guards against a stop that waits for each of many clients that were refused and still send.
func TestCloseDoesNotWaitForRefusedClients(t *testing.T) {
	s, addr := startBounded(t, intake.LimitsOf(0, 0), readBodyHandler(1<<10))
	for range 40 {
		c := dialTest(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nx")
		require.NoError(t, err)
	}
	start := time.Now()
	s.Close()
	require.Less(t, time.Since(start), 40*unreadTime/2)
}
