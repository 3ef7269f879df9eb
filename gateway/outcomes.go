package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/event"
)

// outcomes counts how requests end, and how long they took.
type outcomes struct {
	set *metrics.Set
}

func (o outcomes) count(j *job, refusal *Refusal) {
	outcome := "answered"
	if refusal != nil {
		outcome = refusal.Reason.String()
	}
	kind := "none"
	if j.route != nil {
		kind = j.route.Kind.String()
	}
	o.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	if refusal == nil {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`savoryreel_answer_seconds{kind=%q}`, kind)).Update(j.age(j.gateway.now()).Seconds())
	}
}

func (o outcomes) firstByte(j *job, now time.Time) {
	o.set.GetOrCreateHistogram(fmt.Sprintf(`savoryreel_first_byte_seconds{kind=%q}`, j.route.Kind)).Update(j.age(now).Seconds())
}

// logChoice writes which server a request goes to, and why.
func (j *job) logChoice(c *choice) {
	log := j.gateway.log
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	v := &c.verdict
	event.Log(context.Background(), log, slog.LevelDebug, event.RouteChosen, slog.String("request", j.ID),
		slog.String("service", j.service.name), slog.String("server", v.Server), slog.String("address", v.Address),
		slog.String("reason", v.Reason.String()), slog.Duration("score", v.Score), slog.Int("cached", v.CachedTokens),
		slog.Int("load", v.Load), slog.Int("send", j.sends+1))
}

// logEnd writes how a request ended: each refusal and failure, and answers where
// the log's level asks for them.
func (j *job) logEnd(refusal *Refusal) {
	g := j.gateway
	level, kind := slog.LevelDebug, event.RequestEnded
	attrs := []slog.Attr{
		slog.String("request", j.ID), slog.String("workspace", j.workspaceName()), slog.String("path", j.Path),
		slog.String("server", j.lastSent), slog.Int("sends", j.sends), slog.Int("runs", j.runs),
		slog.Duration("took", j.age(g.now())),
	}
	if j.route != nil {
		attrs = append(attrs, slog.String("route", j.route.Name))
	}
	if t := g.table.Load(); t != nil {
		attrs = append(attrs, slog.Uint64("revision", t.Catalogue().Revision))
	}
	if refusal != nil {
		level = slog.LevelInfo
		if refusal.Reason.NotRun() {
			kind = event.RequestRefused
		}
		attrs = append(attrs, slog.String("outcome", refusal.Reason.String()), slog.String("detail", refusal.Detail),
			slog.Duration("retryAfter", refusal.RetryAfter))
	} else {
		attrs = append(attrs, slog.String("outcome", "answered"))
	}
	event.Log(context.Background(), g.log, level, kind, attrs...)
}
