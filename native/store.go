package native

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// PathWeights is the path prefix of the weight store: GET PathWeights{model}/{version}.
const PathWeights = "/v1/weights/"

// StoreConfig configures a StoreClient. A zero field means the default named beside it.
type StoreConfig struct {
	DialTimeout time.Duration // DefaultDialTimeout
}

// StoreClient downloads model weights from the weight store.
type StoreClient struct {
	transport *http.Transport
}

// NewStore returns a client for the weight store. The caller must close it.
func NewStore(cfg StoreConfig) *StoreClient {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	return &StoreClient{
		transport: newTransport(transportConfig{nil, cfg.DialTimeout, DefaultIdleTimeout, DefaultIdlePerPeer, true}),
	}
}

// Close closes the idle connections.
func (c *StoreClient) Close() { c.transport.CloseIdleConnections() }

// Fetch downloads and discards the weights of a model version from the store at
// address, and returns their size in bytes. If the store is overloaded, RetryAfter
// returns the requested delay from the error.
func (c *StoreClient) Fetch(ctx context.Context, address, model, version string) (int64, error) {
	path := PathWeights + url.PathEscape(model) + "/" + url.PathEscape(version)
	req, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := roundTrip(c.transport, req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, trace.Wrap(statusError(address, resp))
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return n, trace.Wrap(&CallError{Step: StepBody, Peer: address, Delivery: MaybeRan, Err: err})
	}
	return n, nil
}

// RetryAfter returns the delay that the peer requests before a retry, and whether err
// is an overload refusal: status 429 or 503 with a Retry-After header.
func RetryAfter(err error) (time.Duration, bool) {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return 0, false
	}
	overloaded := callErr.Status == http.StatusTooManyRequests || callErr.Status == http.StatusServiceUnavailable
	return callErr.RetryAfter, overloaded && callErr.RetryAfter > 0
}
