package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/routes"
)

// stoppingEntry is a gateway with an HTTP server for callers that has begun to leave.
type stoppingEntry struct {
	*rig
	addr  string
	ended chan struct{} // closed when the process would end
}

// pauses are where a test holds up a request. A nil function does not.
type pauses struct {
	beforeServe func()           // its body has been read
	afterServe  func()           // its answer has been written to net/http's buffer
	server      http.HandlerFunc // of the backend server; nil: a stream of three events
}

// startStop serves callers, calls before with the address, and then stops the entry.
func startStop(t *testing.T, kind routes.Kind, p pauses, before func(addr string)) *stoppingEntry {
	r := newRig(t)
	r.cfg.Node.Bounds.StopGrace = 3 * time.Second
	r.setRoutes(routes.Route{Prefix: "/", Kind: kind, Timeout: 10 * time.Second})
	handler := p.server
	if handler == nil {
		handler = stream(resumeAt, 3, true)
	}
	r.server("web", handler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &stoppingEntry{rig: r, addr: l.Addr().String(), ended: make(chan struct{})}
	var group run.Group
	callers := r.ServeCallers(&group, l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.handle(w, req, p)
	}), intake.OfMachine(time.Now).Gate("callers", 1))
	leave := make(chan struct{})
	daemon.Actor(&group, func(ctx context.Context) error {
		select {
		case <-leave:
			r.Leave(ctx, callers)
		case <-ctx.Done():
		}
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	daemon.EndWith(ctx, &group)
	go func() {
		defer close(e.ended)
		_ = group.Run()
	}()
	t.Cleanup(func() { cancel(); <-e.ended })
	before(e.addr)
	close(leave)
	return e
}

// handle reads the body, as the HTTP handlers of all dialects do, and passes the request on.
func (r *rig) handle(w http.ResponseWriter, req *http.Request, p pauses) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if p.beforeServe != nil {
		p.beforeServe()
	}
	refusal := r.Serve(req.Context(), &Request{
		ID: req.Header.Get("X-Id"), Method: req.Method, Host: "a.example", Path: req.URL.Path, Target: req.URL.Path, Header: http.Header{}, Body: body,
	}, relayed{w})
	if refusal != nil {
		http.Error(w, refusal.Reason.String(), http.StatusServiceUnavailable)
	}
	if p.afterServe != nil {
		p.afterServe()
	}
}

// relayed is a Writer that writes an answer to a caller as it arrives.
type relayed struct{ http.ResponseWriter }

func (r relayed) Begin(status int, _ http.Header, _ int64) { r.WriteHeader(status) }

func (r relayed) Flush() error { return http.NewResponseController(r.ResponseWriter).Flush() }

// waitUntilClosed returns when the entry accepts no more connections.
func (e *stoppingEntry) waitUntilClosed() {
	require.Eventually(e.t, func() bool {
		c, err := net.Dial("tcp", e.addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, 10*time.Second, 5*time.Millisecond)
}

// sendTo connects to an entry and sends text.
func sendTo(t *testing.T, addr, text string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func readHead(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	return resp
}

func readAnswer(t *testing.T, c net.Conn) string {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection ended without an answer")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the answer is cut off")
	return string(body)
}

// requestParts is a request, split where a caller may pause.
var requestParts = map[string][2]string{
	"within the header": {"POST /x HTTP/1.1\r\nHost: a", ".example\r\nX-Id: q1\r\nContent-Length: 4\r\n\r\nbody"},
	"within the body":   {"POST /x HTTP/1.1\r\nHost: a.example\r\nX-Id: q1\r\nContent-Length: 4\r\n\r\nbo", "dy"},
}

// Guards against a planned stop that ends while a request is being read: its caller would get
// neither an answer nor a refusal, and the request may have run.
func TestStopAnswersRequestThatIsBeingRead(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent, routes.Stream} {
		for name, parts := range requestParts {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var c net.Conn
				e := startStop(t, kind, pauses{}, func(addr string) {
					c = sendTo(t, addr, parts[0])
				})
				defer c.Close()
				e.waitUntilClosed()
				_, err := io.WriteString(c, parts[1])
				require.NoError(t, err)
				require.Equal(t, eventsText(3), readAnswer(t, c))
				<-e.ended
			})
		}
	}
}

