package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/throttle"
	"savoryreel.example/savoryreel/routes"
)

// Guards against a kind of request, or a way to send it, that passes by the limit which a server has
// named: without a token it goes to another server.
func TestServerLimitHoldsForEachKindOfRequest(t *testing.T) {
	for name, on := range noticeRoutes {
		for _, refuses := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := newNoticeSite(t, on, http.Header{"X-Limit": {"1"}}, refuses)
				s.untilNotice()
				before := s.noticing.count()
				for range 30 {
					_, refusal := s.serve("/x")
					require.Nil(t, refusal)
				}
				require.Equal(t, before, s.noticing.count())

				// Each token is for one request.
				server := throttle.Server{ID: "s1", Incarnation: 1}
				s.serverLimits.Record(server, throttle.Reply{Granted: 2}, s.now())
				for range 30 {
					_, refusal := s.serve("/x")
					require.Nil(t, refusal)
				}
				require.LessOrEqual(t, s.noticing.count(), before+2)
			})
		}
	}
}

// Guards against callers that wait, or come back at once, while all servers limit their requests.
func TestRefusalWhileAllServersLimitRequests(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, MaxServers: 2})
	limited := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Limit", "1") }
	a, b := r.server("web", limited), r.server("web", limited)
	for range 20 {
		_, _ = r.serve("/x")
	}
	require.LessOrEqual(t, a.count()+b.count(), 2, "one answer of each names the limit")
	started := time.Now()
	_, refusal := r.serve("/x")
	require.Equal(t, Overloaded, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.Less(t, time.Since(started), time.Second)
}

// Guards against a limit that outlasts the server's need.
func TestServerLimitEndsWithAnswerThatNamesNone(t *testing.T) {
	s := newNoticeSite(t, noticeRoutes["idempotent"], http.Header{"X-Limit": {"1"}}, false)
	s.untilNotice()
	s.header = nil
	s.serverLimits.Record(throttle.Server{ID: "s1", Incarnation: 1}, throttle.Reply{Granted: 1}, s.now())
	before := s.noticing.count()
	for range 50 {
		_, _ = s.serve("/x")
	}
	require.Greater(t, s.noticing.count(), before+2)
}
