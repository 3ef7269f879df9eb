package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/routes"
)

// noticeSite is a gateway with one server that gives notices and another that serves.
type noticeSite struct {
	*rig
	noticing *standIn
	header   http.Header // of the answers of noticing
	refuses  bool        // noticing does not run requests
}

func newNoticeSite(t *testing.T, on routes.Route, header http.Header, refuses bool) *noticeSite {
	s := &noticeSite{rig: newRig(t), header: header, refuses: refuses}
	on.Prefix, on.MaxServers = "/", 3
	s.setRoutes(on)
	s.noticing = s.server("web", func(w http.ResponseWriter, req *http.Request) {
		for name, values := range s.header {
			w.Header()[name] = values
		}
		if s.refuses {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		stream(resumeAt, 3, true)(w, req)
	})
	s.server("web", stream(resumeAt, 3, true))
	s.fillBudget()
	return s
}

// announce passes on a record of the noticing server.
func (s *noticeSite) announce(incarnation, sequence uint64, unreachable bool) {
	s.service("web").update(directory.Server{
		Announcement: instance.Announcement{
			ID: "s1", Incarnation: incarnation, Sequence: sequence, State: instance.StateServing,
			Address: s.noticing.Listener.Addr().String(), Zone: "z", Slots: 8, Services: []string{"web"},
		},
		Unreachable: unreachable,
	}, s.now())
}

// serveFor serves requests for a while of the gateway's clock, which also moves by itself, and
// returns how many reached the noticing server.
func (s *noticeSite) serveFor(d time.Duration) int {
	before := s.noticing.count()
	for end := s.now().Add(d); s.now().Before(end); {
		_, _ = s.serve("/x")
		s.clockOffset.Add(int64(20 * time.Millisecond))
	}
	return s.noticing.count() - before
}

// untilNotice serves requests until one has reached the noticing server.
func (s *noticeSite) untilNotice() {
	for range 200 {
		if s.noticing.count() > 0 {
			return
		}
		_, _ = s.serve("/x")
	}
	require.Positive(s.t, s.noticing.count(), "no request reached the server")
}

var noticeRoutes = map[string]routes.Route{
	"idempotent":       {Kind: routes.Idempotent},
	"non-idempotent":   {Kind: routes.NonIdempotent},
	"stream":           {Kind: routes.Stream},
	"resumable stream": {Kind: routes.Stream, Resumable: true},
}

// meanwhile lists what may bring a server back into the choice.
var meanwhile = map[string]func(s *noticeSite){
	"nothing":                func(*noticeSite) {},
	"it announces itself":    func(s *noticeSite) { s.announce(1, 2, false) },
	"it was unreachable":     func(s *noticeSite) { s.announce(1, 2, true); s.announce(1, 3, false) },
	"the other server fails": func(s *noticeSite) { s.service("web").drop("s2") },
}

// Guards against requests to a server that has turned one away and asked for a pause: it is
// overloaded, each request costs it more, and callers wait for a refusal.
func TestServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	const pause = 3 * time.Second
	for kind, on := range noticeRoutes {
		for name, happens := range meanwhile {
			t.Run(kind+", "+name, func(t *testing.T) {
				s := newNoticeSite(t, on, http.Header{"X-Pause-Ms": {strconv.Itoa(int(pause.Milliseconds()))}}, true)
				s.untilNotice()
				happens(s)
				require.Zero(t, s.serveFor(pause-500*time.Millisecond), "requests within the pause")
				s.clockOffset.Add(int64(500 * time.Millisecond))
				s.refuses = false
				s.header = nil
				require.Positive(t, s.serveFor(2*time.Second), "requests after the pause")
			})
		}
	}
}

// Guards against requests to a server that says in its answers that it leaves: they would be
// cut off when it ends, also at an entry that receives no announcement.
func TestServerThatLeavesInItsAnswersGetsNoRequests(t *testing.T) {
	for kind, on := range noticeRoutes {
		for name, happens := range meanwhile {
			for _, refuses := range []bool{false, true} {
				t.Run(kind+", "+name+", refuses "+strconv.FormatBool(refuses), func(t *testing.T) {
					s := newNoticeSite(t, on, http.Header{"X-Leaving": {"1"}}, refuses)
					s.untilNotice()
					happens(s)
					require.Zero(t, s.serveFor(10*time.Second))
				})
			}
		}
	}
}

// Guards against a server that stays out of use after it has started again under its id.
func TestNoticeEndsWithTheIncarnation(t *testing.T) {
	s := newNoticeSite(t, routes.Route{Kind: routes.Idempotent}, http.Header{"X-Leaving": {"1"}}, true)
	s.untilNotice()
	s.refuses, s.header = false, nil
	s.announce(2, 1, false)
	require.Positive(t, s.serveFor(2*time.Second))
}

