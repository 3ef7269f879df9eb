package native_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/native"
)

// maxTaken bounds what a client may take of bytes without end, socket buffers included.
const maxTaken = 32 << 20

// startRawServer starts a server that answers one request with what answer writes, and returns its address.
func startRawServer(t *testing.T, answer func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer(c.(*net.TCPConn))
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// Guards against an entry that runs out of memory or time by a server that sends bytes without end, in the
// head or the body of whatever it is asked for.
func TestBytesWithoutEndAreRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	engine := native.NewEngine(native.EngineConfig{})
	defer engine.Close()
	plain := native.NewPlain(native.PlainConfig{})
	defer plain.Close()
	calls := map[string]func(ctx context.Context, addr string) error{
		"chat": func(ctx context.Context, addr string) error {
			s, err := engine.Chat(ctx, addr, "r1", native.ChatRequest{})
			if err != nil {
				return err
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			return err
		},
		"probe":  engine.Probe,
		"export": func(ctx context.Context, addr string) error { _, err := engine.ExportKV(ctx, addr, "r1"); return err },
		"import": func(ctx context.Context, addr string) error {
			_, err := engine.ImportKV(ctx, addr, native.ImportRequest{})
			return err
		},
		"listing": func(ctx context.Context, addr string) error { _, err := engine.Listing(ctx, addr); return err },
	}
	for name, call := range calls {
		for part, c := range map[string]struct{ start, endless string }{
			"head": {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
			"body": {ok, "data: aa"},
		} {
			t.Run(name+" "+part, func(t *testing.T) {
				written := make(chan int, 1)
				addr := startRawServer(t, func(conn *net.TCPConn) {
					n, _ := io.WriteString(conn, c.start)
					for chunk := strings.Repeat(c.endless, 512); ; {
						m, err := io.WriteString(conn, chunk)
						if n += m; err != nil {
							written <- n
							return
						}
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				err := call(ctx, addr)
				require.NoError(t, ctx.Err(), "it ends before its time")
				require.Less(t, <-written, maxTaken)
				if name != "probe" || part == "head" {
					require.Error(t, err)
				}
			})
		}
	}
	written := make(chan int, 1)
	addr := startRawServer(t, func(conn *net.TCPConn) {
		n, err := 0, error(nil)
		for err == nil {
			var m int
			m, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: "+strings.Repeat("a", 4096))
			n += m
		}
		written <- n
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
	require.NoError(t, err)
	_, _, err = plain.Do(t.Context(), addr, req)
	require.Error(t, err)
	require.Less(t, <-written, maxTaken)
}

// Guards against an answer that ends with its connection and looks complete though it was cut off, and
// against a complete plain one that is taken for cut off.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	end := func(body string, reset bool) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
			if reset {
				time.Sleep(50 * time.Millisecond) // a reset overtakes what is not read yet
				_ = c.SetLinger(0)
			}
		}
	}
	plain := native.NewPlain(native.PlainConfig{})
	defer plain.Close()
	for _, reset := range []bool{false, true} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
		require.NoError(t, err)
		resp, _, err := plain.Do(t.Context(), startRawServer(t, end("whole", reset)), req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "whole", string(body))
		require.Equal(t, reset, err != nil, "%v", err)
	}
	engine := native.NewEngine(native.EngineConfig{})
	defer engine.Close()
	for body, complete := range map[string]bool{
		event + "data: [DONE]\n\n": true,
		event:                      false, // between two events
		event + "data: {\"choi":    false,
		strings.ReplaceAll(event, "\n", "\r\n") + "data: [DONE]\r\n\r\n": true,
	} {
		s, err := engine.Chat(t.Context(), startRawServer(t, end(body, false)), "r1", native.ChatRequest{})
		require.NoError(t, err)
		for err == nil {
			_, err = s.Next()
		}
		require.NoError(t, s.Close())
		if complete {
			require.Equal(t, io.EOF, err)
		} else {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}
