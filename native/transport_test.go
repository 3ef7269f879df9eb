package native_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"savoryreel.example/savoryreel/native"
)

const testTimeout = 10 * time.Second

// rapidSeed makes property tests reproducible; run with -rapid.seed=0 for a random seed.
const rapidSeed = "20261202"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		log.Fatal(err)
	}
	goleak.VerifyTestMain(m)
}

// cuttingServer answers the first request on each connection, reads the header of the
// second and closes the connection without an answer.
type cuttingServer struct {
	ln           net.Listener
	requestsRead atomic.Int64 // requests whose header was read
	done         chan struct{}
}

func startCuttingServer(t *testing.T) *cuttingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &cuttingServer{ln: ln, done: make(chan struct{})}
	go c.run()
	t.Cleanup(func() {
		ln.Close()
		<-c.done
	})
	return c
}

func (c *cuttingServer) run() {
	defer close(c.done)
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.serve(conn)
	}
}

func (c *cuttingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.requestsRead.Add(1)
		if i == 0 {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against net/http resending a request when a pooled connection closes before
// the answer, as it does for safe methods and with an Idempotency-Key: the request
// could run twice without the entry noticing.
func TestPlainClientNeverReplays(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "credit 100"} {
			t.Run(method+" "+body, func(t *testing.T) { requireNoReplay(t, method, body) })
		}
	}
}

func requireNoReplay(t *testing.T, method, body string) {
	c := startCuttingServer(t)
	client := native.NewPlain(native.PlainConfig{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := c.ln.Addr().String()
	resp, sent, err := client.Do(ctx, address, newCall(t, method, body))
	require.NoError(t, err)
	require.True(t, sent)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	_, sent, err = client.Do(ctx, address, newCall(t, method, body))
	require.Error(t, err)
	require.True(t, sent)
	require.False(t, native.NotRun(err))
	require.EqualValues(t, 2, c.requestsRead.Load())
}

func newCall(t *testing.T, method, body string) *http.Request {
	t.Helper()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "/statements", r)
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k1")
	return req
}

// Guards against reporting a refused connection as possibly run: the entry could not
// send the request to another server.
func TestPlainClientReportsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	client := native.NewPlain(native.PlainConfig{})
	defer client.Close()
	_, sent, err := client.DoOnce(context.Background(), address, newCall(t, http.MethodPost, "credit"))
	var callErr *native.CallError
	require.True(t, errors.As(err, &callErr))
	require.False(t, sent)
	require.Equal(t, native.StepConnect, callErr.Step)
	require.Equal(t, address, callErr.Peer)
}

// Guards against reporting a request as not run when the caller cancels after the
// server has read it: a retry could run it twice.
func TestPlainClientReportsMaybeRanOnCancel(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		cancel()
		_, _ = io.Copy(io.Discard, conn)
	}()
	client := native.NewPlain(native.PlainConfig{})
	defer client.Close()
	_, sent, err := client.Do(ctx, ln.Addr().String(), newCall(t, http.MethodPost, "credit"))
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, sent)
	<-closed
}

// Guards against events longer than the bound and against an endless loop on malformed
// input.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 7\r\nevent: move\r\ndata: a\r\ndata: b\r\n\r\n"))
	f.Add([]byte(": comment\n\n\ndata\n\ndata:x"))
	f.Add(bytes.Repeat([]byte("data: long line "), 64))
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxEvent = 128
		events := native.NewEventReader(bytes.NewReader(input), maxEvent)
		for range len(input) + 1 {
			event, err := events.Next()
			if err != nil {
				return
			}
			if len(event.Data)+len(event.ID)+len(event.Name) > maxEvent {
				t.Fatalf("event with %d bytes of data exceeds the bound", len(event.Data))
			}
		}
		t.Fatal("more events than bytes")
	})
}

// Guards against treating the end of the connection within an event as the end of the
// stream: the user would see a truncated answer as complete.
func TestEventReaderReportsTruncatedStream(t *testing.T) {
	for input, want := range map[string]error{
		"data: a\n\n":          io.EOF,
		"data: a\n\ndata: b":   io.ErrUnexpectedEOF,
		"data: a\n\ndata: b\n": io.ErrUnexpectedEOF,
		"data: a\n\n: ping\n":  io.EOF,
		"data: a\n\n" + strings.Repeat("data: x\n", 100): native.ErrEventTooLong,
	} {
		events := native.NewEventReader(strings.NewReader(input), 64)
		first, err := events.Next()
		require.NoError(t, err)
		require.Equal(t, "a", string(first.Data))
		_, err = events.Next()
		require.Equal(t, want, err, "%q", input)
	}
}

// Guards against allocations per event, which would dominate garbage collection at the
// fleet's token rate (buffer reuse in EventReader.reset).
func TestEventReaderAllocatesNothingPerEvent(t *testing.T) {
	const events = 1000
	stream := strings.Repeat("id: 7\ndata: {\"choices\":[{\"delta\":{\"content\":\" pollen\"}}]}\n\n", events+2)
	reader := native.NewEventReader(strings.NewReader(stream), native.DefaultMaxEvent)
	_, err := reader.Next()
	require.NoError(t, err)
	allocs := testing.AllocsPerRun(events, func() { _, err = reader.Next() })
	require.NoError(t, err)
	require.Zero(t, allocs)
}
