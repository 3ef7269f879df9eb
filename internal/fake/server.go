package fake

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/native"
)

// Limits of the stand-ins' HTTP servers.
const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxSmallBodyBytes = 1 << 20 // any JSON body except a chat
	maxChatBodyBytes  = 16 << 20
)

// Control paths of every stand-in, for tests.
const (
	PathFaults = "/fake/faults"
	PathStats  = "/fake/stats"
)

// Deps holds the dependencies of a stand-in.
type Deps struct {
	Log    *slog.Logger // nil: no logging
	Client *http.Client // for announcements and KV fetches; nil: a new client
}

func (d Deps) withDefaults() Deps {
	if d.Log == nil {
		d.Log = slog.New(slog.DiscardHandler)
	}
	if d.Client == nil {
		d.Client = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout}}
	}
	return d
}

// actor is a background task of a stand-in. It returns when ctx ends.
type actor func(ctx context.Context) error

// serve runs the HTTP server on ln and the actors until ctx ends (returns nil)
// or the stand-in crashes or is killed (returns the cause, wrapped). It then
// closes all connections immediately, as a process that exits does.
func serve(ctx context.Context, ln net.Listener, h http.Handler, faults *faultState, actors ...actor) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx }, // ctx unblocks the handlers of a frozen stand-in
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	var group run.Group
	group.Add(func() error { return server.Serve(ln) }, func(error) { server.Close() })
	group.Add(func() error { return waitForEnd(ctx, faults) }, func(error) { cancel() })
	for _, a := range actors {
		group.Add(func() error { return a(ctx) }, func(error) { cancel() })
	}
	err := group.Run()
	if cause := faults.endCause(); cause != nil {
		return trace.Wrap(cause)
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func waitForEnd(ctx context.Context, faults *faultState) error {
	select {
	case <-ctx.Done():
		return nil
	case <-faults.done:
		return faults.endCause()
	}
}

// abort closes the connection of the request being served, without an answer.
func abort() { panic(http.ErrAbortHandler) }

// refuse answers with a Problem and HeaderNotRun, which states that the request
// has not run. Retry-After is set if retryAfter is positive, in whole seconds
// rounded up.
func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, code, detail string) {
	w.Header().Set(native.HeaderNotRun, "1")
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set(native.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	writeJSON(w, status, native.Problem{Code: code, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // ignored: the client has disconnected
}

// readJSON decodes a body of up to limit bytes into v. It returns false after an
// error, which it has answered with 400.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, 0, "bad_request", err.Error())
		return false
	}
	return true
}

// faultHandler serves PathFaults: POST replaces the faults, GET returns them.
func faultHandler(state *faultState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var f Faults
			if !readJSON(w, r, maxSmallBodyBytes, &f) {
				return
			}
			state.set(f)
		}
		writeJSON(w, http.StatusOK, state.get())
	}
}
