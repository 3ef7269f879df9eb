package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/routes"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines of a request.
func (b *logBuffer) lines(t *testing.T, id string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, err := event.Trace("log", bytes.NewReader(b.buf.Bytes()), id)
	require.NoError(t, err)
	var out []map[string]any
	for _, l := range found {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(l.Text), &fields))
		out = append(out, fields)
	}
	return out
}

// withAttr returns the first line of an event with a value of an attribute.
func (b *logBuffer) withAttr(t *testing.T, k event.Kind, name, value string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.buf.Bytes()) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal(line, &fields))
		if fields["msg"] == k.String() && fields[name] == value {
			return fields
		}
	}
	t.Fatalf("no line %s with %s=%s", k, name, value)
	return nil
}

func newLoggedRig(t *testing.T) (*rig, *logBuffer) {
	b := &logBuffer{}
	return newRigWithLog(t, slog.New(slog.NewJSONHandler(b, nil))), b
}

func (r *rig) serveWithID(id, path string) {
	_ = r.Serve(r.t.Context(), &Request{ID: id, Method: "POST", Target: path, Path: path, Host: "a.example", Key: "k", Header: http.Header{}}, &recorder{})
}

// A workspace asks why a request was refused while servers were free. The log must show by
// the request's id that its limit was exhausted, and the Retry-After.
func TestLogExplainsRefusal(t *testing.T) {
	r, log := newLoggedRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	r.server("web", respond("ok"))
	c := *r.table.Load().Catalogue()
	c.Workspaces = []routes.Workspace{{Name: "w", Keys: []string{"k"}, PerSecond: 0.1, Burst: 1}}
	r.limits.setWorkspaces(c.Workspaces)
	r.grantWholeLimits()
	r.table.Store(routes.NewTable(&c))
	for range 50 { // exceeds the site's tolerance, too
		r.serveWithID("before", "/x")
	}
	r.serveWithID("complaint", "/x")
	lines := log.lines(t, "complaint")
	require.Len(t, lines, 1)
	require.Equal(t, event.RequestRefused.String(), lines[0]["msg"])
	require.Equal(t, "over_limit", lines[0]["outcome"])
	require.Equal(t, "w", lines[0]["workspace"])
	require.InDelta(t, 0, lines[0]["sends"], 0)
	require.Positive(t, lines[0]["retryAfter"])
	require.Contains(t, lines[0], "revision")
}

// A caller asks why an answer was late. The log must show which server took how long, its
// reported load and the age of that report.
func TestLogExplainsLateAnswer(t *testing.T) {
	r, log := newLoggedRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent, Objective: 10 * time.Millisecond})
	r.server("web", func(w http.ResponseWriter, _ *http.Request) {
		r.clockOffset.Add(int64(50 * time.Millisecond))
		_, _ = w.Write([]byte("late"))
	})
	r.serveWithID("complaint", "/x")
	lines := log.lines(t, "complaint")
	require.Len(t, lines, 2)
	chosen, ended := lines[0], lines[1]
	require.Equal(t, event.RouteChosen.String(), chosen["msg"])
	for _, field := range []string{"server", "reason", "load", "loadAge", "score", "cached"} {
		require.Contains(t, chosen, field)
	}
	require.Equal(t, "answered", ended["outcome"])
	require.Equal(t, chosen["server"], ended["server"])
	require.Greater(t, ended["firstByte"], ended["objective"])
}

// A request reached a server that was leaving. The log must show by its id what its entry
// knew of the server when it sent, from which replica, and which one reported the leave and when.
func TestLogExplainsRequestToLeavingServer(t *testing.T) {
	r, log := newLoggedRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Idempotent})
	s := r.server("web", respond("ok"))
	r.serveWithID("complaint", "/x")
	for range 2 * maxServerLines { // other servers change in the same second
		r.server("web", respond("ok"))
	}
	rec, known := r.directory.Lookup("s1", r.now())
	require.True(t, known)
	require.Equal(t, s.Listener.Addr().String(), rec.Address)
	rec.State = instance.StateLeaving
	r.directory.Merge(directory.Origin{Replica: "c2", Incarnation: 1}, []directory.Server{rec}, nil, r.now())
	r.applyDirectory()
	chosen := log.lines(t, "complaint")[0]
	require.Equal(t, event.RouteChosen.String(), chosen["msg"])
	require.Contains(t, chosen, "servingFrom")
	require.Contains(t, chosen, "servingFor")
	leaving := log.withAttr(t, event.ServerLeaving, "server", "s1")
	require.Equal(t, "c2", leaving["from"])
	require.Equal(t, "complaint", leaving["lastRequest"])
	require.Contains(t, leaving, "lastSentAgo")
	require.Contains(t, leaving, "since")
}

// A caller got an error and does not know whether its request ran. The log must show that it
// was sent once, to which server, and the step that failed.
func TestLogExplainsUnknownOutcome(t *testing.T) {
	r, log := newLoggedRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	s := r.server("web", abort)
	r.serveWithID("complaint", "/x")
	lines := log.lines(t, "complaint")
	ended := lines[len(lines)-1]
	require.Equal(t, "broken", ended["outcome"])
	require.InDelta(t, 1, ended["runs"], 0)
	require.Contains(t, ended["detail"], "step=read head peer="+s.Listener.Addr().String())
	require.Contains(t, ended["detail"], "may have run")
}
