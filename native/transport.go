package native

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"savoryreel.example/savoryreel/response"
)

// Headers of the protocols in this package.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderNotRun     = "X-Not-Run" // on an error status: the request was rejected without being run
	HeaderRetryAfter = "Retry-After"
	HeaderLeaving    = "Savoryreel-Leaving" // "1" on any answer: the server is about to end
	HeaderVersion    = "Savoryreel-Version" // on the answer to a chat: version of the model that generates it
	HeaderLimit      = "Savoryreel-Limit"   // on any answer: requests a second that the server takes from all entries
)

// Defaults and limits of the clients.
const (
	DefaultDialTimeout = time.Second      // peers are in the same region
	DefaultIdleTimeout = 20 * time.Second // below the idle timeout of common servers, so that the client closes first
	DefaultIdlePerPeer = 64
	DefaultMaxEvent    = 64 << 10 // bytes of one server-sent event
	DefaultMaxReply    = 8 << 20  // bytes of one JSON reply

	bufferBytes       = 4 << 10
	maxErrorTextBytes = 512
	maxHeadBytes      = 256 << 10 // of an answer; the default of net/http is 10 MiB, for each call under way
	maxRetryAfter     = time.Hour // a longer Retry-After is reduced to this
)

var errSealed = errors.New("connection given up before the request was written")

// countingConn counts the bytes passed to Write, to decide whether a failed request can
// have reached the peer. The hooks of net/http are not enough: they report buffered
// headers as written, and the transport may write after a cancelled call has returned.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts p before writing it. Once the connection is sealed, it returns errSealed.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.addWritten(len(p)) {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

func (c *countingConn) addWritten(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(n)
	return true
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnwritten seals the connection if no byte has been written since the count was
// writtenBefore, and reports whether one has.
func (c *countingConn) sealIfUnwritten(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > writtenBefore {
		return true
	}
	c.sealed = true
	return false
}

// pathConn is a connection that knows the path that it is on. Those of package reach are.
type pathConn interface {
	// Usable reports whether the connection is on the path to the servers that is in use.
	Usable() bool
	// SetRepeatable sets whether the exchange that begins may be sent again. The connection is
	// closed if its path turns out to be lost before the answer is complete.
	SetRepeatable(repeatable bool)
}

// sendTracker records whether any byte of one request was written.
type sendTracker struct {
	maySend    func() bool // nil: always
	repeatable bool        // the request may be sent again although it may have run

	written chan bool // receives once whether the whole request was written

	mu            sync.Mutex
	withdrawn     bool
	conn          *countingConn
	writtenBefore int64
}

// attach returns a context that makes a request's connection known to the tracker.
func (t *sendTracker) attach(ctx context.Context) context.Context {
	t.written = make(chan bool, 1)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, WroteRequest: t.wroteRequest})
}

func (t *sendTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	select {
	case t.written <- info.Err == nil:
	default:
	}
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	writtenBefore := conn.bytesWritten()
	withdrawn := t.maySend != nil && !t.maySend()
	if p, ok := conn.Conn.(pathConn); ok {
		withdrawn = withdrawn || !p.Usable()
		p.SetRepeatable(t.repeatable)
	}
	if withdrawn {
		conn.sealIfUnwritten(writtenBefore)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn = withdrawn
	t.conn = conn
	t.writtenBefore = writtenBefore
}

// sent reports whether any byte of the request was written. If not, it seals the
// connection, so that none is written later. Call it only after the round trip has
// failed.
func (t *sendTracker) sent() bool {
	t.mu.Lock()
	conn, writtenBefore := t.conn, t.writtenBefore
	t.mu.Unlock()
	if conn == nil {
		return false
	}
	return conn.sealIfUnwritten(writtenBefore)
}

func (t *sendTracker) wasWithdrawn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withdrawn
}

// DialFunc opens a connection to a server at host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// transportConfig holds the settings of newTransport.
type transportConfig struct {
	dial        DialFunc // nil: TCP, within dialTimeout
	dialTimeout time.Duration
	idleTimeout time.Duration
	idlePerPeer int
	keepAlive   bool
}

