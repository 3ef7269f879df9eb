package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/routes"
)

func cut(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func say(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// An entry that has just started knows no catalogue. A caller whose key is good
// must not read that nobody holds it.
func TestBeforeTheFirstCatalogue(t *testing.T) {
	r := newRig(t)
	_, refusal := r.ask("/x")
	require.Equal(t, NoCatalogue, refusal.Reason)
	require.True(t, refusal.Reason.NotRun())
	require.Positive(t, refusal.RetryAfter)
	require.Error(t, r.Ready())
}

func TestRefusals(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/a/", Kind: routes.Idempotent})
	_, refusal := r.ask("/b")
	require.Equal(t, NoRoute, refusal.Reason)
	_, refusal = r.ask("/a/x")
	require.Equal(t, NoServer, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
}

// A server closes the connection after it has read a request that may run once.
// It may have run: a second send could credit an account twice, and the word "not
// run" would make the caller send it again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent, MaxServers: 3})
	a, b := r.server("web", cut), r.server("web", cut)
	_, refusal := r.ask("/x")
	require.Equal(t, ServerFailed, refusal.Reason)
	require.False(t, refusal.Reason.NotRun())
	require.Equal(t, 1, a.count()+b.count())
}

// One of two servers loses its connections. An idempotent request is answered by
// the other one.
func TestIdempotentIsSentAgain(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2})
	r.server("web", cut)
	r.server("web", say("ok"))
	r.fillBudget()
	answered := 0
	for range 10 {
		if out, refusal := r.ask("/x"); refusal == nil && string(out.body) == "ok" {
			answered++
		}
	}
	require.Equal(t, 10, answered)
}

// All servers fail each request. The repeats must stay within the site's budget,
// or the failing servers get twice the load.
//
// It breaks without Gateway.failed in mayRepeat.
func TestRetryBudget(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 3})
	a, b := r.server("web", cut), r.server("web", cut)
	const requests = 200
	for range requests {
		_, _ = r.ask("/x")
	}
	b1 := r.cfg.Node.Bounds
	repeats := a.count() + b.count() - requests
	require.LessOrEqual(t, float64(repeats), b1.RetryRatio*requests+b1.RetrySlack/assumedEntries)
}

// Eighty entries share what may be repeated besides the ratio. With eight's part
// each, servers that fail would get ten times what the site allows.
func TestRetryBudgetIsSplitAmongAllEntries(t *testing.T) {
	bounds := testNode().Bounds
	for _, entries := range []int{1, 6, 80} {
		require.LessOrEqual(t, retryBudget(bounds, entries)*float64(entries), bounds.RetrySlack)
	}
}

// A server says that it did not run the request, since it is full. Another one
// takes it, also where it may run only once.
func TestRefusedByOneServer(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	full := r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.server("web", say("ok"))
	r.fillBudget()
	before := full.count()
	for range 10 {
		out, refusal := r.ask("/x")
		require.Nil(t, refusal)
		require.Equal(t, "ok", string(out.body))
	}
	require.LessOrEqual(t, full.count()-before, 10)
}

// A server answers with half its body and breaks off. The caller must be able to
// tell that from a whole answer.
func TestHalfAnAnswer(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	})
	out, refusal := r.ask("/x")
	require.Equal(t, ServerFailed, refusal.Reason)
	require.Zero(t, out.status, "nothing has gone to the caller")
}

// A server takes longer than the route allows. The caller gets its final answer at
// that time, which leaves open whether the request ran.
func TestRouteTimeout(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent, Timeout: 100 * time.Millisecond})
	r.server("web", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
	start := time.Now()
	_, refusal := r.ask("/x")
	require.Equal(t, TimedOut, refusal.Reason)
	require.Less(t, time.Since(start), time.Second)
}

