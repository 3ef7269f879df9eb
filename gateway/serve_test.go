package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/routes"
)

func abort(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// A new entry has no catalogue. A caller with a valid key must not be refused for an unknown
// key.
func TestRefusalBeforeFirstCatalogue(t *testing.T) {
	r := newRig(t)
	_, refusal := r.serve("/x")
	require.Equal(t, NoCatalogue, refusal.Reason)
	require.True(t, refusal.Reason.NotRun())
	require.Positive(t, refusal.RetryAfter)
	require.Error(t, r.Ready())
}

func TestRefusals(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	_, refusal := r.serve("/b")
	require.Equal(t, NoRoute, refusal.Reason)
	_, refusal = r.serve("/a/x")
	require.Equal(t, NoServer, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
}

// A server closes the connection after it has read a non-idempotent request, which may have
// run. A second send, or a report of "not run" that makes the caller retry, could run it
// twice.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent, MaxServers: 3})
	a, b := r.server("web", abort), r.server("web", abort)
	_, refusal := r.serve("/x")
	require.Equal(t, ServerFailed, refusal.Reason)
	require.False(t, refusal.Reason.NotRun())
	require.Equal(t, 1, a.count()+b.count())
}

// One of two servers drops its connections. An idempotent request must be answered by the
// other one.
func TestIdempotentRequestIsRetried(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2})
	r.server("web", abort)
	r.server("web", respond("ok"))
	r.fillBudget()
	answered := 0
	for range 10 {
		if out, refusal := r.serve("/x"); refusal == nil && string(out.body) == "ok" {
			answered++
		}
	}
	require.Equal(t, 10, answered)
}

// All servers fail each request. Retries must stay within the site's budget, or the failing
// servers get several times the load.
//
// Fails if takeRepeat takes nothing from the budgets.
func TestRetryBudget(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 3})
	a, b := r.server("web", abort), r.server("web", abort)
	const requests = 200
	for range requests {
		_, _ = r.serve("/x")
	}
	bounds := r.cfg.Node.Bounds
	repeats := a.count() + b.count() - requests
	require.LessOrEqual(t, float64(repeats), bounds.RetryRatio*requests/2, "an entry without a share of the slack")
	require.Greater(t, repeats, requests/20)
}

// Entries divide the site's slack. If each of 80 entries used more than its share, failing
// servers would get more repeats than the site allows.
func TestRetrySlackIsDividedByShares(t *testing.T) {
	bounds := testNode().Bounds
	for _, entries := range []int{1, 6, 80} {
		now, total := time.Unix(0, 0), 0
		for range entries {
			r, err := newRepeats(bounds, newRepeatUse(slog.New(slog.DiscardHandler), metrics.NewSet()), func() time.Time { return now })
			require.NoError(t, err)
			r.setShare(1 / float64(entries))
			now = now.Add(bounds.RetryWindow + time.Second)
			for r.take(retry.Call{Service: "web"}).Go {
				total++
			}
		}
		require.LessOrEqual(t, float64(total), bounds.RetrySlack)
	}
}

// A full server reports that it did not run a request. Another one must get it, even if it
// may run only once.
func TestServerRefusalIsRetriedElsewhere(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	full := r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.server("web", respond("ok"))
	r.fillBudget()
	before := full.count()
	for range 10 {
		out, refusal := r.serve("/x")
		require.Nil(t, refusal)
		require.Equal(t, "ok", string(out.body))
	}
	require.LessOrEqual(t, full.count()-before, 10)
}

// A server cuts its answer off halfway. The caller must not take it for a complete answer.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	})
	out, refusal := r.serve("/x")
	require.Equal(t, ServerFailed, refusal.Reason)
	require.Zero(t, out.status, "nothing was sent to the caller")
}

// A server takes longer than the route allows. The caller must get an error at the deadline
// that leaves open whether the request ran.
func TestRouteTimeout(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent, Timeout: 100 * time.Millisecond})
	r.server("web", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
	start := time.Now()
	_, refusal := r.serve("/x")
	require.Equal(t, TimedOut, refusal.Reason)
	require.Less(t, time.Since(start), time.Second)
}

// The caller disconnects. Its request must be cancelled at the server, which would otherwise
// work for nothing.
func TestCallerGone(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	started, ended := make(chan struct{}), make(chan struct{})
	r.server("web", func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, refusal := r.serveContext(ctx, "/x")
	require.Equal(t, CallerGone, refusal.Reason)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server still processes the request of a caller that has disconnected")
	}
}

// stream writes events from first to last. Unless whole, it then cuts the connection within
// the next event.
func stream(first func(*http.Request) int, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		for id := first(req); id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
			w.(http.Flusher).Flush()
		}
		if !whole {
			fmt.Fprintf(w, "id: %d\ndata: ev", last+1)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func resumeAt(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get("X-After"))
	if err != nil {
		return 1
	}
	return n + 1
}