// newTransport returns an HTTP/1.1 transport that uses countingConn, no proxy and no
// compression.
func newTransport(cfg transportConfig) *http.Transport {
	if cfg.dial == nil {
		dialer := &net.Dialer{Timeout: cfg.dialTimeout, KeepAlive: cfg.idleTimeout}
		cfg.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := cfg.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    cfg.idlePerPeer,
		IdleConnTimeout:        cfg.idleTimeout,
		DisableKeepAlives:      !cfg.keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// opaqueBody hides a body's type from net/http. When a pooled connection breaks,
// http.Transport resends a request that has an Idempotency-Key header or a safe method
// and whose body is absent or can be read again. That could run a request twice
// without the entry noticing. A request with a body of unknown type and without
// GetBody is never resent, so only the caller decides on retries.
type opaqueBody struct{ io.ReadCloser }

// forbidReplay changes req so that net/http sends it at most once.
func forbidReplay(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = opaqueBody{http.NoBody}
	}
	req.GetBody = nil
}

// roundTrip sends req at most once, without following redirects. Every error is a
// *CallError.
func roundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	forbidReplay(req)
	var tracker sendTracker
	tracker.maySend, _ = req.Context().Value(maySendKey{}).(func() bool)
	tracker.repeatable, _ = req.Context().Value(repeatableKey{}).(bool)
	peer := req.URL.Host
	resp, err := rt.RoundTrip(req.WithContext(tracker.attach(req.Context())))
	if err == nil {
		if err := response.Check(resp); err != nil {
			_ = resp.Body.Close() // it is not used
			return nil, &CallError{Step: StepForward, Peer: peer, Delivery: MaybeRan, Err: err}
		}
		if response.EndsWithConnection(resp) {
			resp.Body = &untilClosedBody{ReadCloser: resp.Body, written: tracker.written}
		}
		return resp, nil
	}
	if !tracker.sent() {
		if tracker.wasWithdrawn() {
			err = ErrWithdrawn
		}
		return nil, &CallError{Step: StepConnect, Peer: peer, Delivery: NotSent, Err: err}
	}
	return nil, &CallError{Step: StepForward, Peer: peer, Delivery: MaybeRan, Err: err}
}

// writeGrace is how long the end of a body waits for the result of writing the request.
const writeGrace = 20 * time.Millisecond

// untilClosedBody is the body of an answer that ends with its connection. It is whole only if the request was written:
// the kernel reports a reset to one call only, and after a write that has failed by it, a read returns io.EOF.
type untilClosedBody struct {
	io.ReadCloser
	written <-chan bool
	end     error // of all further reads; nil before the first end
}

// Read returns response.ErrNoEnd in place of io.EOF if the request was not written.
func (b *untilClosedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.atEnd()
		err = b.end
	}
	return n, err
}

func (b *untilClosedBody) atEnd() error {
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case written := <-b.written:
		if written {
			return io.EOF
		}
	case <-t.C:
	}
	return response.ErrNoEnd
}

// statusError returns the error for an answer with an error status, and closes its body.
func statusError(peer string, resp *http.Response) *CallError {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	limit, limited := parseLimit(resp.Header.Get(HeaderLimit))
	return &CallError{
		Step:       StepStatus,
		Peer:       peer,
		Delivery:   deliveryOf(resp),
		Status:     resp.StatusCode,
		RetryAfter: parseRetryAfter(resp.Header.Get(HeaderRetryAfter)),
		Leaving:    isLeaving(resp.Header),
		Limited:    limited,
		Limit:      limit,
		Code:       problemCode(text),
		Message:    string(text),
	}
}

func problemCode(text []byte) string {
	var p Problem
	if json.Unmarshal(text, &p) != nil {
		return ""
	}
	return p.Code
}

func deliveryOf(resp *http.Response) Delivery {
	if resp.Header.Get(HeaderNotRun) != "" {
		return Refused
	}
	return MaybeRan
}
