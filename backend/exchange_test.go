package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer starts a server that calls handle for each connection and returns its
// address.
func startServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err
}

func writeAnswer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(id string) *Call {
	return &Call{
		Method: "POST", Target: "/a?b=c", Host: "a.example", Header: func() http.Header { return http.Header{"X-Id": {id}} }, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func doCall(t *testing.T, p *Pool, addr, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	a, err := p.Do(ctx, addr, newCall(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// requireNotReusable waits until the last idle connection to addr, if there is one,
// has received the extra bytes or the close that the server sent after its answer.
func requireNotReusable(t *testing.T, p *Pool, addr string) {
	t.Helper()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := p.idle[addr]
		return len(idle) == 0 || !idle[len(idle)-1].reusable()
	}, 5*time.Second, time.Millisecond)
}

// Guards against a repeated answer of an earlier request on a reused connection:
// without Call.Matches the next caller would read another caller's answer.
func TestAnswerOfEarlierCallIsSkipped(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		writeAnswer(c, id, "first")
		id2, _ := readRequest(r)
		writeAnswer(c, id, "first")
		writeAnswer(c, id2, "second")
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	body, err := doCall(t, p, addr, "1")
	require.NoError(t, err)
	require.Equal(t, "first", body)
	body, err = doCall(t, p, addr, "2")
	require.NoError(t, err)
	require.Equal(t, "second", body)
	require.EqualValues(t, 1, p.Dials())
}

// Guards against a header that says how much time is left, but as of before the connection was
// opened: the server would work on after its caller has given up.
func TestHeaderIsMadeOnceConnectionIsOpen(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		writeAnswer(c, id, "")
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	call := newCall("1")
	open := false
	call.MaySend = func() bool {
		open = true
		return true
	}
	header := call.Header
	call.Header = func() http.Header {
		require.True(t, open)
		return header()
	}
	a, err := p.Do(t.Context(), addr, call)
	require.NoError(t, err)
	a.Close()
}

// Guards against reuse of a connection with bytes after an answer (conn.openAndEmpty,
// the buffer check in Answer.Close): the next caller would read them as its answer.
func TestExtraBytesCloseConnection(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		writeAnswer(c, id, "good")
		writeAnswer(c, id, "stray")
		_, _ = readRequest(r)
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	for i := range 3 {
		body, err := doCall(t, p, addr, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "good", body)
		requireNotReusable(t, p, addr)
	}
	require.EqualValues(t, 3, p.Dials())
}

// Guards against answers whose length is ambiguous, as in response splitting: the
// caller would read a truncated answer as complete, or bytes of the next one.
func TestAmbiguousBodyLengthIsError(t *testing.T) {
	for name, response := range map[string]string{
		"two lengths":                "Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood",
		"two lengths in a list":      "Content-Length: 2, 4\r\n\r\ngood",
		"negative length":            "Content-Length: -1\r\n\r\ngood",
		"length with a sign":         "Content-Length: +4\r\n\r\ngood",
		"unknown coding":             "Transfer-Encoding: xchunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"chunk size with a sign":     "Transfer-Encoding: chunked\r\n\r\n+4\r\ngood\r\n0\r\n\r\n",
		"chunk longer than its size": "Transfer-Encoding: chunked\r\n\r\n2\r\ngood\r\n0\r\n\r\n",
		"chunks without an end":      "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if id, err := readRequest(r); err == nil {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", id, response)
				}
			})
			p := newTestPool(time.Now)
			defer p.CloseAllIdle()
			for i := range 2 {
				_, err := doCall(t, p, addr, fmt.Sprint(i))
				require.Error(t, err)
			}
			require.EqualValues(t, 2, p.Dials())
		})
	}
}

// Guards against reporting a request as not sent when the server read it and closed
// the connection: a retry could run it twice.
func TestCloseAfterRequestMayHaveRun(t *testing.T) {
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	_, err := doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent)
	require.Equal(t, StepHead, e.Step)
}

// Guards against reporting a refused connection as possibly run: the caller could
// not retry elsewhere.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	_, err = doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.Sent)
}

// Guards against reuse of an idle connection that the server has closed: the request
// would fail without showing whether it ran.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			writeAnswer(c, id, "ok")
		}
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	for i := range 3 {
		_, err := doCall(t, p, addr, fmt.Sprint(i))
		require.NoError(t, err)
		requireNotReusable(t, p, addr)
	}
}

// Guards against reporting a truncated answer as complete: the caller would process
// half of it.
func TestTruncatedAnswerIsError(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	_, err := doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, StepBody, e.Step)
}