func eventsText(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// A server cuts a stream off within an event. The caller must get one stream without
// missing, repeated or partial events.
func TestStreamIsResumedOnAnotherServer(t *testing.T) {
	for name, from := range map[string]func(*http.Request) int{
		"from the event after": resumeAt,
		"from the start":       func(*http.Request) int { return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 3})
			failed := map[string]bool{}
			for i := range 2 {
				r.server("web", func(w http.ResponseWriter, req *http.Request) {
					id := req.Header.Get("X-Id")
					if key := id + strconv.Itoa(i); len(failed) == 0 {
						failed[key] = true
						stream(from, 3, false)(w, req)
					}
					stream(from, 6, true)(w, req)
				})
			}
			r.fillBudget()
			out, refusal := r.serve("/x")
			require.Nil(t, refusal)
			require.Equal(t, eventsText(6), string(out.body))
		})
	}
}

// A stream that may not be resumed is cut off. The caller must get the events so far, and
// not take their end for the end of the stream.
func TestNonResumableStreamIsTruncated(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, MaxServers: 3})
	a := r.server("web", stream(resumeAt, 2, false))
	out, refusal := r.serve("/x")
	require.Equal(t, Truncated, refusal.Reason)
	require.True(t, strings.HasPrefix(string(out.body), eventsText(2)))
	require.Equal(t, 1, a.count())
}

// A server closes the connection within an event. Without a length that looks like the end
// of the answer, and the caller would take the stream for complete.
func TestStreamClosedInsideEventIsTruncated(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		r := newRig(t)
		r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: resumable})
		r.server("web", func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			id := w.Header().Get("X-Id")
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata", id)
			_ = buf.Flush()
			_ = conn.Close()
		})
		_, refusal := r.serve("/x")
		require.NotNil(t, refusal)
		require.Equal(t, Truncated, refusal.Reason)
	}
}

// A server answers a request on a stream's route with an error. Read as a stream, the answer
// would count as cut off within an event; it must be relayed whole.
func TestErrorAnswerOnStreamRoute(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		r := newRig(t)
		r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: resumable})
		r.server("web", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte("no such model"))
		})
		out, refusal := r.serve("/x")
		require.Nil(t, refusal)
		require.Equal(t, http.StatusNotFound, out.status)
		require.Equal(t, "no such model", string(out.body))
	}
}

// A stream is cut off, and the servers that could resume it fail or answer with an error.
// The error must not be joined to the events that the caller has, and each attempt must be
// charged to the retry budget, or callers of streams multiply the load on failing servers.
//
// Fails without the case for answerStarted in relay, and in serverFailed.
func TestFailedResumeIsTruncated(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		r := newRig(t)
		r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 9})
		var all []*standIn
		for range 4 {
			all = append(all, r.server("web", func(w http.ResponseWriter, req *http.Request) {
				if req.Header.Get("X-After") == "" {
					stream(resumeAt, 2, false)(w, req)
				}
				w.WriteHeader(status)
				_, _ = w.Write([]byte("error"))
			}))
		}
		r.fillBudgetFor(1)
		out, refusal := r.serve("/x")
		require.Equal(t, Truncated, refusal.Reason)
		require.Equal(t, eventsText(2), string(out.body))
		total := 0
		for _, s := range all {
			total += s.count()
		}
		require.LessOrEqual(t, total, 3, "the first attempt and the budget")
	}
}

// A caller requests the length of a document with HEAD. The answer has no body; its length
// must not be reported as 0.
func TestHeadAnswerKeepsContentLength(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4711")
	})
	out := &recorder{}
	refusal := r.Serve(t.Context(), &Request{
		ID: "q1", Method: http.MethodHead, Host: "a.example", Path: "/x", Target: "/x", Header: http.Header{},
	}, out)
	require.Nil(t, refusal)
	require.Empty(t, out.body)
	require.Equal(t, int64(4711), out.length)
}

// A server answers each request at once with an error, on a route without retries. It is
// always idle, so it would get most requests if errors that are relayed counted as
// successes.
func TestFailingServerGetsFewerRequests(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	failing := r.server("web", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for range 3 {
		r.server("web", respond("ok"))
	}
	const requests = 200
	for range requests {
		_, refusal := r.serve("/x")
		require.Nil(t, refusal)
		r.clockOffset.Add(int64(20 * time.Millisecond))
	}
	t.Logf("%d of %d requests went to the failing server", failing.count(), requests)
	require.Less(t, failing.count(), requests/10)
}

// endlessly writes p until the caller closes, and then closes done.
func endlessly(w http.ResponseWriter, p string, done chan<- struct{}) {
	defer close(done)
	chunk := []byte(strings.Repeat(p, 4096/len(p)))
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// Guards against a request that waits until its deadline for the end of a body that nobody needs: of an
// answer that says that the server has not run it, of a failure, and of one that can't be relayed.
func TestBodiesWithoutEndHoldNoRequest(t *testing.T) {
	for name, header := range map[string]func(http.Header) int{
		"not run": func(h http.Header) int { h.Set("X-Not-Run", "1"); return http.StatusServiceUnavailable },
		"failed":  func(http.Header) int { return http.StatusInternalServerError },
		"unusable": func(h http.Header) int {
			h.Del("X-Signed")
			return http.StatusOK
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2, Timeout: 10 * time.Second})
			var endless atomic.Int32
			done := make(chan struct{})
			handle := func(w http.ResponseWriter, req *http.Request) {
				if endless.Add(1) > 1 {
					respond("ok")(w, req)
					return
				}
				w.WriteHeader(header(w.Header()))
				endlessly(w, "body", done)
			}
			r.server("web", handle)
			r.server("web", handle)
			r.fillBudget()
			begun := time.Now()
			out, refusal := r.serve("/x")
			require.Nil(t, refusal)
			require.Equal(t, "ok", string(out.body))
			require.Less(t, time.Since(begun), 5*time.Second)
			<-done
		})
	}
}

