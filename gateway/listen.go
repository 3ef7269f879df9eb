package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/intake"
)

// Bounds on requests of callers if the catalogue has none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultHeaderBytes   = 64 << 10
)

// catalogueCheckInterval is how often ServeCallers checks for the first catalogue.
const catalogueCheckInterval = 20 * time.Millisecond

// ServeCallers adds the HTTP server for callers to the group and returns it. gate bounds what it holds for them.
//
// Connections wait in the listener's queue until the first catalogue has arrived, since it
// contains the bounds on requests.
func (g *Gateway) ServeCallers(group *run.Group, l net.Listener, h http.Handler, gate *intake.Gate) *daemon.HTTPServer {
	srv := daemon.NewHTTPServer(h, gate, g.log)
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if g.awaitCatalogue(ctx) != nil {
			return l.Close()
		}
		return srv.Serve(l, g.httpLimits())
	}, func(error) {
		srv.Stop(daemon.CloseGrace)
		cancel()
	})
	return srv
}

// httpLimits returns the catalogue's bounds on requests.
func (g *Gateway) httpLimits() daemon.HTTPLimits {
	limits := g.Limits()
	return daemon.HTTPLimits{
		HeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   orDefault(limits.IdleTimeout, defaultIdleTimeout),
		HeaderBytes:   orDefault(limits.MaxHeaderBytes, defaultHeaderBytes),
	}
}

func (g *Gateway) awaitCatalogue(ctx context.Context) error {
	tick := time.NewTicker(catalogueCheckInterval)
	defer tick.Stop()
	for g.table.Load() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

func orDefault[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}
