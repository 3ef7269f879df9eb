package link

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// DefaultMaxInFlight is the default limit on running calls per connection.
const DefaultMaxInFlight = 1024

const (
	serverNoticeQueueLen = 256 // per connection
	// acceptRetryDelay is the pause after a connection was not accepted for lack of
	// descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// ServerConfig configures a Server. Zero limits and durations take the defaults.
type ServerConfig struct {
	Self              PeerInfo
	ClusterKey        []byte
	MaxFrame          int           // bytes of payload
	HeartbeatInterval time.Duration // between heartbeats while nothing else is sent
	HeartbeatTimeout  time.Duration // without data for it, the connection is closed; also bounds the handshake
	// MaxInFlight limits the running calls of one connection. A call above the
	// limit is answered with CodeBusy at once and does not run.
	MaxInFlight int
}

// ServerDeps holds the dependencies of a Server. All are optional.
type ServerDeps struct {
	Log     *slog.Logger
	Traffic *Traffic
}

// Server answers calls and receives notices. Handlers are registered before Serve.
type Server struct {
	cfg     ServerConfig
	limits  connLimits
	log     *slog.Logger
	traffic *Traffic

	mu             sync.RWMutex // guards the maps of handlers
	callHandlers   map[string]callHandler
	noticeHandlers map[string]noticeHandler
	streamHandlers map[string]streamHandler
}

type callHandler func(ctx context.Context, from PeerInfo, body []byte) ([]byte, error)

type noticeHandler func(ctx context.Context, from PeerInfo, body []byte) error

// NewServer returns a server without handlers.
func NewServer(cfg ServerConfig, deps ServerDeps) *Server {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	s := &Server{
		cfg:            cfg,
		limits:         limitsWithDefaults(cfg.MaxFrame, cfg.HeartbeatInterval, cfg.HeartbeatTimeout),
		log:            deps.Log,
		traffic:        deps.Traffic,
		callHandlers:   make(map[string]callHandler),
		noticeHandlers: make(map[string]noticeHandler),
		streamHandlers: make(map[string]streamHandler),
	}
	if s.log == nil {
		s.log = slog.New(slog.DiscardHandler)
	}
	if s.traffic == nil {
		s.traffic = NewTraffic(nil)
	}
	return s
}

// Traffic returns the server's counters.
func (s *Server) Traffic() *Traffic { return s.traffic }

// Handle registers fn for calls of method; it replaces an earlier fn. Calls of one
// connection run concurrently. The context of fn ends at the caller's deadline, on
// its cancellation, or with the connection.
func Handle[Req, Resp any](s *Server, method string, fn func(ctx context.Context, from PeerInfo, req Req) (Resp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callHandlers[method] = func(ctx context.Context, from PeerInfo, body []byte) ([]byte, error) {
		var req Req
		if err := Unmarshal(body, &req); err != nil {
			return nil, &RemoteError{Code: CodeBadRequest, Message: err.Error(), Step: StepDecode}
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(resp)
	}
}

// HandleNotice registers fn for notices of method; it replaces an earlier fn.
// Notices of one connection are handled one at a time, in the order sent. While fn
// is slow, the connection is not read, so the queue of the sender fills up.
func HandleNotice[Req any](s *Server, method string, fn func(ctx context.Context, from PeerInfo, req Req)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeHandlers[method] = func(ctx context.Context, from PeerInfo, body []byte) error {
		var req Req
		if err := Unmarshal(body, &req); err != nil {
			return err
		}
		fn(ctx, from, req)
		return nil
	}
}

// Serve accepts connections on l until ctx ends, which returns nil, or Accept
// fails. It returns after its connections are closed and all handlers have
// returned.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	defer cancel()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				s.log.Warn("link connection not accepted", "address", l.Addr().String(), "err", err)
				pause(ctx, acceptRetryDelay)
				continue
			}
			return trace.Wrap(err, "accept at %v", l.Addr())
		}
		conns.Go(func() { s.serveConn(ctx, nc) })
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serverConn is the accepting end of a connection.
type serverConn struct {
	*conn
	server     *Server
	peer       PeerInfo
	notices    chan frame // in the order received; nil before the first, used by readLoop and noticeLoop
	goroutines sync.WaitGroup

	mu         sync.Mutex // guards cancelByID
	cancelByID map[uint64]context.CancelFunc
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	c := newConn(ctx, nc, s.limits, s.traffic)
	stop := context.AfterFunc(c.ctx, func() { nc.Close() })
	defer stop()
	defer nc.Close()
	defer c.cancel(nil)
	// Bounds the whole handshake: a peer that sends a byte now and then would
	// never exceed the timeout of a single read.
	handshakeTimer := time.AfterFunc(s.limits.heartbeatTimeout, func() { c.cancel(ErrHeartbeatTimeout) })
	peer, isStream, err := listenHandshake(c, s.cfg.Self, s.cfg.ClusterKey)
	if err == nil && !handshakeTimer.Stop() {
		err = ErrHeartbeatTimeout
	}
	handshakeTimer.Stop()
	if err != nil {
		s.log.Warn("link handshake failed", "remote", nc.RemoteAddr().String(), "peer", peer.ID, "err", err)
		return
	}
	if isStream {
		s.serveStream(c.ctx, c, peer)
		return
	}
	sc := &serverConn{
		conn:       c,
		server:     s,
		peer:       peer,
		cancelByID: make(map[uint64]context.CancelFunc),
	}
	sc.run()
}

func (sc *serverConn) run() {
	sc.goroutines.Go(func() { sc.cancel(sc.writeLoop(nil, func() {})) })
	err := sc.readLoop(sc.dispatch)
	sc.cancel(err)
	sc.goroutines.Wait()
	if sc.conn.ctx.Err() != nil && !errors.Is(err, io.EOF) {
		sc.server.log.Info("link closed", "peer", sc.peer.ID, "address", sc.peer.Address, "err", err)
	}
}

func (sc *serverConn) dispatch(f frame, size int) {
	switch f.kind {
	case kindRequest:
		sc.startCall(f, size)
	case kindNotice:
		sc.queueNotice(f, size)
	case kindCancel:
		sc.traffic.received(MethodControl, size)
		sc.cancelCall(f.id)
	default:
		sc.traffic.received(MethodControl, size)
		sc.cancel(ErrMalformed)
	}
}

// startCall runs the handler of a request on its own goroutine and sends the answer.
func (sc *serverConn) startCall(f frame, size int) {
	sc.server.mu.RLock()
	handler, ok := sc.server.callHandlers[f.method]
	sc.server.mu.RUnlock()
	if !ok {
		// Unknown names get no counter of their own: a peer could create any
		// number of them.
		sc.traffic.received(MethodControl, size)
		sc.goroutines.Go(func() {
			sc.sendError(f, &RemoteError{Code: CodeUnknownMethod, Message: f.method, Step: StepHandle})
		})
		return
	}
	sc.traffic.received(f.method, size)
	ctx, cancel := sc.callContext(f.timeoutMillis)
	if !sc.addCall(f.id, cancel) {
		cancel()
		sc.goroutines.Go(func() {
			sc.sendError(f, &RemoteError{Code: CodeBusy, Message: "too many calls in flight", Step: StepHandle})
		})
		return
	}
	sc.goroutines.Go(func() {
		defer sc.cancelCall(f.id)
		body, err := handler(ctx, sc.peer, f.body)
		if err != nil {
			sc.sendError(f, toRemoteError(err))
			return
		}
		sc.sendAnswer(f, frame{kind: kindResponse, id: f.id, body: body})
	})
}

// callContext returns the context of a call with a timeout in milliseconds; 0: none.
func (sc *serverConn) callContext(timeout uint64) (context.Context, context.CancelFunc) {
	if timeout == 0 {
		return context.WithCancel(sc.conn.ctx)
	}
	return context.WithTimeout(sc.conn.ctx, millisToDuration(timeout))
}

// addCall registers a running call. It returns false if MaxInFlight calls are
// running or the ID is in use.
func (sc *serverConn) addCall(id uint64, cancel context.CancelFunc) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if _, exists := sc.cancelByID[id]; exists || len(sc.cancelByID) >= sc.server.cfg.MaxInFlight {
		return false
	}
	sc.cancelByID[id] = cancel
	return true
}

