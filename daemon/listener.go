package daemon

import (
	"net"
	"sync"
	"time"

	"savoryreel.example/savoryreel/intake"
)

// Bounds on a listener that stops.
const (
	// queueWait is how long it waits for a connection of its queue.
	queueWait = 10 * time.Millisecond
	// maxQueueTime ends the queue of a listener to which callers go on to connect.
	maxQueueTime = 40 * time.Millisecond
	// maxStalls bounds the waits that are repeated because the process was not scheduled.
	maxStalls = 3
)

// connListener adds the connections that it accepts to a connSet. When it stops, it first
// accepts those that wait in its queue: their callers are connected already, and closing the
// listener would reset them.
type connListener struct {
	net.Listener
	conns *connSet
	gate  *intake.Gate

	// Used by Accept only.
	acceptBy time.Time // end of accepting; zero until the first wait after stop
	stalls   int       // waits after stop during which the process was not scheduled

	stopped chan struct{} // closed once it stops

	mu       sync.Mutex
	stopping bool
}

func newConnListener(l net.Listener, conns *connSet, gate *intake.Gate) *connListener {
	return &connListener{Listener: l, conns: conns, gate: gate, stopped: make(chan struct{})}
}

// Accept returns net.ErrClosed once the listener has stopped.
//
// A connection for which there is no place waits for one, and the others behind it in the listener's queue.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		c := l.conns.add(nc)
		if c.client = l.gate.Open(c.cutOff, l.stopped); c.client != nil {
			return c, nil
		}
		l.conns.remove(c) // the listener has stopped, and all places are taken
		_ = nc.Close()
	}
}

func (l *connListener) acceptNext() (net.Conn, error) {
	if !l.isStopping() {
		nc, err := l.Listener.Accept()
		if err == nil || !l.isStopping() {
			return nc, err
		}
	}
	return l.acceptQueued()
}

// acceptQueued accepts a connection of the queue. A process that is not scheduled between the
// setting of the deadline and the wait tries again, since Accept then returns without checking
// the queue.
func (l *connListener) acceptQueued() (net.Conn, error) {
	for {
		deadline := l.nextDeadline()
		l.setDeadline(deadline)
		nc, err := l.Listener.Accept()
		if err == nil {
			return nc, nil
		}
		if time.Since(deadline) < queueWait || l.stalls >= maxStalls {
			return nil, net.ErrClosed
		}
		l.stalls++
		l.acceptBy = time.Now().Add(queueWait)
	}
}

// nextDeadline returns the end of the next wait for a connection of the queue.
func (l *connListener) nextDeadline() time.Time {
	now := time.Now()
	if l.acceptBy.IsZero() {
		l.acceptBy = now.Add(maxQueueTime) // from here: a busy process may be late
	}
	deadline := now.Add(queueWait)
	if l.acceptBy.Before(deadline) {
		return l.acceptBy
	}
	return deadline
}

func (l *connListener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// stop makes Accept end once the queue is empty.
func (l *connListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping {
		close(l.stopped)
	}
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