// Guards against a connection that stays open after the caller cancels: the server
// would go on with work that nobody reads.
func TestCancelClosesConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(received)
		_, _ = r.ReadByte() // returns when the connection is closed
		close(closed)
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := p.Do(ctx, addr, newCall("1"))
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// Guards against reuse of a connection on which the request body is still being
// written: the server would read the next request as part of that body.
func TestAnswerBeforeBodyReadClosesConnection(t *testing.T) {
	requests := make(chan string, 4)
	answerRead := make(chan struct{}) // closed once the caller has read the answer
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests <- req.Header.Get("X-Id")
		writeAnswer(c, req.Header.Get("X-Id"), "early")
		<-answerRead
		_, _ = io.Copy(io.Discard, req.Body)
		if id, err := readRequest(r); err == nil {
			requests <- id
			writeAnswer(c, id, "late")
		}
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	longCall := newCall("1")
	longCall.Body = []byte(strings.Repeat("x", 8<<20))
	a, err := p.Do(t.Context(), addr, longCall)
	require.NoError(t, err)
	_, err = io.ReadAll(a)
	require.NoError(t, err)
	a.Close()
	close(answerRead)
	body, err := doCall(t, p, addr, "2")
	require.NoError(t, err)
	require.Equal(t, "early", body, "the second call uses a new connection")
	require.Equal(t, "1", <-requests)
	require.Equal(t, "2", <-requests)
}

// Guards against changes to the path, the query or their escapes on the way to the
// server.
func TestTargetIsSentUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { targets <- r.RequestURI }))
	defer s.Close()
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	for _, target := range []string{"/a/%2Fb%20c/../d?x=%41&y", "/a//b", "/", "/a?", "/ä"} {
		c := newCall("1")
		c.Target, c.Matches = target, nil
		a, err := p.Do(t.Context(), s.Listener.Addr().String(), c)
		require.NoError(t, err, target)
		a.Close()
		require.Equal(t, target, <-targets)
	}
}

// Guards against closing a reusable connection because the writing goroutine has not
// been scheduled yet when the answer is complete (the wait in Answer.requestWritten).
func TestReuseWaitsForRequestWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writeResult := make(chan error, 1)
		time.AfterFunc(writeGrace/2, func() { writeResult <- nil })
		require.True(t, (&Answer{writeResult: writeResult}).requestWritten())
		require.False(t, (&Answer{writeResult: make(chan error)}).requestWritten(), "the request is never written completely")
	})
}

// writeWithoutEnd writes p again and again until the caller closes, and reports how many bytes it took.
func writeWithoutEnd(c net.Conn, p string, written chan<- int) {
	n := 0
	for {
		m, err := io.WriteString(c, p)
		n += m
		if err != nil {
			written <- n
			return
		}
	}
}

// maxTaken bounds what a caller may take of bytes without end, socket buffers included.
const maxTaken = 16 << 20

// Guards against an entry that runs out of memory by a server that sends a head without end, or answers of
// other calls without end: each call ends soon, and takes few bytes.
func TestBytesWithoutEndInHeads(t *testing.T) {
	const line = "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
	for name, c := range map[string]struct{ start, endless string }{
		"one field":                      {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
		"status line":                    {"HTTP/1.1 200 ", "aaaaaaaa"},
		"many fields":                    {"HTTP/1.1 200 OK\r\n", line},
		"no answer":                      {"", "\x00\x01garbage"},
		"interim answers":                {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunked answer of another call": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
		"long answer of another call":    {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 999999999999\r\n\r\n", "aaaaaaaa"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			addr := startServer(t, func(c2 net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c2, c.start)
				writeWithoutEnd(c2, strings.Repeat(c.endless, 4096/len(c.endless)), written)
			})
			p := newTestPool(time.Now)
			defer p.CloseAllIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := p.Do(ctx, addr, newCall("1"))
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "it ends before the caller's time")
			require.Less(t, <-written, maxTaken)
		})
	}
}

// Guards against large answers that are cut off by the bound on heads.
func TestLongBodyAfterALongHead(t *testing.T) {
	body := strings.Repeat("b", 4<<20)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", id, strings.Repeat("x", 32<<10), len(body), body)
		}
	})
	p := newTestPool(time.Now)
	defer p.CloseAllIdle()
	for _, id := range []string{"1", "2", "3"} {
		got, err := doCall(t, p, addr, id)
		require.NoError(t, err)
		require.Equal(t, body, got)
	}
	require.EqualValues(t, 1, p.Dials())
}
