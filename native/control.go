package native

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
)

// Cancel ends the request at the engine. A request that the engine does not
// know, or no longer, counts as cancelled. It uses a connection of its own,
// because the reason to cancel may be that the open ones have gone silent.
func (c *EngineClient) Cancel(ctx context.Context, address, requestID string) error {
	path := PathRequests + url.PathEscape(requestID)
	err := c.callFresh(ctx, http.MethodDelete, address, path)
	var callErr *CallError
	if errors.As(err, &callErr) && callErr.Status == http.StatusNotFound {
		return nil
	}
	return trace.Wrap(err)
}

// Probe asks GET /healthz over a new connection. A nil error beside a stream
// that has been quiet for long says that the stream's connection is lost, not
// the engine.
func (c *EngineClient) Probe(ctx context.Context, address string) error {
	return trace.Wrap(c.callFresh(ctx, http.MethodGet, address, PathHealth))
}

func (c *EngineClient) callFresh(ctx context.Context, method, address, path string) error {
	req, err := newRequest(ctx, method, address, path, nil)
	if err != nil {
		return err
	}
	return call(c.fresh, req, c.cfg.MaxReply, nil)
}

// ExportKV asks the engine to hold the KV cache of a running or just cancelled
// request under a handle.
func (c *EngineClient) ExportKV(ctx context.Context, address, requestID string) (ExportReply, error) {
	var reply ExportReply
	path := PathKVExport + "?request=" + url.QueryEscape(requestID)
	req, err := newRequest(ctx, http.MethodPost, address, path, nil)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.pooled, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// ImportKV asks the engine at address to fetch the KV cache that from names. It
// returns once the cache is there, under the handle for Resume.
func (c *EngineClient) ImportKV(ctx context.Context, address string, from ImportRequest) (ExportReply, error) {
	var reply ExportReply
	req, err := newJSONRequest(ctx, http.MethodPost, address, PathKVImport, from)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.pooled, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Listing returns everything in the engine's prefix cache.
func (c *EngineClient) Listing(ctx context.Context, address string) (CacheListing, error) {
	var reply CacheListing
	req, err := newRequest(ctx, http.MethodGet, address, PathCache, nil)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.pooled, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Order gives an order. A nil error says that the engine follows it, not that
// it is done: a model takes its time to load. OldFence tells a refusal because
// of the fencing number.
func (c *EngineClient) Order(ctx context.Context, address string, o Order) error {
	req, err := newJSONRequest(ctx, http.MethodPost, address, PathOrders, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(call(c.pooled, req, c.cfg.MaxReply, nil))
}

// OldFence reports whether err says that the engine has seen a higher fencing
// number: whoever gave the order has been replaced.
func OldFence(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr) && callErr.Status == http.StatusConflict
}
