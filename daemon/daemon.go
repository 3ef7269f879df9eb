// Package daemon provides what the long-running processes have in common: listeners,
// signal handling, and the operations handler with health, metrics and profiles.
// Servers and signal handlers run as actors of an oklog/run group.
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
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
)

// Serve adds an HTTP server on l to the group. When the group ends, the server is drained
// for at most grace and closed.
func Serve(g *run.Group, l net.Listener, h http.Handler, gate *intake.Gate, grace time.Duration, log *slog.Logger) {
	ServeIdle(g, l, h, gate, grace, DefaultIdleTimeout, log)
}

// ServeIdle is Serve with a time after which a connection without a request is closed.
func ServeIdle(g *run.Group, l net.Listener, h http.Handler, gate *intake.Gate, grace, idle time.Duration, log *slog.Logger) {
	limits := DefaultHTTPLimits()
	limits.IdleTimeout = idle
	NewHTTPServer(h, gate, log).AddTo(g, l, limits, grace)
}

// Actor adds fn to the group and cancels fn's context when the group ends. The error of
// that cancellation does not become the group's error.
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

// Every calls fn once per period, first after one period, until ctx ends. It returns the
// error of ctx.
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

// Signals adds an actor that calls drain at SIGTERM or SIGINT and ends the group when
// drain returns. A second signal ends the process at once with ExitSecondSignal.
func Signals(g *run.Group, drain func(ctx context.Context), log *slog.Logger) {
	// Catches SIGHUP, which by default ends the process. WatchFile has its own channel for
	// it; a daemon that is configured by flags has nothing to reload.
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
	ExitFailed       = 1 // a component failed; the log names it
	ExitUsage        = 2 // invalid settings or arguments
	ExitSecondSignal = 3 // a second signal interrupted the drain
)

// OperationsFraction is the fraction of a process's connections and requests in progress that the operations listener
// has.
const OperationsFraction = 0.05

// ServeOperations adds the operations server on l, of which h is the handler, to the group.
func ServeOperations(g *run.Group, l net.Listener, h http.Handler, clients *intake.Intake, log *slog.Logger) {
	Serve(g, l, h, clients.Gate("operations", OperationsFraction), LocalGrace, log)
}

// Operations returns the handler of the operations listener: /healthz, /readyz,
// /metrics and /debug/pprof. Serve it only on an address that is restricted to operators.
// ready returns nil if the process is ready, and otherwise an error with the reason.
func Operations(set *metrics.Set, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", Health)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // an error means that the client has disconnected
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

// Health is the handler of /healthz. It always responds with status 200.
func Health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n")) // an error means that the client has disconnected
}

// Graces for Serve. A process stops its servers one after the other, within the grace of its
// own stop.
const (
	// CloseGrace is for requests that other processes take part in.
	CloseGrace = 2 * time.Second
	// LocalGrace is for requests that are answered from memory.
	LocalGrace = 300 * time.Millisecond
)
