package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/suspect"
	"savoryreel.example/savoryreel/routes"
)

// fingerprintOf returns the fingerprint of the request that serve sends for a path.
func fingerprintOf(path string) uint64 {
	j := &job{Request: &Request{Method: "POST", Target: path, Host: "a.example"}}
	return j.requestFingerprint()
}

// crashingServer adds a server that ends with the first request that it gets.
func (r *rig) crashingServer(service string) *standIn {
	var s *standIn
	s = r.server(service, func(http.ResponseWriter, *http.Request) {
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	return s
}

// Guards against a request that is sent to servers although it has ended some, on whatever kind of
// route: each caller that comes back would take another one.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent, routes.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			r := newRig(t)
			r.setRoutes(routes.Route{Prefix: "/", Kind: kind, MaxServers: 1})
			var servers []*standIn
			for range 6 {
				servers = append(servers, r.crashingServer("web"))
			}
			arrived := func() (n int) {
				for _, s := range servers {
					n += s.count()
				}
				return n
			}
			for i := range suspect.Threshold {
				_, refusal := r.serve("/x")
				require.Equal(t, ServerFailed, refusal.Reason)
				require.Eventually(t, func() bool { return len(r.recordedBreaks("/x")) == i+1 }, 2*time.Second, time.Millisecond)
			}
			for range 5 {
				_, refusal := r.serve("/x")
				require.Equal(t, Quarantined, refusal.Reason)
				require.True(t, refusal.Reason.NotRun())
				require.Positive(t, refusal.RetryAfter)
			}
			require.Equal(t, suspect.Threshold, arrived())
			_, refusal := r.serve("/other")
			require.Equal(t, ServerFailed, refusal.Reason, "another request is sent")
		})
	}
}

// recordedBreaks returns the servers on which the request for a path broke off.
func (r *rig) recordedBreaks(path string) []suspect.Break {
	records, _ := r.breaks.since(0)
	for _, record := range records {
		if record.Fingerprint == fingerprintOf(path) {
			return record.Breaks
		}
	}
	return nil
}

// Guards against an entry that has just started, or has never seen the request, and sends it on.
func TestSuspectOfOtherEntriesIsRefused(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	server := r.server("web", respond("ok"))
	r.breaks.updateList("replica", &api.WatchReply{HasSuspects: true, Suspects: []uint64{fingerprintOf("/x")}})
	_, refusal := r.serve("/x")
	require.Equal(t, Quarantined, refusal.Reason)
	require.Zero(t, server.count())
	_, refusal = r.serve("/y")
	require.Nil(t, refusal)
	r.breaks.updateList("replica", &api.WatchReply{}) // no change
	_, refusal = r.serve("/x")
	require.Equal(t, Quarantined, refusal.Reason)
	r.breaks.updateList("replica", &api.WatchReply{HasSuspects: true})
	_, refusal = r.serve("/x")
	require.Nil(t, refusal)
}

// Guards against a request of many callers that is not run any more after some servers ended,
// although another one answers it.
func TestAnswerClearsBreaks(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	r.server("web", respond("ok"))
	fingerprint := fingerprintOf("/x")
	for i := range suspect.Threshold {
		_, refusal := r.serve("/x")
		require.Nil(t, refusal)
		r.breaks.record([]uint64{fingerprint}, suspect.Server{ID: fmt.Sprint(i)})
		require.Empty(t, r.breaks.needTrials([]uint64{fingerprint}))
	}
}

// Guards against a request of many callers that is not repeated any more because servers reset
// some of its connections.
func TestBrokenConnectionsMakeNoSuspect(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2})
	for range suspect.Threshold + 2 {
		r.server("web", abort)
	}
	r.server("web", respond("ok"))
	r.fillBudgetFor(40)
	for range 20 {
		_, _ = r.serve("/x")
	}
	require.True(t, r.breaks.empty())
}

// serveParts sends a request whose prompt has parts.
func (r *rig) serveParts(path string, ids ...string) *Refusal {
	var segments []PromptSegment
	for _, id := range ids {
		segments = append(segments, PromptSegment{ID: id, Tokens: 10})
	}
	return r.Serve(r.t.Context(), &Request{
		ID: fmt.Sprint(time.Now().UnixNano()), Method: "POST", Target: path, Path: path, Host: "a.example", Header: http.Header{"X-Part": ids},
		PromptSegments: segments,
	}, &recorder{})
}

// Guards against a part of a prompt that crashes servers in requests which are otherwise unlike, and against
// sound requests that are refused for what they share with these.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	for range 6 {
		var s *standIn
		s = r.server("web", func(w http.ResponseWriter, req *http.Request) {
			if parts := req.Header["X-Part"]; slices.Contains(parts[:len(parts)-1], "bad") {
				_ = s.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			respond("ok")(w, req)
		})
	}
	for i := range 4 {
		require.Nil(t, r.serveParts(fmt.Sprint("/", i), "shared", "sound", fmt.Sprint(i)))
	}
	records := func() int {
		list, _ := r.breaks.since(0)
		return len(list)
	}
	for i := range suspect.Threshold {
		before := records()
		require.Equal(t, ServerFailed, r.serveParts(fmt.Sprint("/bad", i), "shared", "bad", fmt.Sprint("own", i)).Reason)
		require.Eventually(t, func() bool { return records() > before }, 2*time.Second, time.Millisecond)
		time.Sleep(400 * time.Millisecond) // servers that end together count once
	}
	for i := range 5 {
		refusal := r.serveParts(fmt.Sprint("/more", i), "shared", "bad", fmt.Sprint("own", 10+i))
		require.Equal(t, Quarantined, refusal.Reason)
		require.Nil(t, r.serveParts(fmt.Sprint("/", 10+i), "shared", "sound", fmt.Sprint(i)))
		require.Nil(t, r.serveParts(fmt.Sprint("/", 20+i), "bad"), "the last part is the request's own")
	}
}

// Guards against a request that crashes servers and is taken for answered, since its answer has neither
// length nor chunks and ends with its connection when the server does.
func TestAnswerThatEndsWithItsServerIsNoAnswer(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	for range 6 {
		var s *standIn
		s = r.server("web", func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/x" {
				_ = s.Listener.Close()
				go s.CloseClientConnections() // the idle ones
			}
			unframed("half", false)(w, req)
		})
	}
	_, refusal := r.serve("/sound")
	require.Nil(t, refusal)
	for i := range suspect.Threshold {
		_, _ = r.serve("/x")
		require.Eventually(t, func() bool { return len(r.recordedBreaks("/x")) == i+1 }, 2*time.Second, time.Millisecond)
	}
	_, refusal = r.serve("/x")
	require.Equal(t, Quarantined, refusal.Reason)
	_, refusal = r.serve("/sound")
	require.Nil(t, refusal)
}
