package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
)

// Leaving reports whether Leave has been called.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready returns nil if this entry can serve callers, and otherwise the reason why not.
func (g *Gateway) Ready() error {
	switch {
	case g.leaving.Load():
		return trace.ConnectionProblem(nil, "leaving")
	case g.table.Load() == nil:
		return trace.ConnectionProblem(nil, "no catalogue is known yet")
	default:
		return nil
	}
}

const (
	// acceptFraction is the fraction of the stop grace in which a leaving entry still
	// accepts connections. Callers use its address for a while; requests that arrive later
	// might not end within the grace.
	acceptFraction = 0.35
	// stopMargin is the end of the grace reserved for the exit of the process.
	stopMargin = 400 * time.Millisecond
)

// lastReportTimeout bounds the last report of an entry that stops. It is below stopMargin.
const lastReportTimeout = 250 * time.Millisecond

// reportLastCounts reports to the control replicas what this entry has counted until its last request, which would be
// lost with the process: its usage, and the breaks that it has recorded.
func (g *Gateway) reportLastCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastReportTimeout)
	defer cancel()
	g.follower.Flush(ctx)
}

// Leave stops this entry gracefully. Its record is marked as leaving, so that callers stop
// using it; callers is drained after acceptFraction of the grace. Leave returns when the last
// request has been answered, also of those that it carries for other entries, or the grace is over.
func (g *Gateway) Leave(ctx context.Context, callers *daemon.HTTPServer) {
	start := g.now()
	g.leaving.Store(true)
	callers.CloseAfterAnswers()
	g.reach.Carrier.Leave()
	g.recordSequence.Add(1)
	g.follower.SendNow()
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainBegun, slog.Int64("inFlight", g.inFlight.Load()))
	grace := g.cfg.Node.Bounds.StopGrace
	daemon.Pause(ctx, time.Duration(float64(grace)*acceptFraction))
	drainCtx, cancel := context.WithTimeout(ctx, grace-stopMargin-g.now().Sub(start))
	defer cancel()
	callers.Drain(drainCtx)
	g.reach.Carrier.Drain(drainCtx)
	g.shares.giveUp(g.now())
	g.limits.updateShare()
	g.reportLastCounts(ctx)
	open, inRequest := callers.Connections()
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainDone, slog.Int64("unfinished", g.inFlight.Load()), slog.Int("connections", open), slog.Int("inRequest", inRequest))
}
