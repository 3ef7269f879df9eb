package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
)

// HTTPServer is an HTTP server that can be drained: no connection is closed under a request of
// which a byte has been read, except one that is sent before the answer to the last request of
// its connection has ended.
type HTTPServer struct {
	http  http.Server
	conns *connSet
	gate  *intake.Gate
	log   *slog.Logger
	busy  func(w http.ResponseWriter, r *http.Request, refused error) // see OnBusy

	closing   atomic.Bool   // see CloseAfterAnswers
	accepted  chan struct{} // closed when the last connection has been accepted
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	loggedAt time.Time     // see logTurnedAway
	listener *connListener // nil before Serve
	draining bool
	drained  bool // a drain has ended
}

// HTTPLimits bounds the requests of an HTTPServer.
type HTTPLimits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // after which a connection without a request is closed
	HeaderBytes   int
}

// DefaultIdleTimeout is how long an HTTP server keeps a connection without a request.
const DefaultIdleTimeout = 2 * time.Minute

// DefaultHTTPLimits returns the limits of servers for which the catalogue has none. Without
// them a client that sends its request header slowly, or not at all, holds a connection
// without a time limit.
func DefaultHTTPLimits() HTTPLimits {
	return HTTPLimits{HeaderTimeout: 10 * time.Second, IdleTimeout: DefaultIdleTimeout, HeaderBytes: 64 << 10}
}

// NewHTTPServer returns a server that does not listen yet. gate bounds what it holds for its clients.
func NewHTTPServer(h http.Handler, gate *intake.Gate, log *slog.Logger) *HTTPServer {
	s := &HTTPServer{
		conns: newConnSet(), gate: gate, log: log, busy: writeBusy, accepted: make(chan struct{}), closed: make(chan struct{}),
	}
	s.conns.onCut = s.logTurnedAway
	s.http.Handler = s.boundRequests(h)
	s.http.ConnContext = withClient
	s.http.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	s.http.ConnState = onState
	return s
}

// OnBusy replaces the answer to a request that finds no place: status 503 with a Retry-After. Call it before Serve.
func (s *HTTPServer) OnBusy(answer func(w http.ResponseWriter, r *http.Request, refused error)) {
	s.busy = answer
}

// CloseAfterAnswers makes the answers that begin from now on say that their connection closes,
// so that callers send their next request elsewhere. Connections are still accepted.
func (s *HTTPServer) CloseAfterAnswers() { s.closing.Store(true) }

// Serve accepts connections from l, which it closes, until the server is drained, and returns
// nil once the server has been closed. Call it once.
func (s *HTTPServer) Serve(l net.Listener, limits HTTPLimits) error {
	s.http.ReadHeaderTimeout, s.http.IdleTimeout, s.http.MaxHeaderBytes = limits.HeaderTimeout, limits.IdleTimeout, limits.HeaderBytes
	if err := s.accept(l); err != nil {
		return trace.Wrap(err, "step=serve address=%s", l.Addr())
	}
	<-s.closed // requests in progress continue
	return nil
}

// accept accepts connections from l until the server is drained or closed.
func (s *HTTPServer) accept(l net.Listener) error {
	listener := newConnListener(l, s.conns, s.gate)
	s.mu.Lock()
	s.listener = listener
	if s.draining {
		listener.stop()
	}
	s.mu.Unlock()
	defer close(s.accepted)
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && s.isDraining() {
		return nil
	}
	return err
}

// AddTo adds the server to a group of actors. When the group ends, the server is drained for
// at most grace and closed.
func (s *HTTPServer) AddTo(g *run.Group, l net.Listener, limits HTTPLimits, grace time.Duration) {
	g.Add(func() error { return s.Serve(l, limits) }, func(error) { s.Stop(grace) })
}

// turnedAwayInterval is the shortest time between two lines about clients that were turned away.
const turnedAwayInterval = time.Second

// logTurnedAway logs how many clients have been cut off or refused since the start, but not for each.
func (s *HTTPServer) logTurnedAway() {
	now := time.Now()
	s.mu.Lock()
	soon := now.Sub(s.loggedAt) < turnedAwayInterval
	if !soon {
		s.loggedAt = now
	}
	s.mu.Unlock()
	if soon {
		return
	}
	counts := s.gate.Counts()
	open, busy := s.Connections()
	event.Log(context.Background(), s.log, slog.LevelWarn, event.ClientsTurnedAway, slog.String("listener", s.gate.Name()),
		slog.Int64("cutOff", counts.Cut), slog.Int64("refused", counts.Refused), slog.Int("open", open), slog.Int("inRequest", busy))
}

// Connections returns the number of open connections, and of those with a request in
// progress.
func (s *HTTPServer) Connections() (open, inRequest int) { return s.conns.counts() }

// drainPollInterval is how often Drain checks whether all connections have ended.
const drainPollInterval = 10 * time.Millisecond

// Drain accepts the connections that wait in the listener's queue and no others, closes those
// without a request, and returns when the last request has been answered or ctx ends.
func (s *HTTPServer) Drain(ctx context.Context) {
	defer s.markDrained()
	s.CloseAfterAnswers()
	s.mu.Lock()
	s.draining = true
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	listener.stop()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
	s.conns.end()
	for open, _ := s.conns.counts(); open > 0 && ctx.Err() == nil; open, _ = s.conns.counts() {
		Pause(ctx, drainPollInterval)
	}
}

func (s *HTTPServer) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *HTTPServer) markDrained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
}

func (s *HTTPServer) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// Stop closes the server, after it has drained it for at most grace unless that has been done.
func (s *HTTPServer) Stop(grace time.Duration) {
	s.DrainOnce(grace)
	s.Close()
}

// DrainOnce drains the server for at most grace, unless a drain has ended before.
func (s *HTTPServer) DrainOnce(grace time.Duration) {
	if s.isDrained() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.Drain(ctx)
}

// Close closes the listener and all connections.
func (s *HTTPServer) Close() {
	s.conns.closeAtOnce()
	_ = s.http.Close() // the connections are closed in any case
	s.closeOnce.Do(func() { close(s.closed) })
}
