package gateway

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/routes"
)

// A workspace has passed its limit over all entries. The lines of each entry say what it
// let in, on whose word, and what it sent late or again.
func TestLogOfAWorkspaceOverItsLimit(t *testing.T) {
	log := &logBuffer{}
	now := time.Unix(0, 0)
	u := newLimitUses(slog.New(slog.NewJSONHandler(log, nil)), metrics.NewSet(), func() time.Time { return now })
	u.noteDecision("w", 40, &decision{ok: true, grounds: fromKeeper})
	u.write()
	require.Empty(t, log.buf.String(), "nobody was refused")

	u.noteDecision("w", 40, &decision{ok: true, grounds: fromKeeper})
	u.noteDecision("w", 7, &decision{ok: true, grounds: fromHere})
	u.noteDecision("w", 5, &decision{grounds: fromHere})
	u.noteSent("w", 40, false, 2*time.Second)
	u.noteSent("w", 40, true, time.Second)
	u.write()
	line := log.buf.String()
	for _, part := range []string{
		`"workspace":"w"`, `"sent":40`, `"sentAgain":40`, `"oldest":2000000000`, `"refused":1`,
		`"letIn by the pool's keeper":40`, `"letIn from pools kept here":7`,
	} {
		require.Contains(t, line, part)
	}

	now = now.Add(useLinesFor + time.Second)
	u.write()
	require.Equal(t, 1, strings.Count(log.buf.String(), "\n"))
	require.Empty(t, u.uses)
}

// An entry stands still after it has let a request in. When it goes on, what it let in
// before is let in anew: sent beside what others let in now, it would pass the limit.
func TestRequestThatWasLetInLongAgo(t *testing.T) {
	r := newRig(t)
	r.use(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	server := r.server("web", say("ok"))
	c := *r.table.Load().Catalogue()
	c.Workspaces = []routes.Workspace{{Name: "w", Keys: []string{"k"}, PerSecond: 0.1, Burst: 1}}
	r.limits.setWorkspaces(c.Workspaces)
	r.table.Store(routes.NewTable(&c))
	r.haveWholeLimits()
	j := &job{Request: &Request{ID: "1", Key: "k", Path: "/x", Host: "a.example"}, gateway: r.Gateway, began: r.now()}
	require.Nil(t, j.admit(t.Context()))
	require.Nil(t, j.renewLimit(t.Context()), "it was let in just now")

	for j.limited.ok { // the limit is used up
		require.Equal(t, j.limited.ok, j.takeLimit(t.Context()) == nil)
	}
	r.skip.Add(int64(sendWithin + time.Millisecond))
	refusal := j.renewLimit(t.Context())
	require.NotNil(t, refusal)
	require.Equal(t, OverLimit, refusal.Reason)
	j.sends = 1
	require.Nil(t, j.renewLimit(t.Context()), "it was sent in time")
	require.Zero(t, server.count())
}
