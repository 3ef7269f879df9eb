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

// A workspace has exceeded its limit over all entries. The log must show what each entry
// admitted, on which basis, and what it sent late or again.
func TestUsageLogOfWorkspaceOverItsLimit(t *testing.T) {
	log := &logBuffer{}
	now := time.Unix(0, 0)
	u := newLimitUsage(slog.New(slog.NewJSONHandler(log, nil)), metrics.NewSet(), func() time.Time { return now })
	u.recordDecision("w", 40, &decision{ok: true, source: fromOwner})
	u.logUsage()
	require.Empty(t, log.buf.String(), "nobody was refused")

	u.recordDecision("w", 40, &decision{ok: true, source: fromOwner})
	u.recordDecision("w", 7, &decision{ok: true, source: fromLocalPools})
	u.recordDecision("w", 5, &decision{source: fromLocalPools})
	u.recordSend("w", 40, false, 2*time.Second)
	u.recordSend("w", 40, true, time.Second)
	u.logUsage()
	line := log.buf.String()
	for _, attr := range []string{
		`"workspace":"w"`, `"sent":40`, `"sentAgain":40`, `"oldest":2000000000`, `"refused":1`,
		`"letIn by the pool's keeper":40`, `"letIn from pools kept here":7`,
	} {
		require.Contains(t, line, attr)
	}

	now = now.Add(usageLogWindow + time.Second)
	u.logUsage()
	require.Equal(t, 1, strings.Count(log.buf.String(), "\n"))
	require.Empty(t, u.workspaces)
}

// An entry is paused after it has admitted a request. If it sent the request without a new
// admission when it resumes, the workspace would exceed its limit.
func TestStaleAdmissionIsRenewed(t *testing.T) {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.NonIdempotent})
	server := r.server("web", respond("ok"))
	c := *r.table.Load().Catalogue()
	c.Workspaces = []routes.Workspace{{Name: "w", Keys: []string{"k"}, PerSecond: 0.1, Burst: 1}}
	r.limits.setWorkspaces(c.Workspaces)
	r.table.Store(routes.NewTable(&c))
	r.grantWholeLimits()
	j := &job{Request: &Request{ID: "1", Key: "k", Path: "/x", Host: "a.example"}, gateway: r.Gateway, startedAt: r.now()}
	require.Nil(t, j.admit(t.Context()))
	require.Nil(t, j.renewAdmission(t.Context()), "it was admitted just now")

	for j.limitDecision.ok { // until the limit is exhausted
		require.Equal(t, j.limitDecision.ok, j.admitWithinLimit(t.Context()) == nil)
	}
	r.clockOffset.Add(int64(maxAdmissionAge + time.Millisecond))
	refusal := j.renewAdmission(t.Context())
	require.NotNil(t, refusal)
	require.Equal(t, OverLimit, refusal.Reason)
	j.sends = 1
	require.Nil(t, j.renewAdmission(t.Context()), "it has been sent")
	require.Zero(t, server.count())
}
