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

// script is a server that reads a request and does what it is told, once for each
// connection it accepts.
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

// next reads one request whole and returns its id.
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
		Method: "POST", Target: "/a?b=c", Host: "a.example", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
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

// requireNotQuiet waits until what the server sent after its answer, bytes or the
// end of the connection, has arrived on the connection that is kept, if one is.
func requireNotReusable(t *testing.T, p *Pool, addr string) {
	t.Helper()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := p.idle[addr]
		return len(idle) == 0 || !idle[len(idle)-1].openAndEmpty()
	}, 5*time.Second, time.Millisecond)
}

// A server sends the answer of an earlier request once more, where the answer of
// the next one is due. A caller would read somebody else's answer.
//
// It breaks without Call.Belongs.
func TestAnswerOfEarlierCallIsSkipped(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		writeAnswer(c, id, "first")
		id2, _ := readRequest(r)
		writeAnswer(c, id, "first")
		writeAnswer(c, id2, "second")
	})
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	body, err := doCall(t, p, addr, "1")
	require.NoError(t, err)
	require.Equal(t, "first", body)
	body, err = doCall(t, p, addr, "2")
	require.NoError(t, err)
	require.Equal(t, "second", body)
	require.EqualValues(t, 1, p.Dials())
}

// A server sends bytes behind a whole answer. On a kept connection they would be
// read as the beginning of the next answer.
//
// It breaks without conn.quiet and the look at the buffer in Answer.Close.
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
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	for i := range 3 {
		body, err := doCall(t, p, addr, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "good", body)
		requireNotReusable(t, p, addr)
	}
	require.EqualValues(t, 3, p.Dials())
}

// A server's answer can be read as two different ones: its length is told twice, or
// its chunks do not add up. What would be handed on may be a part of it, or of the
// next one.
//
// It breaks if such an answer counts as whole, or its connection is used again.
func TestAmbiguousBodyLengthIsError(t *testing.T) {
	for name, response := range map[string]string{
		"two lengths":               "Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood",
		"two lengths in a list":     "Content-Length: 2, 4\r\n\r\ngood",
		"negative length":           "Content-Length: -1\r\n\r\ngood",
		"length with a sign":        "Content-Length: +4\r\n\r\ngood",
		"unknown coding":            "Transfer-Encoding: xchunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"chunk size with a sign":    "Transfer-Encoding: chunked\r\n\r\n+4\r\ngood\r\n0\r\n\r\n",
		"chunk longer than it says": "Transfer-Encoding: chunked\r\n\r\n2\r\ngood\r\n0\r\n\r\n",
		"chunks without an end":     "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				if id, err := readRequest(r); err == nil {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", id, response)
				}
			})
			p := NewPool(DefaultConfig(), time.Now)
			defer p.Close()
			for i := range 2 {
				_, err := doCall(t, p, addr, fmt.Sprint(i))
				require.Error(t, err)
			}
			require.EqualValues(t, 2, p.Dials())
		})
	}
}

// A server closes the connection after it has read a request. Whether the request
// ran is not known, so a call that may run once must not be sent again.
func TestCloseAfterRequestMayHaveRun(t *testing.T) {
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	_, err := doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Sent)
	require.Equal(t, StepHead, e.Step)
}

// Nobody listens at the address: the call surely did not run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	_, err = doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.False(t, e.Sent)
}

// A server has closed an idle connection. The next call takes a new one, since a
// request on the old one might have run or not.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			writeAnswer(c, id, "ok")
		}
	})
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	for i := range 3 {
		_, err := doCall(t, p, addr, fmt.Sprint(i))
		require.NoError(t, err)
		requireNotReusable(t, p, addr)
	}
}

// An answer breaks off. It must not look whole: a caller would take half a
// statement for all of it.
func TestTruncatedAnswerIsError(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
	})
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	_, err := doCall(t, p, addr, "1")
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, StepBody, e.Step)
}

// A caller leaves. The server notices by the close of the connection and stops
// working for nobody.
func TestCancelClosesConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(received)
		_, _ = r.ReadByte() // returns when the connection is closed
		close(closed)
	})
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
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

// A server rejects a long request before it has read it all, and reads on later.
// The rest of the body must be followed by nothing else on that connection.
func TestAnswerBeforeBodyReadClosesConnection(t *testing.T) {
	requests := make(chan string, 4)
	answerRead := make(chan struct{}) // the caller has the whole answer
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
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
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
	require.Equal(t, "early", body, "on a connection of its own")
	require.Equal(t, "1", <-requests)
	require.Equal(t, "2", <-requests)
}

// What a caller sends as path and query reaches the server as it was, escapes and
// all.
func TestTargetIsSentUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { targets <- r.RequestURI }))
	defer s.Close()
	p := NewPool(DefaultConfig(), time.Now)
	defer p.Close()
	for _, target := range []string{"/a/%2Fb%20c/../d?x=%41&y", "/a//b", "/", "/a?", "/ä"} {
		c := newCall("1")
		c.Target, c.Matches = target, nil
		a, err := p.Do(t.Context(), s.Listener.Addr().String(), c)
		require.NoError(t, err, target)
		a.Close()
		require.Equal(t, target, <-targets)
	}
}

// An answer is whole before the goroutine that writes the request has had the
// processor to say that it is done. The connection is used again all the same.
//
// It breaks without the wait in Answer.written.
func TestReuseWaitsForRequestWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writeResult := make(chan error, 1)
		time.AfterFunc(writeGrace/2, func() { writeResult <- nil })
		require.True(t, (&Answer{writeResult: writeResult}).requestWritten())
		require.False(t, (&Answer{writeResult: make(chan error)}).requestWritten(), "a server that never reads the rest")
	})
}
