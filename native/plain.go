package native

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// PlainConfig tunes a PlainClient. The zero value of a field means the default
// named beside it.
type PlainConfig struct {
	DialTimeout time.Duration // DefaultDialTimeout
	IdleTimeout time.Duration // DefaultIdleTimeout; how long an unused connection is kept
	IdlePerPeer int           // DefaultIdlePerPeer; unused connections kept per server
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

// NewPlain returns a client of plain services. Close it when done.
func NewPlain(cfg PlainConfig) *PlainClient {
	cfg = cfg.withDefaults()
	return &PlainClient{
		pooled: newTransport(transportConfig{cfg.DialTimeout, cfg.IdleTimeout, cfg.IdlePerPeer, true}),
		fresh:  newTransport(transportConfig{cfg.DialTimeout, cfg.IdleTimeout, 0, false}),
	}
}

// Close closes the connections that are not in use.
func (c *PlainClient) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends req to the service at address (host:port) and returns its answer,
// whatever its status; the caller closes the body. Body and answer are streamed.
// req is sent once at the most: nothing repeats it and no redirect is
// followed. req itself is left as it is but for its body, which is used up.
//
// sent reports whether any byte of req was written to a connection; where it is
// false, the request surely did not run. It is true wherever err is nil.
func (c *PlainClient) Do(ctx context.Context, address string, req *http.Request) (resp *http.Response, sent bool, err error) {
	return forward(ctx, c.pooled, address, req)
}

// DoOnce is Do over a connection of its own, for requests that must not run
// twice. A server may close a pooled connection just as the request is written
// to it; such a request is lost with an unknown outcome, and its caller
// cannot be told whether to send it again. A new connection does not have that
// fault, for the price of one round trip.
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

// typedBody gives the errors of an answer's body their step and peer.
type callErrorBody struct {
	io.ReadCloser
	peer string
}

// Read returns io.EOF bare, and any other error as a *CallError.
func (b *callErrorBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, &CallError{Step: StepBody, Peer: b.peer, Delivery: MaybeRan, Err: err}
}
