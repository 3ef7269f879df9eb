// Package routes holds the catalogue: the routes that map paths to services, the
// services, and the workspaces that may call them. An operator replaces the whole
// catalogue under a new revision; the highest revision is in effect.
package routes

import (
	"strings"
	"time"
)

// Kind determines whether a request on a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once per attempt of the caller
	Stream                        // answers with events; runs once unless the route is resumable
)

// String returns the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Catalogue is one revision of the catalogue. It is immutable once in use.
type Catalogue struct {
	Revision   uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	// KeysNeeded reports whether callers need a key on routes that are not public.
	KeysNeeded bool
}

// Route forwards requests for one host and path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without a port
	Prefix     string // begins and ends with a slash
	Kind       Kind
	Resumable  bool // a truncated stream may continue in another run
	Public     bool // no key required
	Cached     bool // servers cache prompt prefixes that requests share
	Timeout    time.Duration
	Objective  time.Duration     // deadline of full value, for the answer or a stream's first event
	MaxPause   time.Duration     // maximum pause between events of a stream that is on time; 0: no limit
	Rank       int               // priority; 0 is the most urgent
	MaxServers int               // maximum number of servers that may run one attempt of a caller
	Split      []WeightedService // a single element if the route has one service
}

// WeightedService is a service and its weight in a route's split.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is an application that backend servers run.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // maximum connections that a server accepts from all callers together
	Engine     *Engine  // nil: not a model service
	Scaling    *Scaling // nil: the system does not order servers for it
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots         int // maximum requests in a batch
	CacheTokens   int // size of the cache that running requests and cached prompt prefixes share
	EventTokens   int // tokens in one event of a stream
	CacheWatchers int // maximum callers that wait for cache events at one server
}

// Scaling bounds the number of servers that are ordered for a service in each zone.
type Scaling struct {
	Min, Max   int
	Boot       time.Duration // from an order until the server serves
	SpotPrice  float64       // price ratio of a reclaimable to an on-demand server; 0: none available
	ZonePrices map[string]float64
}

// Unit is the unit in which a workspace's limit counts.
type Unit uint8

// Units of limits.
const (
	Requests Unit = iota
	Tokens
)

// Workspace is a customer, with its keys and its limit.
type Workspace struct {
	Name          string
	Keys          []string
	Rank          int // overrides the route's rank if HasRank is set
	HasRank       bool
	Unit          Unit
	DefaultTokens float64 // cost of a request that does not state its size
	PerSecond     float64 // rate of the limit, in Unit; 0: no limit
	Burst         float64
}

// Limits bound the size and duration of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// CanonicalHost returns a host in the form that routes use: lower case, no port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
