package native

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// PlainConfig configures a PlainClient. A zero field means the default named beside it.
type PlainConfig struct {
	Dial        DialFunc      // TCP within DialTimeout
	DialTimeout time.Duration // DefaultDialTimeout
	IdleTimeout time.Duration // DefaultIdleTimeout; an idle connection is closed after it
	IdlePerPeer int           // DefaultIdlePerPeer; maximum idle connections per server
}

func (c PlainConfig) withDefaults() PlainConfig {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerPeer = cmp.Or(c.IdlePerPeer, DefaultIdlePerPeer)
	return c
}

// PlainClient forwards calls to plain services. It is safe for concurrent use.
type PlainClient struct {
	pooled *http.Transport
	fresh  *http.Transport // a new connection for each call
}

// NewPlain returns a client for plain services. The caller must close it.
func NewPlain(cfg PlainConfig) *PlainClient {
	cfg = cfg.withDefaults()
	return &PlainClient{
		pooled: newTransport(transportConfig{cfg.Dial, cfg.DialTimeout, cfg.IdleTimeout, cfg.IdlePerPeer, true}),
		fresh:  newTransport(transportConfig{cfg.Dial, cfg.DialTimeout, cfg.IdleTimeout, 0, false}),
	}
}

// Close closes the idle connections. The client can be used on.
func (c *PlainClient) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends req, which may be repeated, to the service at address (host:port) and returns
// the answer with any status; the caller must close its body. Both bodies are streamed. req is sent at most
// once: there are no retries, and redirects are not followed. req is not modified, but
// its body is consumed.
//
// sent reports whether the request may have run; it is true if err is nil.
func (c *PlainClient) Do(ctx context.Context, address string, req *http.Request) (resp *http.Response, sent bool, err error) {
	return forward(withRepeatable(ctx), c.pooled, address, req)
}

// DoOnce is Do over a new connection, for requests that must not run twice. A server
// may close a pooled connection just as a request is written to it, and then it is
// unknown whether the request ran. A new connection avoids this and costs one more
// round trip.
func (c *PlainClient) DoOnce(ctx context.Context, address string, req *http.Request) (resp *http.Response, sent bool, err error) {
	return forward(ctx, c.fresh, address, req)
}

func forward(ctx context.Context, rt http.RoundTripper, address string, req *http.Request) (*http.Response, bool, error) {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	resp, err := roundTrip(rt, out)
	if err != nil {
		return nil, !NotRun(err), trace.Wrap(err)
	}
	resp.Body = &callErrorBody{ReadCloser: resp.Body, peer: address}
	return resp, true, nil
}

// callErrorBody is an answer's body whose read errors are of type *CallError.
type callErrorBody struct {
	io.ReadCloser
	peer string
}

// Read returns io.EOF unchanged and any other error as a *CallError.
func (b *callErrorBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, &CallError{Step: StepBody, Peer: b.peer, Delivery: MaybeRan, Err: err}
}
