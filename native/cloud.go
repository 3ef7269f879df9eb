package native

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Paths of the cloud API.
const (
	PathPrices    = "/v1/prices"
	PathInstances = "/v1/instances" // GET: list, POST: start, DELETE /{id}: stop
	PathNotices   = "/v1/notices"   // ?after=N&waitMs=M
)

// CodeNoCapacity is the Problem.Code of a start refused for lack of capacity.
const CodeNoCapacity = "insufficient_capacity"

// PurchaseKind is the purchase option of an instance.
type PurchaseKind string

// The purchase options.
const (
	Reclaimable PurchaseKind = "reclaimable" // cheap, may be reclaimed with seconds of notice
	OnDemand    PurchaseKind = "on-demand"   // runs until it is stopped
)

// Price is the current price of an instance.
type Price struct {
	Zone    string       `json:"zone"`
	Class   string       `json:"machineClass"`
	Kind    PurchaseKind `json:"kind"`
	PerHour float64      `json:"perHour"`
}

// PriceList is the reply of GET /v1/prices.
type PriceList struct {
	Prices []Price `json:"prices"`
}

// StartRequest is the body of POST /v1/instances. ClientToken makes it idempotent: a
// second request with the same token returns the instance of the first one.
type StartRequest struct {
	ClientToken string       `json:"clientToken"`
	Zone        string       `json:"zone"`
	Class       string       `json:"machineClass"`
	Kind        PurchaseKind `json:"kind"`
}

// InstanceState is the state of a cloud instance.
type InstanceState string

// The states of a cloud instance.
const (
	InstanceRunning    InstanceState = "running"
	InstanceReclaiming InstanceState = "reclaiming" // notice given, still running
	InstanceReclaimed  InstanceState = "reclaimed"
	InstanceStopped    InstanceState = "stopped" // ended by DELETE
)

// CloudInstance is an instance as returned by the cloud API.
type CloudInstance struct {
	ID          string        `json:"id"`
	ClientToken string        `json:"clientToken,omitempty"`
	Zone        string        `json:"zone"`
	Class       string        `json:"machineClass"`
	Kind        PurchaseKind  `json:"kind"`
	State       InstanceState `json:"state"`
	StartedAt   time.Time     `json:"startedAt"`
}

// InstanceList is the reply of GET /v1/instances.
type InstanceList struct {
	Instances []CloudInstance `json:"instances"`
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Sequence   uint64    `json:"sequence,string"` // from 1, without gaps
	InstanceID string    `json:"instanceId"`
	Zone       string    `json:"zone"`
	Deadline   time.Time `json:"deadline"` // when the instance ends
}

// NoticePage is the reply of GET /v1/notices: all notices after the requested sequence
// number. It is empty if there is none within the requested wait.
type NoticePage struct {
	Notices []Notice `json:"notices"`
}

// Last returns the sequence number of the latest notice, or after if the page is empty.
func (p NoticePage) Last(after uint64) uint64 {
	if len(p.Notices) == 0 {
		return after
	}
	return p.Notices[len(p.Notices)-1].Sequence
}

// CloudConfig configures a CloudClient. A zero duration or size means the default
// named beside it.
type CloudConfig struct {
	Address     string        // host:port of the cloud API
	DialTimeout time.Duration // DefaultDialTimeout
	MaxReply    int64         // DefaultMaxReply; maximum bytes of a JSON reply
}

// CloudClient calls the cloud API. It is safe for concurrent use.
type CloudClient struct {
	cfg       CloudConfig
	transport *http.Transport
}

// NewCloud returns a client for the cloud API. The caller must close it.
func NewCloud(cfg CloudConfig) *CloudClient {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.MaxReply = cmp.Or(cfg.MaxReply, DefaultMaxReply)
	return &CloudClient{
		cfg:       cfg,
		transport: newTransport(transportConfig{nil, cfg.DialTimeout, DefaultIdleTimeout, DefaultIdlePerPeer, true}),
	}
}

// Close closes the idle connections.
func (c *CloudClient) Close() { c.transport.CloseIdleConnections() }

// Prices returns the current prices.
func (c *CloudClient) Prices(ctx context.Context) ([]Price, error) {
	var reply PriceList
	err := c.get(ctx, PathPrices, &reply)
	return reply.Prices, trace.Wrap(err)
}

// Instances returns all instances that the cloud lists, including ended ones that it
// still lists.
func (c *CloudClient) Instances(ctx context.Context) ([]CloudInstance, error) {
	var reply InstanceList
	err := c.get(ctx, PathInstances, &reply)
	return reply.Instances, trace.Wrap(err)
}

// Start starts an instance. If NotRun(err) is false, the instance may have started:
// retry with the same ClientToken, so that at most one starts. NoCapacity detects a
// refusal for lack of capacity.
func (c *CloudClient) Start(ctx context.Context, startReq StartRequest) (CloudInstance, error) {
	var reply CloudInstance
	req, err := newJSONRequest(ctx, http.MethodPost, c.cfg.Address, PathInstances, startReq)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.transport, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Stop ends an instance. Stopping one that has already ended is not an error.
func (c *CloudClient) Stop(ctx context.Context, id string) error {
	path := PathInstances + "/" + url.PathEscape(id)
	req, err := newRequest(ctx, http.MethodDelete, c.cfg.Address, path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(call(c.transport, req, c.cfg.MaxReply, nil))
}

// Notices returns the reclaim notices with a sequence number above after. If there are
// none, it waits up to wait for one and then returns an empty page.
func (c *CloudClient) Notices(ctx context.Context, after uint64, wait time.Duration) (NoticePage, error) {
	var reply NoticePage
	query := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.get(ctx, PathNotices+"?"+query.Encode(), &reply)
	return reply, trace.Wrap(err)
}

func (c *CloudClient) get(ctx context.Context, path string, reply any) error {
	req, err := newRequest(ctx, http.MethodGet, c.cfg.Address, path, nil)
	if err != nil {
		return err
	}
	return call(c.transport, req, c.cfg.MaxReply, reply)
}

// NoCapacity reports whether err is a refusal because the zone has no capacity of the
// requested kind.
func NoCapacity(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr) && callErr.Code == CodeNoCapacity
}
