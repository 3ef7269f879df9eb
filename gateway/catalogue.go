package gateway

import (
	"context"
	"log/slog"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/routes"
)

// adopt puts a catalogue in force here if its revision is higher than the one in
// force. A process never goes back: callers would see a key that was taken away
// work again.
func (g *Gateway) adopt(revision uint64, document []byte, from string) {
	if document == nil {
		return
	}
	g.adopting.Lock()
	defer g.adopting.Unlock()
	if t := g.table.Load(); t != nil && revision <= t.Catalogue().Revision {
		return
	}
	catalogue, err := g.deps.Decode(document)
	if err != nil {
		event.Log(context.Background(), g.log, slog.LevelError, event.RevisionRefused,
			slog.Uint64("revision", revision), slog.String("peer", from), slog.String("error", err.Error()))
		return
	}
	g.limits.setWorkspaces(catalogue.Workspaces)
	g.keepRoutes(catalogue)
	g.table.Store(routes.NewTable(catalogue))
	event.Log(context.Background(), g.log, slog.LevelInfo, event.RevisionTaken,
		slog.Uint64("revision", revision), slog.String("peer", from), slog.Int("routes", len(catalogue.Routes)),
		slog.Int("workspaces", len(catalogue.Workspaces)))
}

// Limits returns what callers may send, as the catalogue in force has it; zero
// before the first one.
func (g *Gateway) Limits() routes.Limits {
	if t := g.table.Load(); t != nil {
		return t.Catalogue().Limits
	}
	return routes.Limits{}
}

// keepRoutes forgets what was learnt of routes that a catalogue no longer has.
func (g *Gateway) keepRoutes(c *routes.Catalogue) {
	names := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		names[c.Routes[i].Name] = true
	}
	g.callersMu.Lock()
	defer g.callersMu.Unlock()
	g.callers.Retain(names)
}
