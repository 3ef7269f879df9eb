package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Causes with which streamWatch ends an attempt.
var (
	// errUnreachable: the stream is idle and a probe on a new connection fails.
	errUnreachable = errors.New("stream silent, server answers no probe")
	// errStalled: the server answers probes, but its stream is idle for too long.
	errStalled = errors.New("stream stalled, server answers probes")
)

// streamWatch ends an attempt whose stream is broken. A server that ended without closing its
// connections, or a middlebox that dropped a connection, leaves the stream open but idle, and
// the caller would wait until its deadline. In the first case, a probe on a new connection
// fails. In the second, the probe succeeds as it does for a slow server, so the attempt ends
// after maxIdle.
type streamWatch struct {
	runner       *runner
	address      string
	cancel       context.CancelCauseFunc
	lastReceived atomic.Int64 // Unix nanoseconds when a chunk was last received, or the attempt began
	received     atomic.Bool  // whether a chunk has been received
}

func newStreamWatch(r *runner, address string, cancel context.CancelCauseFunc) *streamWatch {
	w := &streamWatch{runner: r, address: address, cancel: cancel}
	w.lastReceived.Store(r.now().UnixNano())
	return w
}

// observe records that a chunk has been received.
func (w *streamWatch) observe() {
	w.lastReceived.Store(w.runner.now().UnixNano())
	w.received.Store(true)
}

// run checks the stream until ctx ends, and cancels the attempt with the cause if the stream
// is broken.
func (w *streamWatch) run(ctx context.Context) {
	tick := time.NewTicker(probeAfterIdle / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := w.check(ctx); err != nil {
			w.cancel(err)
			return
		}
	}
}

// check returns the cause with which the attempt should end, or nil.
func (w *streamWatch) check(ctx context.Context) error {
	idle := w.idle()
	if idle < probeAfterIdle {
		return nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.runner.engines.Probe(probeCtx, w.address) != nil && w.idle() >= probeAfterIdle {
		return errUnreachable
	}
	if w.idle() > w.maxIdle() {
		return errStalled
	}
	return nil
}

func (w *streamWatch) idle() time.Duration {
	return time.Duration(w.runner.now().UnixNano() - w.lastReceived.Load())
}

// maxIdle returns how long the stream may be idle while its server answers probes.
func (w *streamWatch) maxIdle() time.Duration {
	if w.received.Load() {
		return streamIdleTimeout
	}
	return firstTokenTimeout
}
