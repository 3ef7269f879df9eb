// Package daemon holds what the system's long-running processes have in common:
// listeners, signals, and the operations listener with health, metrics and
// profiles. Each is an actor of an oklog/run group.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/event"
)

// Limits of every HTTP listener. A client that sends its head byte by byte, or
// none at all, would otherwise hold a connection for good.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	closeTimeout   = 2 * time.Second
)

// Serve adds an HTTP server on l to the group. When the group ends, it stops
// listening at once, lets answers in flight end for up to grace, then closes
// their connections.
func Serve(g *run.Group, l net.Listener, h http.Handler, grace time.Duration, log *slog.Logger) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g.Add(func() error {
		err := srv.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return trace.Wrap(err, "step=serve address=%s", l.Addr())
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			_ = srv.Close() // the grace is over; what is left is cut
		}
	})
}

// Actor adds a function that runs until its context ends.
func Actor(g *run.Group, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		err := fn(ctx)
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { cancel() })
}

// Every calls fn once a period until ctx ends, and returns ctx's error.
func Every(ctx context.Context, period time.Duration, fn func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		fn()
	}
}

// Signals adds an actor that ends the group at SIGTERM or SIGINT, once drain
// has returned. A second signal ends the process at once.
func Signals(g *run.Group, drain func(ctx context.Context), log *slog.Logger) {
	// SIGHUP ends a process that doesn't ask for it. What is read again then is the
	// matter of WatchFile; a daemon whose settings are flags has nothing to read.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	Actor(g, func(ctx context.Context) error {
		signals := make(chan os.Signal, 2)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals:
			event.Log(ctx, log, slog.LevelInfo, event.ProcessStopping, slog.String("signal", s.String()))
		}
		drainCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-signals:
				os.Exit(ExitSecondSignal)
			case <-drainCtx.Done():
			}
		}()
		drain(drainCtx)
		return nil
	})
}

// Exit codes of the daemons.
const (
	ExitOK           = 0
	ExitFailed       = 1 // a component failed; the log says which
	ExitUsage        = 2 // settings or arguments refused
	ExitSecondSignal = 3 // a second signal cut the drain short
)

// Operations returns the handler of the operations listener: /healthz, /readyz,
// /metrics and /debug/pprof. It belongs on an address that only operators
// reach. ready returns why the process is not ready, or nil.
func Operations(set *metrics.Set, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", Health)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // the prober is gone: nobody to tell
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// Health answers that the process runs.
func Health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n")) // the prober is gone: nobody to tell
}

// Listen opens a TCP listener and logs its address.
func Listen(ctx context.Context, log *slog.Logger, purpose, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "step=listen purpose=%s address=%s", purpose, address)
	}
	event.Log(ctx, log, slog.LevelInfo, event.ListenerOpen, slog.String("purpose", purpose), slog.String("address", l.Addr().String()))
	return l, nil
}

// CloseGrace is how long answers of the operators' listeners may take to end.
const CloseGrace = closeTimeout
