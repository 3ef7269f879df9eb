package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Why a watch ended an attempt.
var (
	// errSilent: the server answers neither on the stream nor on a new connection.
	errUnreachable = errors.New("stream silent, server answers no probe")
	// errStalled: the server is alive, but its stream brings nothing.
	errStalled = errors.New("stream stalled, server answers probes")
)

// watch tells a silent stream from a slow one. A server that died without a
// word, or a connection that something between the ends has lost track of,
// leaves a stream that is open and brings nothing, for good; the caller would
// wait for its whole deadline. A probe on a new connection tells the first
// from a slow server at once; the second shows only by time.
type streamWatch struct {
	runner       *runner
	address      string
	cancel       context.CancelCauseFunc
	lastReceived atomic.Int64 // Unix nanoseconds when the stream last brought something
	received     atomic.Bool  // whether it has brought anything
}

func newStreamWatch(r *runner, address string, cancel context.CancelCauseFunc) *streamWatch {
	w := &streamWatch{runner: r, address: address, cancel: cancel}
	w.lastReceived.Store(r.now().UnixNano())
	return w
}

// heard notes that the stream has brought something.
func (w *streamWatch) observe() {
	w.lastReceived.Store(w.runner.now().UnixNano())
	w.received.Store(true)
}

// run looks after the stream until ctx ends.
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

// judge returns why the attempt should end, or nil.
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

func (w *streamWatch) maxIdle() time.Duration {
	if w.received.Load() {
		return streamIdleTimeout
	}
	return firstTokenTimeout
}