// Guards against a planned stop that ends while the handler of a request has not reached
// Serve, or has left it before its answer is written: on a busy instance the caller would get
// nothing although the request has run.
func TestStopAnswersRequestOutsideServe(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent, routes.Stream} {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, before), func(t *testing.T) {
				t.Parallel()
				var e *stoppingEntry
				started, stopping := make(chan struct{}), make(chan struct{})
				hold := func() {
					close(started)
					<-stopping
					e.waitUntilClosed()
					daemon.Pause(t.Context(), 250*time.Millisecond)
				}
				p := pauses{beforeServe: hold}
				if !before {
					p = pauses{afterServe: hold}
				}
				var c net.Conn
				e = startStop(t, kind, p, func(addr string) {
					c = sendTo(t, addr, requestParts["within the body"][0]+"dy")
					<-started
				})
				defer c.Close()
				close(stopping)
				require.Equal(t, eventsText(3), readAnswer(t, c))
				<-e.ended
			})
		}
	}
}

// Guards against a planned stop that waits for callers' connections without a request until
// its grace is over.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	t.Parallel()
	var c net.Conn
	e := startStop(t, routes.Idempotent, pauses{}, func(addr string) {
		c = sendTo(t, addr, requestParts["within the body"][0]+"dy")
		require.Equal(t, eventsText(3), readAnswer(t, c))
	})
	defer c.Close()
	start := time.Now()
	<-e.ended
	require.Less(t, time.Since(start), 2*time.Second)
}

// Guards against a stopping entry that takes another request on a connection whose answer it
// ends late: the request is cut off at the end of the grace.
func TestStopTakesNoRequestAfterALateAnswer(t *testing.T) {
	for name, begunBefore := range map[string]bool{"answer begun before the stop": true, "answer begun after it": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			started, release := make(chan struct{}), make(chan struct{})
			server := func(w http.ResponseWriter, req *http.Request) {
				if requests.Add(1) > 1 {
					<-req.Context().Done()
					return
				}
				if begunBefore {
					fmt.Fprint(w, "id: 1\ndata: event 1\n\n")
					w.(http.Flusher).Flush()
				}
				close(started)
				<-release
				fmt.Fprint(w, "id: 2\ndata: event 2\n\n")
			}
			text := requestParts["within the body"][0] + "dy"
			var c net.Conn
			var r *bufio.Reader
			var resp *http.Response
			e := startStop(t, routes.Stream, pauses{server: server}, func(addr string) {
				c = sendTo(t, addr, text)
				require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
				r = bufio.NewReader(c)
				<-started
				if begunBefore {
					resp = readHead(t, r)
				}
			})
			defer c.Close()
			e.waitUntilClosed()
			daemon.Pause(t.Context(), 300*time.Millisecond)
			close(release)
			if !begunBefore {
				resp = readHead(t, r)
			}
			require.Equal(t, !begunBefore, resp.Close, "the answer says that the connection closes")
			_, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if _, err = io.WriteString(c, text); err == nil {
				_, err = http.ReadResponse(r, nil)
			}
			require.Error(t, err)
			require.EqualValues(t, 1, requests.Load(), "requests that reached the server")
			<-e.ended
		})
	}
}

// Guards against an entry that outlives the grace of its stop because a request does not end:
// it would be killed before it has written its last log lines.
func TestStopEndsWithinItsGrace(t *testing.T) {
	t.Parallel()
	started := make(chan struct{})
	server := func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
	}
	var c net.Conn
	e := startStop(t, routes.Idempotent, pauses{server: server}, func(addr string) {
		c = sendTo(t, addr, requestParts["within the body"][0]+"dy")
		<-started
	})
	defer c.Close()
	start := time.Now()
	<-e.ended
	require.Less(t, time.Since(start), e.cfg.Node.Bounds.StopGrace)
}
