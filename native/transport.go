package native

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// Headers of the protocols in this package.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderNotRun     = "X-Not-Run" // on an error status: the request was refused before it ran
	HeaderRetryAfter = "Retry-After"
)

// Bounds and defaults of the clients.
const (
	DefaultDialTimeout = time.Second      // within a region a connection takes a few milliseconds; a second is a lost peer
	DefaultIdleTimeout = 20 * time.Second // below the idle time of usual servers, so that they do not close first
	DefaultIdlePerPeer = 64
	DefaultMaxEvent    = 64 << 10 // bytes of one server-sent event
	DefaultMaxReply    = 8 << 20  // bytes of one JSON reply

	bufferBytes       = 4 << 10
	maxErrorTextBytes = 512
	maxRetryAfter     = time.Hour // a longer Retry-After is cut to this
)

var errSealed = errors.New("connection given up before the request was written")

// countedConn counts the bytes that were given to a connection. Only this tells
// for sure whether a failed request can have reached the peer: net/http reports
// headers as written when they are in a buffer, and goes on writing for a
// moment after a cancelled call has returned.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts p before any byte of it leaves, and writes nothing once sealed.
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

// sealUnless seals the connection if nothing was written since base, and
// reports whether something was.
func (c *countingConn) sealIfUnwritten(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > writtenBefore {
		return true
	}
	c.sealed = true
	return false
}

// sendTracker learns whether any byte of one request was written.
type sendTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
}

// attach returns a context whose request reports to the tracker.
func (t *sendTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	writtenBefore := conn.bytesWritten()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = conn
	t.writtenBefore = writtenBefore
}

// sent reports whether any byte of the request was written, and makes sure
// that none will be written later if none was so far. Call it only after the
// round trip has failed.
func (t *sendTracker) sent() bool {
	t.mu.Lock()
	conn, writtenBefore := t.conn, t.writtenBefore
	t.mu.Unlock()
	if conn == nil {
		return false
	}
	return conn.sealIfUnwritten(writtenBefore)
}

// transportConfig tunes newTransport.
type transportConfig struct {
	dialTimeout time.Duration
	idleTimeout time.Duration
	idlePerPeer int
	keepAlive   bool
}

// newTransport returns an HTTP/1.1 transport over counted connections, without
// proxies and without compression of its own.
func newTransport(cfg transportConfig) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.dialTimeout, KeepAlive: cfg.idleTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: cfg.idlePerPeer,
		IdleConnTimeout:     cfg.idleTimeout,
		DisableKeepAlives:   !cfg.keepAlive,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
}

// onceBody hides what a body is from net/http. The transport replays a request
// on a new connection by itself when a pooled one breaks, if the request has an
// Idempotency-Key header or a safe method and its body is absent or can be had
// again. A replayed statement credit would be booked twice with no trace at the
// entry. A request that has a body of an unknown type and no GetBody is never
// replayed, so that every second try is a decision of the caller.
type opaqueBody struct{ io.ReadCloser }

// forbidReplay makes sure that net/http sends req at most once.
func forbidReplay(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = opaqueBody{http.NoBody}
	}
	req.GetBody = nil
}

// roundTrip sends req once, without following redirects, and types the error.
func roundTrip(rt http.RoundTripper, req *http.Request) (*http.Response, error) {
	forbidReplay(req)
	var tracker sendTracker
	peer := req.URL.Host
	resp, err := rt.RoundTrip(req.WithContext(tracker.attach(req.Context())))
	if err == nil {
		return resp, nil
	}
	if !tracker.sent() {
		return nil, &CallError{Step: StepConnect, Peer: peer, Delivery: NotSent, Err: err}
	}
	return nil, &CallError{Step: StepForward, Peer: peer, Delivery: MaybeRan, Err: err}
}

// statusError types an answer with an error status and closes its body.
func statusError(peer string, resp *http.Response) *CallError {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	return &CallError{
		Step:       StepStatus,
		Peer:       peer,
		Delivery:   deliveryOf(resp),
		Status:     resp.StatusCode,
		RetryAfter: parseRetryAfter(resp.Header.Get(HeaderRetryAfter)),
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

// parseRetryAfter reads a Retry-After in seconds; anything else counts as none.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
