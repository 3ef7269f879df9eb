package gateway

import (
	"context"
	"log/slog"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/routes"
)

// adopt puts a catalogue in force if its revision is higher than the current one. It never
// returns to a lower revision, which would make revoked keys valid again.
func (g *Gateway) adopt(revision uint64, document []byte, replica string) {
	if document == nil {
		return
	}
	g.adoptMu.Lock()
	defer g.adoptMu.Unlock()
	if t := g.table.Load(); t != nil && revision <= t.Catalogue().Revision {
		return
	}
	catalogue, err := g.deps.Decode(document)
	if err != nil {
		event.Log(context.Background(), g.log, slog.LevelError, event.RevisionRefused,
			slog.Uint64("revision", revision), slog.String("peer", replica), slog.String("error", err.Error()))
		return
	}
	g.limits.setWorkspaces(catalogue.Workspaces)
	g.retainRoutes(catalogue)
	g.applyContention(catalogue)
	g.table.Store(routes.NewTable(catalogue))
	event.Log(context.Background(), g.log, slog.LevelInfo, event.RevisionTaken,
		slog.Uint64("revision", revision), slog.String("peer", replica), slog.Int("routes", len(catalogue.Routes)),
		slog.Int("workspaces", len(catalogue.Workspaces)))
}

// Limits returns the bounds on requests of callers in the current catalogue; zero before the
// first catalogue.
func (g *Gateway) Limits() routes.Limits {
	if t := g.table.Load(); t != nil {
		return t.Catalogue().Limits
	}
	return routes.Limits{}
}

// retainRoutes drops the estimated waits of routes that are not in the catalogue.
func (g *Gateway) retainRoutes(c *routes.Catalogue) {
	names := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		names[c.Routes[i].Name] = true
	}
	g.callerWaitsMu.Lock()
	defer g.callerWaitsMu.Unlock()
	g.callerWaits.Retain(names)
}