// cancelCall cancels and removes a running call; it ignores unknown IDs.
func (sc *serverConn) cancelCall(id uint64) {
	sc.mu.Lock()
	cancel, ok := sc.cancelByID[id]
	delete(sc.cancelByID, id)
	sc.mu.Unlock()
	if ok {
		cancel()
	}
}

func (sc *serverConn) sendAnswer(f, reply frame) {
	buf, err := appendFrame(nil, reply, sc.maxFrame)
	if err != nil {
		sc.sendError(f, &RemoteError{Code: CodeInternal, Message: err.Error(), Step: StepEncode})
		return
	}
	// send fails only if the connection has ended; the caller then gets
	// ErrOutcomeUnknown.
	_ = sc.send(outgoing{method: f.method, buf: buf})
}

func (sc *serverConn) sendError(f frame, re *RemoteError) {
	body, err := msgpack.Marshal(re)
	if err != nil {
		sc.cancel(err)
		return
	}
	buf, err := appendFrame(nil, frame{kind: kindError, id: f.id, body: body}, sc.maxFrame)
	if err != nil {
		sc.cancel(err)
		return
	}
	method := f.method
	if re.Code == CodeUnknownMethod {
		method = MethodControl
	}
	_ = sc.send(outgoing{method: method, buf: buf})
}

// queueNotice queues a notice for its handler. It blocks while the queue is full:
// the connection is then not read, so TCP flow control slows the sender down and
// its Notify returns ErrBusy. Dropping the notice here would be unnoticed.
func (sc *serverConn) queueNotice(f frame, size int) {
	sc.server.mu.RLock()
	_, ok := sc.server.noticeHandlers[f.method]
	sc.server.mu.RUnlock()
	if !ok {
		sc.traffic.received(MethodControl, size)
		sc.server.log.Warn("link notice without handler", "peer", sc.peer.ID, "method", f.method)
		return
	}
	sc.traffic.received(f.method, size)
	if sc.notices == nil {
		// Of a thousand connections few carry notices; the queue and the goroutine of each
		// would take more memory than all else.
		sc.notices = make(chan frame, serverNoticeQueueLen)
		sc.goroutines.Go(sc.noticeLoop)
	}
	select {
	case sc.notices <- f:
	case <-sc.conn.ctx.Done():
	}
}

// noticeLoop handles the queued notices one at a time until the connection ends.
func (sc *serverConn) noticeLoop() {
	for {
		select {
		case <-sc.conn.ctx.Done():
			return
		case f := <-sc.notices:
			sc.server.mu.RLock()
			handler := sc.server.noticeHandlers[f.method]
			sc.server.mu.RUnlock()
			if err := handler(sc.conn.ctx, sc.peer, f.body); err != nil {
				sc.server.log.Warn("link notice rejected", "peer", sc.peer.ID, "method", f.method, "err", err)
			}
		}
	}
}
