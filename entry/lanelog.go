package entry

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// slowHealthWeight is the health weight below which a server is logged as slow. The weight
// excludes the slow start of a new server.
const slowHealthWeight = 0.5

// logSlow logs each server that becomes slow or ceases to be.
func (l *lane) logSlow() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.serving {
		slow := l.router.HealthWeight(id) < slowHealthWeight
		if slow == l.loggedSlow[id] {
			continue
		}
		l.loggedSlow[id] = slow
		event.Log(context.Background(), l.log, slog.LevelWarn, event.ServerSlow,
			slog.String("server", id), slog.Bool("slow", slow), slog.Float64("share", l.router.Weight(id, now)))
	}
}

// logRoute logs a routing decision with its runners-up.
func (l *lane) logRoute(r *request.Request, v *route.Verdict, waited time.Duration) {
	ctx := context.Background()
	if !l.log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	others := make([]string, 0, len(v.RunnersUp()))
	for _, c := range v.RunnersUp() {
		others = append(others, c.Server+":"+strconv.FormatInt(c.Score.Milliseconds(), 10)+"ms")
	}
	event.Log(ctx, l.log, slog.LevelInfo, event.RouteChosen,
		slog.String("request", string(r.ID)), slog.String("workspace", r.Workspace),
		slog.String("service", r.Service), slog.String("class", string(r.Class)),
		slog.String("server", v.Server), slog.String("reason", v.Reason.String()),
		slog.Duration("score", v.Score), slog.Int("load", v.Load), slog.Int("cachedTokens", v.CachedTokens),
		slog.Duration("waited", waited), slog.Any("runnersUp", others))
}
