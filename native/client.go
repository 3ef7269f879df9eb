package native

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// EngineConfig tunes an EngineClient. The zero value of a field means the
// default named beside it.
type EngineConfig struct {
	DialTimeout time.Duration // DefaultDialTimeout
	IdleTimeout time.Duration // DefaultIdleTimeout; how long an unused connection is kept
	IdlePerPeer int           // DefaultIdlePerPeer; unused connections kept per engine
	MaxEvent    int           // DefaultMaxEvent; bytes of one event of a stream
	MaxReply    int64         // DefaultMaxReply; bytes of a JSON reply
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerPeer = cmp.Or(c.IdlePerPeer, DefaultIdlePerPeer)
	c.MaxEvent = cmp.Or(c.MaxEvent, DefaultMaxEvent)
	c.MaxReply = cmp.Or(c.MaxReply, DefaultMaxReply)
	return c
}

// EngineClient calls model engines over HTTP. It keeps connections per engine
// and is safe for concurrent use. Every error is a *CallError, wrapped by trace.
type EngineClient struct {
	cfg    EngineConfig
	pooled *http.Transport
	fresh  *http.Transport // a new connection for each call
}

// NewEngine returns a client of model engines. Close it when done.
func NewEngine(cfg EngineConfig) *EngineClient {
	cfg = cfg.withDefaults()
	return &EngineClient{
		cfg:    cfg,
		pooled: newTransport(transportConfig{cfg.DialTimeout, cfg.IdleTimeout, cfg.IdlePerPeer, true}),
		fresh:  newTransport(transportConfig{cfg.DialTimeout, cfg.IdleTimeout, 0, false}),
	}
}

// Close closes the connections that are not in use.
func (c *EngineClient) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Chat sends req to the engine at address (host:port) and returns the stream of
// its answer once the engine has accepted it. The answer is always streamed,
// whatever req.Stream says. The stream lives until it is closed or ctx ends:
// ctx must cover the whole answer.
func (c *EngineClient) Chat(ctx context.Context, address, requestID string, req ChatRequest) (*ChatStream, error) {
	req.Stream = true
	httpReq, err := newJSONRequest(ctx, http.MethodPost, address, PathChat, req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	httpReq.Header.Set(HeaderRequestID, requestID)
	httpReq.Header.Set("Accept", "text/event-stream")
	resp, err := roundTrip(c.pooled, httpReq)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.Wrap(statusError(address, resp))
	}
	return newChatStream(address, resp.Body, c.cfg.MaxEvent), nil
}

// newJSONRequest returns a request to http://address/path with v as its body.
func newJSONRequest(ctx context.Context, method, address, path string, v any) (*http.Request, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, &CallError{Step: StepEncode, Peer: address, Delivery: NotSent, Err: err}
	}
	req, err := newRequest(ctx, method, address, path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func newRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, &CallError{Step: StepEncode, Peer: address, Delivery: NotSent, Err: err}
	}
	return req, nil
}

// call sends req and decodes the JSON reply into reply, unless reply is nil.
func call(rt http.RoundTripper, req *http.Request, maxReply int64, reply any) error {
	peer := req.URL.Host
	resp, err := roundTrip(rt, req)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(peer, resp)
	}
	defer resp.Body.Close()
	if reply == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReply))
	} else {
		err = decodeBounded(resp.Body, maxReply, reply)
	}
	if err != nil {
		return &CallError{Step: StepBody, Peer: peer, Delivery: MaybeRan, Status: resp.StatusCode, Err: err}
	}
	return nil
}

var errReplyTooLong = errors.New("reply is too long")

func decodeBounded(r io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errReplyTooLong
	}
	return json.Unmarshal(data, v)
}
