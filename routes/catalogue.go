// Package routes holds the catalogue of routes: which service answers which
// paths, under which promises, and which workspaces may call. An operator replaces
// it whole under a revision of its own; the highest revision counts.
package routes

import (
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once for each attempt of the caller
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

// Catalogue is one revision. It is immutable once it is in use.
type Catalogue struct {
	Revision   uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	// KeysNeeded says that callers need a key on routes that are not public.
	KeysNeeded bool
}

// Route sends the requests of one host below one path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without a port
	Prefix     string // begins and ends with a slash
	Kind       Kind
	Resumable  bool // a broken stream may go on in another run
	Public     bool // needs no key
	Cached     bool // prompts share parts that servers cache
	Timeout    time.Duration
	Objective  time.Duration     // within it an answer, or a stream's first event, earns its full worth
	MaxPause   time.Duration     // longest pause between events for a stream to be on time; 0: none given
	Rank       int               // 0 is the most urgent
	MaxServers int               // most servers that may run one attempt of a caller
	Split      []WeightedService // one for a route to a single service
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is something that backend servers run.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int      // that one server accepts from all callers together
	Engine     *Engine  // nil: a plain service
	Scaling    *Scaling // nil: its servers are not ordered by the system
}

// Engine describes model servers.
type Engine struct {
	Slots         int // requests in a batch
	CacheTokens   int // tokens that running requests and cached prompt parts share
	EventTokens   int // tokens in one event of a stream
	CacheWatchers int // callers that one server keeps waiting for cache events
}

// Scaling bounds the servers that are ordered for a service in each zone.
type Scaling struct {
	Min, Max   int
	Boot       time.Duration // from an order until the server serves
	SpotPrice  float64       // price of a reclaimable server as a part of the others'; 0: there are none
	ZonePrices map[string]float64
}

// Unit is what a workspace's limit counts.
type Unit uint8

// The units.
const (
	Requests Unit = iota
	Tokens
)

// Workspace is one customer.
type Workspace struct {
	Name          string
	Keys          []string
	Rank          int // goes before the route's rank where HasRank is set
	HasRank       bool
	Unit          Unit
	DefaultTokens float64 // counted for a request that doesn't say its size
	PerSecond     float64 // 0: no limit
	Burst         float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// CanonicalHost returns a host as routes name it: lower case, without a port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