// The caller leaves. Its run at the server is cancelled at once.
func TestCallerGone(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	begun, ended := make(chan struct{}), make(chan struct{})
	r.server("web", func(_ http.ResponseWriter, req *http.Request) {
		close(begun)
		<-req.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, refusal := r.askCtx(ctx, "/x")
	require.Equal(t, CallerGone, refusal.Reason)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server still works for a caller that has gone")
	}
}

// stream writes events from the one after the given id up to last, and breaks off
// in the middle of the one after it, unless whole.
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

// Both servers break off in the middle of an event, the first time each. The
// caller sees one stream without a gap, a double or half an event.
func TestResumedStream(t *testing.T) {
	for name, from := range map[string]func(*http.Request) int{
		"from the event after": resumeAt,
		"from the start":       func(*http.Request) int { return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.use(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 3})
			broken := map[string]bool{}
			for i := range 2 {
				r.server("web", func(w http.ResponseWriter, req *http.Request) {
					id := req.Header.Get("X-Id")
					if key := id + strconv.Itoa(i); len(broken) == 0 {
						broken[key] = true
						stream(from, 3, false)(w, req)
					}
					stream(from, 6, true)(w, req)
				})
			}
			r.fillBudget()
			out, refusal := r.ask("/x")
			require.Nil(t, refusal)
			require.Equal(t, eventsText(6), string(out.body))
		})
	}
}

// A stream that may not be resumed breaks off. What came goes to the caller, and
// the end doesn't look like one.
func TestStreamThatMayNotBeResumed(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.Stream, MaxServers: 3})
	a := r.server("web", stream(resumeAt, 2, false))
	out, refusal := r.ask("/x")
	require.Equal(t, Truncated, refusal.Reason)
	require.True(t, strings.HasPrefix(string(out.body), eventsText(2)))
	require.Equal(t, 1, a.count())
}

// A server ends a stream in the middle of an event with its connection, which
// looks like a proper end where the answer has no length.
func TestStreamEndsInTheMiddleOfAnEvent(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		r := newRig(t)
		r.use(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: resumable})
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
		_, refusal := r.ask("/x")
		require.NotNil(t, refusal)
		require.Equal(t, Truncated, refusal.Reason)
	}
}

// A stream's route is asked for something that isn't there. The server's own answer,
// which has no events, goes to the caller whole.
//
// It breaks if it is read as a stream: one that ends in the middle of an event.
func TestErrorOnAStreamsRoute(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		r := newRig(t)
		r.use(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: resumable})
		r.server("web", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte("no such model"))
		})
		out, refusal := r.ask("/x")
		require.Nil(t, refusal)
		require.Equal(t, http.StatusNotFound, out.status)
		require.Equal(t, "no such model", string(out.body))
	}
}

// A stream breaks off, and the servers that it is to go on at fail or answer with an
// error. Neither may be joined to the events that the caller has, and each attempt
// draws on the retry budget: with all servers failing, callers of streams would else
// bring each of them several times the load.
//
// It breaks without the case of a begun answer in relay, and in serverFailed.
func TestStreamThatCannotGoOn(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		r := newRig(t)
		r.use(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 9})
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
		out, refusal := r.ask("/x")
		require.Equal(t, Truncated, refusal.Reason)
		require.Equal(t, eventsText(2), string(out.body))
		total := 0
		for _, s := range all {
			total += s.count()
		}
		require.LessOrEqual(t, total, 3, "the first run and what the budget allows")
	}
}

// A caller asks with HEAD how long a document is. The answer has no body, and a
// length all the same.
//
// It breaks if the length told is that of the body that came.
func TestHeadTellsTheDocumentsLength(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.Idempotent})
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

// A server answers each request at once with an error of its own, on a route whose
// requests may run only once. Callers get the errors, as nothing may be repeated.
// The server is always free, so it looks best, and would get most requests.
//
// It breaks if an error that is passed on counts as a good end of the run.
func TestServerThatFailsGetsLess(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	failing := r.server("web", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for range 3 {
		r.server("web", say("ok"))
	}
	const requests = 200
	for range requests {
		_, refusal := r.ask("/x")
		require.Nil(t, refusal)
		r.skip.Add(int64(20 * time.Millisecond))
	}
	t.Logf("%d of %d requests went to the failing server", failing.count(), requests)
	require.Less(t, failing.count(), requests/10)
}
