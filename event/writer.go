package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for the reader of the log: a second of
	// a busy process's.
	maxQueuedLines = 4096
	// flushTimeout bounds how long the end of a process waits for its last lines.
	flushTimeout = 200 * time.Millisecond
)

// Writer writes log lines from a goroutine of its own. A reader of the log that
// stalls would otherwise hold up every request at its next line. When the queue is
// full, lines are dropped; their number is written as soon as there is room again.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer to out. Close it to write what waits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped and not been told of yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.out.Write(line) // there is nobody to tell that the log is gone
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, `{"level":"WARN","msg":%q,"event":%d,"lines":%d}`+"\n", LinesDropped, LinesDropped, n)
		}
	}
}

// Close writes what waits, as far as the reader takes it within flushTimeout.
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