// Guards against requests within the pause of a server that has started again under its id: its
// answer may arrive before the announcement of the restart. A long pause must not outlast it.
func TestPauseOutlastsARestartForAShortTime(t *testing.T) {
	s := newNoticeSite(t, routes.Route{Kind: routes.Idempotent}, http.Header{"X-Pause-Ms": {"60000"}}, true)
	s.untilNotice()
	s.refuses, s.header = false, nil
	s.announce(2, 1, false)
	require.Zero(t, s.serveFor(8*time.Second))
	s.clockOffset.Add(int64(3 * time.Second))
	require.Positive(t, s.serveFor(2*time.Second))
}

// Guards against a stream that is resumed on a server within its pause, or after it has said that
// it leaves: the caller waits for a refusal in the middle of its answer, or is cut off again.
func TestStreamIsNotResumedOnARestrictedServer(t *testing.T) {
	for _, header := range []http.Header{{"X-Leaving": {"1"}}, {"X-Pause-Ms": {"60000"}}} {
		s := newNoticeSite(t, routes.Route{Kind: routes.Stream, Resumable: true}, header, true)
		s.untilNotice()
		s.service("web").drop("s2")
		for range 2 {
			s.server("web", func(w http.ResponseWriter, req *http.Request) {
				stream(resumeAt, 3, req.Header.Get("X-After") != "")(w, req)
			})
		}
		s.fillBudget()
		before := s.noticing.count()
		for range 10 {
			out, refusal := s.serve("/x")
			require.Nil(t, refusal)
			require.Equal(t, eventsText(3), string(out.body))
		}
		require.Equal(t, before, s.noticing.count())
	}
}

// chooseNoticing returns a request for which the noticing server has been chosen.
func (s *noticeSite) chooseNoticing() (*job, choice) {
	j := &job{Request: &Request{ID: "q1", Method: "POST", Target: "/x", Path: "/x", Host: "a.example", Header: http.Header{}}, gateway: s.Gateway, out: &recorder{}, startedAt: s.now()}
	require.Nil(s.t, j.admit(s.t.Context()))
	c, ok := j.choose(s.t.Context())
	for c.verdict.Server != "s1" {
		require.True(s.t, ok)
		j.service.end(&c, endedByCaller, s.now())
		c, ok = j.choose(s.t.Context())
	}
	return j, c
}

// Guards against a request that waits for a connection, a place, a token or a trial while its server
// leaves, and is then sent.
func TestRequestChosenBeforeTheLeaveIsNotSent(t *testing.T) {
	for name, leave := range map[string]func(s *noticeSite){
		"drains": func(s *noticeSite) {
			rec, _ := s.directory.Lookup("s1", s.now())
			rec.State = instance.StateLeaving
			s.directory.Merge(directory.Origin{}, []directory.Server{rec}, nil, s.now())
		},
		"deregisters":       func(s *noticeSite) { s.directory.Leave("s1", 0, s.now()) },
		"is unreachable":    func(s *noticeSite) { s.announce(1, 2, true) },
		"has started again": func(s *noticeSite) { s.announce(2, 1, false) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newNoticeSite(t, routes.Route{Kind: routes.NonIdempotent}, nil, false)
			j, c := s.chooseNoticing()
			leave(s)
			s.applyDirectory()
			r := j.runAt(t.Context(), &c)
			require.True(t, r.retryable && r.notRun && !r.reachedServer)
			require.Zero(t, s.noticing.count())
			require.Zero(t, j.sends)
		})
	}
}

// Guards against a request that has waited for a connection while its server asked for a pause,
// and is then sent.
func TestRequestChosenBeforeThePauseIsNotSent(t *testing.T) {
	s := newNoticeSite(t, routes.Route{Kind: routes.NonIdempotent}, nil, false)
	j, c := s.chooseNoticing()
	j.service.applyNotice(&c, Notice{Pause: time.Second}, s.now())
	r := j.runAt(t.Context(), &c)
	require.True(t, r.retryable && r.notRun && !r.reachedServer)
	require.Zero(t, s.noticing.count())
	require.Zero(t, j.sends)
}

// Guards against callers that wait, or come back too early, while all servers of a service have
// asked for a pause.
func TestRefusalWhileAllServersPause(t *testing.T) {
	s := newNoticeSite(t, routes.Route{Kind: routes.Idempotent}, http.Header{"X-Pause-Ms": {"3000"}}, true)
	s.untilNotice()
	s.service("web").drop("s2")
	s.clockOffset.Add(int64(time.Second))
	start := time.Now()
	_, refusal := s.serve("/x")
	require.Less(t, time.Since(start), time.Second)
	require.NotNil(t, refusal)
	require.Equal(t, Overloaded, refusal.Reason)
	require.True(t, refusal.Reason.NotRun())
	require.InDelta(t, 1, refusal.RetryAfter.Seconds(), 0.26, "the pause ends in 2 s, and other entries may be served before")
}

// Guards against callers that are told to come back at once, or in an hour, while all servers of
// a service have asked for a pause.
func TestRetryAfterOfAPauseIsBounded(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{time.Microsecond: minPauseRetry, 500 * time.Millisecond: 500 * time.Millisecond, time.Hour: maxPauseRetry} {
		got := pausedRefusal(&route.Verdict{RetryAfter: wait}).RetryAfter
		require.True(t, got >= want && got <= want+want/4, "%s for %s", got, wait)
	}
}
