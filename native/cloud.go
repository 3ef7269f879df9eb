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

// CodeNoCapacity is the problem code of a refused start.
const CodeNoCapacity = "insufficient_capacity"

// PurchaseKind says how an instance is paid for.
type PurchaseKind string

// The kinds of purchase.
const (
	Reclaimable PurchaseKind = "reclaimable" // cheap, may be taken back on seconds of notice
	OnDemand    PurchaseKind = "on-demand"   // kept until it is stopped
)

// Price is what an instance costs at the moment.
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

// StartRequest is the body of POST /v1/instances. A second request with the
// same ClientToken gets the first one's instance and starts nothing.
type StartRequest struct {
	ClientToken string       `json:"clientToken"`
	Zone        string       `json:"zone"`
	Class       string       `json:"machineClass"`
	Kind        PurchaseKind `json:"kind"`
}

// InstanceState is where a cloud instance stands.
type InstanceState string

// The states of a cloud instance.
const (
	InstanceRunning    InstanceState = "running"
	InstanceReclaiming InstanceState = "reclaiming" // noticed, still there
	InstanceReclaimed  InstanceState = "reclaimed"
	InstanceStopped    InstanceState = "stopped" // by DELETE
)

// CloudInstance is an instance as the cloud API knows it.
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

// Notice says that an instance will be reclaimed.
type Notice struct {
	Sequence   uint64    `json:"sequence,string"` // from 1, without gaps
	InstanceID string    `json:"instanceId"`
	Zone       string    `json:"zone"`
	Deadline   time.Time `json:"deadline"` // the instance ends then
}

// NoticePage is the reply of GET /v1/notices: all notices after the asked one.
// It is empty when none came within the wait.
type NoticePage struct {
	Notices []Notice `json:"notices"`
}

// Last returns the number of the newest notice, or after for an empty page.
func (p NoticePage) Last(after uint64) uint64 {
	if len(p.Notices) == 0 {
		return after
	}
	return p.Notices[len(p.Notices)-1].Sequence
}

// CloudConfig tunes a CloudClient. The zero value of a duration or size means
// the default named beside it.
type CloudConfig struct {
	Address     string        // host:port of the cloud API
	DialTimeout time.Duration // DefaultDialTimeout
	MaxReply    int64         // DefaultMaxReply; bytes of a JSON reply
}

// CloudClient calls the cloud API. It is safe for concurrent use.
type CloudClient struct {
	cfg       CloudConfig
	transport *http.Transport
}

// NewCloud returns a client of the cloud API. Close it when done.
func NewCloud(cfg CloudConfig) *CloudClient {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.MaxReply = cmp.Or(cfg.MaxReply, DefaultMaxReply)
	return &CloudClient{
		cfg:       cfg,
		transport: newTransport(transportConfig{cfg.DialTimeout, DefaultIdleTimeout, DefaultIdlePerPeer, true}),
	}
}

// Close closes the connections that are not in use.
func (c *CloudClient) Close() { c.transport.CloseIdleConnections() }

// Prices returns the prices of the moment.
func (c *CloudClient) Prices(ctx context.Context) ([]Price, error) {
	var reply PriceList
	err := c.get(ctx, PathPrices, &reply)
	return reply.Prices, trace.Wrap(err)
}

// Instances returns every instance that the cloud knows, ended ones included
// for as long as it remembers them.
func (c *CloudClient) Instances(ctx context.Context) ([]CloudInstance, error) {
	var reply InstanceList
	err := c.get(ctx, PathInstances, &reply)
	return reply.Instances, trace.Wrap(err)
}

// Start starts an instance. After an error that is not NotRun, send the same
// request again: its token makes sure that only one instance starts.
// NoCapacity tells a refusal for want of instances.
func (c *CloudClient) Start(ctx context.Context, startReq StartRequest) (CloudInstance, error) {
	var reply CloudInstance
	req, err := newJSONRequest(ctx, http.MethodPost, c.cfg.Address, PathInstances, startReq)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	err = call(c.transport, req, c.cfg.MaxReply, &reply)
	return reply, trace.Wrap(err)
}

// Stop ends an instance. One that has ended already counts as stopped.
func (c *CloudClient) Stop(ctx context.Context, id string) error {
	path := PathInstances + "/" + url.PathEscape(id)
	req, err := newRequest(ctx, http.MethodDelete, c.cfg.Address, path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(call(c.transport, req, c.cfg.MaxReply, nil))
}

// Notices returns the reclaim notices after the one numbered after. Where there
// are none it waits for up to wait, and returns an empty page then.
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

// NoCapacity reports whether err says that the zone has no such instance now.
func NoCapacity(err error) bool {
	var callErr *CallError
	return errors.As(err, &callErr) && callErr.Code == CodeNoCapacity
}
