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

// EngineConfig configures an EngineClient. A zero field means the default named beside
// it.
type EngineConfig struct {
	Dial        DialFunc      // TCP within DialTimeout
	DialTimeout time.Duration // DefaultDialTimeout
	IdleTimeout time.Duration // DefaultIdleTimeout; an idle connection is closed after it
	IdlePerPeer int           // DefaultIdlePerPeer; maximum idle connections per engine
	MaxEvent    int           // DefaultMaxEvent; maximum bytes of one event of a stream
	MaxReply    int64         // DefaultMaxReply; maximum bytes of a JSON reply
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerPeer = cmp.Or(c.IdlePerPeer, DefaultIdlePerPeer)
	c.MaxEvent = cmp.Or(c.MaxEvent, DefaultMaxEvent)
	c.MaxReply = cmp.Or(c.MaxReply, DefaultMaxReply)
	return c
}

// EngineClient calls model engines over HTTP. It has a connection pool per engine and
// is safe for concurrent use. Every error is a *CallError, wrapped by trace.
type EngineClient struct {
	cfg    EngineConfig
	pooled *http.Transport
	fresh  *http.Transport // a new connection for each call
}

// NewEngine returns a client for model engines. The caller must close it.
func NewEngine(cfg EngineConfig) *EngineClient {
	cfg = cfg.withDefaults()
	return &EngineClient{
		cfg:    cfg,
		pooled: newTransport(transportConfig{cfg.Dial, cfg.DialTimeout, cfg.IdleTimeout, cfg.IdlePerPeer, true}),
		fresh:  newTransport(transportConfig{cfg.Dial, cfg.DialTimeout, cfg.IdleTimeout, 0, false}),
	}
}

// Close closes the idle connections. The client can be used on.
func (c *EngineClient) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Chat sends req to the engine at address (host:port) and returns the stream of the
// answer once the engine has sent status 200. The answer is streamed even if
// req.Stream is false. The stream fails when ctx ends, so ctx must cover the whole
// answer. The caller must close the stream.
func (c *EngineClient) Chat(ctx context.Context, address, requestID string, req ChatRequest) (*ChatStream, error) {
	req.Stream = true
	httpReq, err := newJSONRequest(withRepeatable(ctx), http.MethodPost, address, PathChat, req)
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
	return newChatStream(address, resp, c.cfg.MaxEvent), nil
}

// newJSONRequest returns a request to http://address+path with v as its JSON body.
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

// call sends req and decodes the JSON reply into reply; if reply is nil, it discards
// the reply. A status of 300 and above is an error.
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
