package daemon

import (
	"net"
	"sync"
	"time"
)

// Bounds on a listener that stops.
const (
	// queueWait is how long it waits for a connection of its queue.
	queueWait = 10 * time.Millisecond
	// maxQueueTime ends the queue of a listener to which callers go on to connect.
	maxQueueTime = 100 * time.Millisecond
)

// connListener adds the connections that it accepts to a connSet. When it stops, it first
// accepts those that wait in its queue: their callers are connected already, and closing the
// listener would reset them.
type connListener struct {
	net.Listener
	conns *connSet

	mu       sync.Mutex
	stopping bool
	acceptBy time.Time // end of accepting; zero until the first wait after stop
}

// Accept returns net.ErrClosed once the listener has stopped.
func (l *connListener) Accept() (net.Conn, error) {
	stopping := l.prepare()
	nc, err := l.Listener.Accept()
	if err != nil && !stopping && l.prepare() {
		nc, err = l.Listener.Accept() // stop ended the first wait
		stopping = true
	}
	switch {
	case err == nil:
		return l.conns.add(nc), nil
	case stopping:
		return nil, net.ErrClosed
	default:
		return nil, err
	}
}

// prepare bounds the next wait for a connection if the listener stops, and reports that.
func (l *connListener) prepare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		return false
	}
	now := time.Now()
	if l.acceptBy.IsZero() {
		l.acceptBy = now.Add(maxQueueTime) // from here: a busy process may be late
	}
	deadline := now.Add(queueWait)
	if l.acceptBy.Before(deadline) {
		deadline = l.acceptBy
	}
	l.setDeadline(deadline)
	return true
}

// stop makes Accept end once the queue is empty.
func (l *connListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.setDeadline(time.Unix(1, 0))
}

// setDeadline sets the deadline of accepting; a listener that knows none is closed.
func (l *connListener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && d.SetDeadline(t) == nil {
		return
	}
	_ = l.Listener.Close() // it may be closed already
}
