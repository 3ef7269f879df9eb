package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of a Writer's queue: about one second of a busy
	// process's log lines.
	maxQueuedLines = 4096
	// flushTimeout is the longest time that Close waits for the queue to be written.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that queues log lines and writes them from its own goroutine, so
// that a blocked output does not block the requests that log. It drops lines while the queue
// is full, and writes their number after the next line as event LinesDropped.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine. Close it to write the queued
// lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never blocks and
// always returns a nil error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped and not reported in the log yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.out.Write(line) // a failure of the log's output cannot be reported anywhere
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":%q,"event":%d,"lines":%d}`+"\n", LinesDropped, LinesDropped, n)
		}
	}
}

// Close writes the queued lines, and returns after flushTimeout even if some are left. Lines
// written after Close are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() {
		deadline := time.After(flushTimeout)
		select {
		case w.lines <- nil:
		case <-deadline:
			return
		}
		select {
		case <-w.done:
		case <-deadline:
		}
	})
}
