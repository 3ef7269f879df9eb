package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
)

// Leaving reports whether this entry has begun to stop.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Ready returns why callers should not come here, or nil.
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
	// acceptPart is the part of the grace for a stop in which an entry that leaves
	// still takes callers. Their lists name it for a while, and what comes later
	// would not be done by the end of the grace.
	acceptPart = 0.35
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 400 * time.Millisecond
	// idleCheck is how often a leaving entry looks whether it has nothing left to do.
	idleCheck = 50 * time.Millisecond
)

// Leave ends this entry's service without cutting off a request: it is no longer
// named to callers, stops taking connections a little later by stopAccepting, and
// ends when the last request is done or the grace is over.
func (g *Gateway) Leave(ctx context.Context, stopAccepting func()) {
	start := g.now()
	g.leaving.Store(true)
	g.sequence.Add(1)
	g.follower.SendNow()
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainBegun, slog.Int64("inFlight", g.inFlight.Load()))
	grace := g.cfg.Node.Bounds.StopGrace
	daemon.Pause(ctx, time.Duration(float64(grace)*acceptPart))
	stopAccepting()
	for g.inFlight.Load() > 0 && g.now().Sub(start) < grace-stopMargin && ctx.Err() == nil {
		daemon.Pause(ctx, idleCheck)
	}
	event.Log(ctx, g.log, slog.LevelInfo, event.DrainDone, slog.Int64("unfinished", g.inFlight.Load()))
}
