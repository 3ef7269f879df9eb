package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"savoryreel.example/savoryreel/coordinator/follow"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/rollout"
)

const (
	// judgeInterval is the interval at which the leader judges the rollouts in progress.
	judgeInterval = 250 * time.Millisecond
	// evidenceDelay is how long after its start a replica may lack reports of entries, which call each
	// replica at least once in follow.DefaultWait, and heartbeats of servers.
	evidenceDelay = 2 * follow.DefaultWait
)

// judgeRollouts judges the rollouts in progress until ctx ends. Every replica observes their samples, so
// that a new leader has those of the last seconds.
func (c *Coordinator) judgeRollouts(ctx context.Context) error {
	observed := make(rolloutHistories)
	return daemon.Every(ctx, judgeInterval, func() {
		m := c.group.current.Load()
		if m == nil {
			return
		}
		for _, r := range m.state.lastRollouts() {
			in := c.rolloutInput(&r)
			c.updateRolloutMetrics(&r, &in)
			if r.Phase.Ended() {
				delete(observed, r.Service)
				continue
			}
			in.Earlier = observed.observe(&r, &in)
			if m.leading() {
				c.judgeRollout(ctx, m, &r, &in)
			}
		}
	})
}

// rolloutHistories holds the recent samples of the rollout in progress of each service.
type rolloutHistories map[string]*rolloutHistory

type rolloutHistory struct {
	id uint64 // of the rollout
	rollout.History
}

// observe records the samples of a rollout and returns earlier ones.
func (h rolloutHistories) observe(r *rolloutRecord, in *rollout.Input) []rollout.RouteSample {
	if known := h[r.Service]; known == nil || known.id != r.ID {
		h[r.Service] = &rolloutHistory{id: r.ID}
	}
	return h[r.Service].Observe(in.Elapsed, in.Routes)
}

// judgeRollout commits the next phase of a rollout if its answers or the time call for one.
func (c *Coordinator) judgeRollout(ctx context.Context, m *member, r *rolloutRecord, in *rollout.Input) {
	verdict := rollout.Judge(*in)
	if verdict.Phase == in.Phase || !c.mayDecide(verdict.Reason) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	command := setPhaseCommand{
		Service: r.Service, ID: r.ID, From: r.Phase, Phase: verdict.Phase, At: c.clock.Now(), Reason: verdict.Reason, Route: verdict.Route,
	}
	set, err := proposeResult[bool](ctx, m, kindSetPhase, command)
	if err != nil {
		c.log.DebugContext(ctx, "phase of a rollout not committed", "service", r.Service, "error", err) // judged again
		return
	}
	if set {
		c.logPhase(ctx, r, in, verdict)
	}
}

// mayDecide reports whether this replica may decide for a reason. One that has just started may lack
// reports and servers, so it decides by faults alone: what it lacks cannot undo them.
func (c *Coordinator) mayDecide(reason rollout.Reason) bool {
	return reason == rollout.ReasonFailures || reason == rollout.ReasonSlow || c.now().Sub(c.startedAt) >= evidenceDelay
}

// rolloutInput returns what this replica knows of a rollout.
func (c *Coordinator) rolloutInput(r *rolloutRecord) rollout.Input {
	now := c.clock.Now()
	in := rollout.Input{
		// The clock of another leader may have been ahead.
		Phase: r.Phase, Elapsed: max(now.Sub(r.Ordered), 0), Duration: r.Duration, InPhase: max(now.Sub(r.PhaseAt), 0),
		Routes: c.evidence.sum(r.Service, r.ID), Limits: c.cfg.Node.Bounds.Rollout,
	}
	view := r.view()
	c.directory.EachServer(c.now(), func(rec *directory.Server) {
		switch {
		case rec.State != instance.StateServing || rec.Unreachable || !slices.Contains(rec.Services, r.Service):
		case rec.Version == r.To:
			in.CandidateServers++
		case !view.Excludes(rec.Version):
			in.StableServers++
		}
	})
	return in
}

// rolloutTotals returns the samples of all routes.
func rolloutTotals(routes []rollout.RouteSample) (stable, candidate rollout.Sample) {
	for i := range routes {
		stable.Add(&routes[i].Stable)
		candidate.Add(&routes[i].Candidate)
	}
	return stable, candidate
}

func (c *Coordinator) logPhase(ctx context.Context, r *rolloutRecord, in *rollout.Input, v rollout.Verdict) {
	stable, candidate := rolloutTotals(in.Routes)
	event.Log(ctx, c.log, slog.LevelInfo, event.RolloutPhaseChanged, slog.Uint64("rollout", r.ID), slog.String("service", r.Service),
		slog.String("to", r.To), slog.String("before", in.Phase.String()), slog.String("phase", v.Phase.String()),
		slog.String("reason", v.Reason.String()), slog.String("route", v.Route), slog.Duration("elapsed", in.Elapsed), slog.Duration("duration", in.Duration),
		slog.Group("stable", slog.Int("servers", in.StableServers), slog.Uint64("requests", stable.Ended), slog.Uint64("bad", stable.Bad)),
		slog.Group("candidate", slog.Int("servers", in.CandidateServers), slog.Uint64("requests", candidate.Ended), slog.Uint64("bad", candidate.Bad)))
}

// updateRolloutMetrics sets the metrics of a service's last rollout. The counts are those of the rollout
// in progress.
func (c *Coordinator) updateRolloutMetrics(r *rolloutRecord, in *rollout.Input) {
	set := func(name, labels string, value float64) {
		c.metrics.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q%s}`, name, r.Service, labels), nil).Set(value)
	}
	set("savoryreel_rollout_phase", "", float64(r.Phase))
	if r.Phase.Ended() {
		return // the reports are dropped, the last counts stay
	}
	stable, candidate := rolloutTotals(in.Routes)
	for group, sample := range map[string]rollout.Sample{"stable": stable, "candidate": candidate} {
		set("savoryreel_rollout_requests", fmt.Sprintf(`,group=%q`, group), float64(sample.Ended))
		set("savoryreel_rollout_bad_answers", fmt.Sprintf(`,group=%q`, group), float64(sample.Bad))
	}
}
