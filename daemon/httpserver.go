package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// HTTPServer is an HTTP server that knows which of its connections have a request in
// progress.
type HTTPServer struct {
	http  http.Server
	conns *connSet
}

// HTTPLimits bounds the requests of an HTTPServer.
type HTTPLimits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // after which a connection without a request is closed
	HeaderBytes   int
}

// DefaultHTTPLimits returns the limits of listeners other than the callers'.
func DefaultHTTPLimits() HTTPLimits {
	return HTTPLimits{HeaderTimeout: headerTimeout, IdleTimeout: DefaultIdleTimeout, HeaderBytes: maxHeaderBytes}
}

// NewHTTPServer returns a server that does not listen yet.
func NewHTTPServer(h http.Handler, log *slog.Logger) *HTTPServer {
	s := &HTTPServer{conns: newConnSet()}
	s.http.Handler = h
	s.http.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	s.http.ConnState = onState
	return s
}

// Serve accepts connections from l until the server is stopped. It returns nil when
// accepting has ended; requests in progress may continue.
func (s *HTTPServer) Serve(l net.Listener, limits HTTPLimits) error {
	s.http.ReadHeaderTimeout, s.http.IdleTimeout, s.http.MaxHeaderBytes = limits.HeaderTimeout, limits.IdleTimeout, limits.HeaderBytes
	err := s.http.Serve(&connListener{Listener: l, conns: s.conns})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "step=serve address=%s", l.Addr())
}

// Connections returns the number of open connections, and of those with a request in
// progress.
func (s *HTTPServer) Connections() (open, inRequest int) { return s.conns.counts() }

// StopAccepting stops accepting connections while requests in progress continue.
func (s *HTTPServer) StopAccepting() {
	go func() { _ = s.http.Shutdown(context.Background()) }() // waits for all requests
}

// Close closes the listener and all connections.
func (s *HTTPServer) Close() { _ = s.http.Close() }

// connListener adds the connections that it accepts to a connSet.
type connListener struct {
	net.Listener
	conns *connSet
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(nc), nil
}
