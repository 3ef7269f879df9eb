package native

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
)

// Cancel cancels a request at the engine. It returns nil if the engine does not have
// the request. It uses a new connection because the pooled ones may be broken, which
// can be the reason for the cancel.
func (c *EngineClient) Cancel(ctx context.Context, address, requestID string) error {
	path := PathRequests + url.PathEscape(requestID)
	err := c.callFresh(ctx, http.MethodDelete, address, path)
	var callErr *CallError
	if errors.As(err, &callErr) && callErr.Status == http.StatusNotFound {
		return nil
	}
	return trace.Wrap(err)
}

// Probe requests GET /healthz over a new connection. If it succeeds while a stream of
// the same engine receives nothing, the stream's connection is broken, not the engine.
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

// ExportKV makes the engine hold the KV cache of a running or just cancelled request,
// and returns the handle to fetch it with.
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

// ImportKV makes the engine at address fetch the KV cache given by from. It returns
// after the transfer, with the local handle for Resume.
func (c *EngineClient) ImportKV(ctx context.Context, address string, from ImportRequest) (ExportReply, error) {
	var reply ExportReply
	req, err := newJSONRequest(ctx, http.MethodPost, address, PathKVImport, from)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.pooled, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Listing returns all entries of the engine's prefix cache.
func (c *EngineClient) Listing(ctx context.Context, address string) (CacheListing, error) {
	var reply CacheListing
	req, err := newRequest(ctx, http.MethodGet, address, PathCache, nil)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.pooled, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Order sends an order. A nil error means that the engine has accepted it, not that it
// is finished: loading a model takes time. OldFence detects a refusal because of the
// fencing number.
func (c *EngineClient) Order(ctx context.Context, address string, o Order) error {
	req, err := newJSONRequest(ctx, http.MethodPost, address, PathOrders, o)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(call(c.pooled, req, c.cfg.MaxReply, nil))
}

// OldFence reports whether the engine refused an order because it has seen a higher
// fencing number, so the sender is no longer the leader.
func OldFence(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr) && callErr.Status == http.StatusConflict
}