// Guards against an entry that runs out of memory and time by an event without end, of which it keeps all
// until its end comes, so that a stream can be resumed.
func TestEventWithoutEndBreaksItsStreamOff(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 2, Timeout: 10 * time.Second})
	var endless atomic.Int32
	done := make(chan struct{})
	handle := func(w http.ResponseWriter, req *http.Request) {
		if endless.Add(1) > 1 {
			respond(eventsText(3))(w, req)
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: ")
		endlessly(w, "data", done)
	}
	r.server("web", handle)
	r.server("web", handle)
	r.fillBudget()
	begun := time.Now()
	out, refusal := r.serve("/x")
	require.Nil(t, refusal)
	require.Equal(t, eventsText(3), string(out.body))
	require.Less(t, time.Since(begun), 5*time.Second)
	<-done
}

// Guards against time that grows with the square of an event's length.
func TestLongEventTakesTimeByItsLength(t *testing.T) {
	var splitter eventSplitter
	event := strings.Repeat("x", maxEventBytes-10) + "\n\n"
	begun := time.Now()
	for len(event) > 0 {
		n := min(16, len(event))
		whole, _, err := splitter.add([]byte(event[:n]))
		require.NoError(t, err)
		event = event[n:]
		require.Equal(t, event == "", len(whole) > 0)
	}
	require.Less(t, time.Since(begun), 2*time.Second)
}

// unframed answers with a body of neither length nor chunks that ends with its connection.
func unframed(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\n\r\n%s", req.Header.Get("X-Id"), body)
		if reset {
			time.Sleep(50 * time.Millisecond) // a reset overtakes what is not read yet
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against an answer that ends with its connection and looks complete though it was cut off, and
// against a complete one that is taken for cut off.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const (
		whole = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
		half  = "id: 1\ndata: event 1\n\nid: 2\ndata: ev"
		crlf  = "id: 1\r\ndata: event 1\r\n\r\nid: 2\r\ndata: event 2\r\n\r\n"
	)
	stream := routes.Route{Prefix: "/", Kind: routes.Stream, MaxServers: 1}
	resumable := routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 1}
	plain := routes.Route{Prefix: "/", Kind: routes.NonIdempotent}
	for _, c := range []struct {
		name     string
		route    routes.Route
		body     string
		reset    bool
		complete bool
	}{
		{"stream, whole", stream, whole, false, true},
		{"stream, within an event", stream, half, false, false},
		{"stream, carriage returns, whole", stream, crlf, false, true},
		{"stream, carriage returns, within an event", stream, crlf[:len(crlf)-3], false, false},
		{"stream, empty", stream, "", false, true},
		{"stream, reset between two events", stream, whole, true, false},
		{"stream, reset within an event", stream, half, true, false},
		{"resumable stream, whole", resumable, whole, false, true},
		{"resumable stream, within an event", resumable, half, false, false},
		{"resumable stream, carriage returns, whole", resumable, crlf, false, true},
		{"resumable stream, reset between two events", resumable, whole, true, false},
		{"plain, whole", plain, half, false, true},
		{"plain, empty", plain, "", false, true},
		{"plain, reset", plain, half, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.setRoutes(c.route)
			r.server("web", unframed(c.body, c.reset))
			out, refusal := r.serve("/x")
			if !c.complete {
				require.NotNil(t, refusal)
				require.False(t, refusal.Reason.NotRun())
				return
			}
			require.Nil(t, refusal)
			require.Equal(t, c.body, string(out.body))
		})
	}
}

// Guards against a resumed stream that joins half an event to another one, or lacks one, when the first
// server ends its connection within an event.
func TestUnframedStreamIsResumed(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 2})
	r.server("web", unframed("id: 1\r\ndata: event 1\r\n\r\nid: 2\r\ndata: ev", false))
	r.server("web", unframed("id: 1\r\ndata: event 1\r\n\r\nid: 2\r\ndata: ev", true))
	r.fillBudget()
	out, _ := r.serve("/x")
	require.Equal(t, "id: 1\r\ndata: event 1\r\n\r\n", string(out.body), "event 1 comes once")
}
