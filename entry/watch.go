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
	errSilent = errors.New("stream silent, server answers no probe")
	// errStalled: the server is alive, but its stream brings nothing.
	errStalled = errors.New("stream stalled, server answers probes")
)

// watch tells a silent stream from a slow one. A server that died without a
// word, or a connection that something between the ends has lost track of,
// leaves a stream that is open and brings nothing, for good; the caller would
// wait for its whole deadline. A probe on a new connection tells the first
// from a slow server at once; the second shows only by time.
type watch struct {
	runner  *runner
	address string
	cancel  context.CancelCauseFunc
	last    atomic.Int64 // Unix nanoseconds when the stream last brought something
	begun   atomic.Bool  // whether it has brought anything
}

func newWatch(r *runner, address string, cancel context.CancelCauseFunc) *watch {
	w := &watch{runner: r, address: address, cancel: cancel}
	w.last.Store(r.now().UnixNano())
	return w
}

// heard notes that the stream has brought something.
func (w *watch) heard() {
	w.last.Store(w.runner.now().UnixNano())
	w.begun.Store(true)
}

// run looks after the stream until ctx ends.
func (w *watch) run(ctx context.Context) {
	tick := time.NewTicker(streamSilence / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := w.judge(ctx); err != nil {
			w.cancel(err)
			return
		}
	}
}

// judge returns why the attempt should end, or nil.
func (w *watch) judge(ctx context.Context) error {
	quiet := w.quiet()
	if quiet < streamSilence {
		return nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.runner.engines.Probe(probeCtx, w.address) != nil && w.quiet() >= streamSilence {
		return errSilent
	}
	if w.quiet() > w.bound() {
		return errStalled
	}
	return nil
}

func (w *watch) quiet() time.Duration {
	return time.Duration(w.runner.now().UnixNano() - w.last.Load())
}

func (w *watch) bound() time.Duration {
	if w.begun.Load() {
		return streamStalled
	}
	return firstTokenStalled
}
