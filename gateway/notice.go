package gateway

import (
	"context"
	"log/slog"

	"savoryreel.example/savoryreel/backend"
	"savoryreel.example/savoryreel/event"
)

// recordNotice records what an answer says about the server that gave it.
func (j *job) recordNotice(ctx context.Context, c *choice, answer *backend.Answer) {
	n := j.gateway.deps.Dialect.Notice(answer.Status, answer.Header)
	server := slog.String("server", c.verdict.Server)
	if n.Leaving {
		j.gateway.serverSampler.Log(ctx, event.ServerLeavingByAnswer, slog.String("request", j.ID), server)
	}
	if n.BackOff > 0 {
		j.gateway.serverSampler.Log(ctx, event.ServerBackOff, slog.String("request", j.ID), server, slog.Duration("for", n.BackOff))
	}
}
