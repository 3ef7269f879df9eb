package daemon

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// AcceptRate bounds how fast a listener accepts connections.
type AcceptRate struct {
	PerSecond float64
	Burst     int // connections accepted at once after a pause
	// Backlog bounds the connections that wait to be accepted. It should not exceed what
	// PerSecond accepts within the time that callers wait: an older one would be accepted only
	// after its caller has given up.
	Backlog int
}

// Paced returns l with a bounded rate of new connections.
//
// A caller whose call is late connects elsewhere, and a new connection costs several times as
// much as a call on an open one. When thousands of callers lose their connections at once,
// accepting all of them makes every call late, so that none keeps its connection and the
// processes stay overloaded. At a bounded rate each connection that is accepted is served in
// time and stays.
func Paced(l *net.TCPListener, r AcceptRate) (net.Listener, error) {
	if err := setBacklog(l, r.Backlog); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &pacedListener{TCPListener: l, limiter: rate.NewLimiter(rate.Limit(r.PerSecond), r.Burst), ctx: ctx, cancel: cancel}, nil
}

type pacedListener struct {
	*net.TCPListener
	limiter *rate.Limiter
	ctx     context.Context // ends when the listener is closed
	cancel  context.CancelFunc
}

// Accept waits until a connection is due, and then for the connection.
func (p *pacedListener) Accept() (net.Conn, error) {
	if err := p.limiter.Wait(p.ctx); err != nil {
		return nil, net.ErrClosed
	}
	return p.TCPListener.Accept()
}

// Close closes the listener and ends a waiting Accept.
func (p *pacedListener) Close() error {
	p.cancel()
	return p.TCPListener.Close()
}
