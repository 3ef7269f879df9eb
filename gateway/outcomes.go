package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/event"
)

// outcomes counts the outcomes and durations of requests.
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

// logChoice logs the chosen server with what the choice was based on, including the age of
// the report on its load.
func (j *job) logChoice(c *choice) {
	v := &c.verdict
	j.gateway.sampler.Log(context.Background(), event.RouteChosen, slog.String("request", j.ID),
		slog.String("service", j.service.name), slog.String("server", v.Server), slog.String("address", v.Address),
		slog.String("version", v.Version), slog.Uint64("incarnation", v.Incarnation), slog.String("after", j.lastEventID), slog.String("resumes", j.Resumes),
		slog.String("reason", v.Reason.String()), slog.Duration("score", v.Score), slog.Int("cached", v.CachedTokens),
		slog.Int("prompt", j.PromptTokens), slog.Int("load", v.Load), slog.Int("slots", v.Slots), slog.Bool("roomElsewhere", c.misplaced), slog.Int("ahead", v.QueuedTokens), slog.Duration("loadAge", c.loadAge),
		slog.Int("rank", c.rank), slog.String("urgency", c.urgency.String()),
		slog.Int("runnersUp", len(v.RunnersUp())), slog.Int("send", j.sends+1),
		slog.String("servingFrom", c.stateFrom), slog.Duration("servingFor", j.gateway.now().Sub(c.stateAt)))
}

// logEnd logs a request's outcome.
func (j *job) logEnd(refusal *Refusal) {
	g := j.gateway
	attrs := []slog.Attr{
		slog.String("request", j.ID), slog.String("workspace", j.workspaceName()), slog.String("path", j.Path),
		slog.String("server", j.lastServer), slog.Int("sends", j.sends), slog.Int("runs", j.runs),
		slog.Duration("took", j.age(g.now())), slog.Duration("firstByte", j.firstByte),
		slog.Bool("cameBack", j.objectivePassed), slog.Float64("cost", j.cost),
	}
	if j.ResumeAfter != "" {
		attrs = append(attrs, slog.String("after", j.ResumeAfter), slog.String("resumes", j.Resumes))
	}
	if j.route != nil {
		attrs = append(attrs, slog.String("route", j.route.Name), slog.Duration("objective", j.route.Objective))
	}
	if t := g.table.Load(); t != nil {
		attrs = append(attrs, slog.Uint64("revision", t.Catalogue().Revision))
	}
	if refusal == nil {
		g.sampler.Log(context.Background(), event.RequestEnded, append(attrs, slog.String("outcome", "answered"), slog.Int("status", j.status))...)
		return
	}
	kind := event.RequestEnded
	if refusal.Reason.NotRun() {
		kind = event.RequestRefused
	}
	attrs = append(attrs, slog.String("outcome", refusal.Reason.String()), slog.String("detail", refusal.Detail),
		slog.Duration("retryAfter", refusal.RetryAfter))
	event.Log(context.Background(), g.log, slog.LevelInfo, kind, attrs...)
}
