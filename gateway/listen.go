package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"savoryreel.example/savoryreel/daemon"
)

// Bounds on requests of callers if the catalogue has none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultHeaderBytes   = 64 << 10
)

// catalogueCheckInterval is how often ServeCallers checks for the first catalogue.
const catalogueCheckInterval = 20 * time.Millisecond

// ServeCallers adds the HTTP server for callers to the group. It returns a function that
// stops accepting connections while requests in progress continue.
//
// Connections wait in the listener's queue until the first catalogue has arrived, since it
// contains the bounds on requests.
func (g *Gateway) ServeCallers(group *run.Group, l net.Listener, h http.Handler) (stopAccepting func()) {
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug)}
	daemon.Actor(group, func(ctx context.Context) error {
		defer srv.Close()
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := g.awaitCatalogue(ctx); err != nil {
			return errors.Join(err, l.Close())
		}
		limits := g.Limits()
		srv.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
		srv.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
		srv.MaxHeaderBytes = orDefault(limits.MaxHeaderBytes, defaultHeaderBytes)
		err := srv.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // requests in progress continue
			return nil
		}
		return err
	})
	return func() { go func() { _ = srv.Shutdown(context.Background()) }() } // Shutdown waits for all requests; Leave counts them itself
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
