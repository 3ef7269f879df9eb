package contract

import "time"

// Class is the priority class of a request. It orders the requests of one
// workspace; it does not change the workspace's share.
type Class string

// The classes, from the most to the least urgent. A caller may request a class
// less urgent than that of its workspace, but not a more urgent one.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Rank returns the position of c in the order of urgency; 0 is the most urgent.
// An unknown class ranks as ClassBatch.
func (c Class) Rank() int {
	switch c {
	case ClassInteractive:
		return 0
	case ClassStandard:
		return 1
	default:
		return 2
	}
}

// Lower returns the less urgent of c, the class of the workspace, and the class
// requested by a caller. If requested is empty or unknown, it returns c.
func (c Class) Lower(requested Class) Class {
	if !requested.Valid() || requested.Rank() < c.Rank() {
		return c
	}
	return requested
}

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassStandard || c == ClassBatch
}

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // a language model behind /v1/chat/completions
	KindPlain Kind = "plain" // any web service; calls are forwarded unchanged
)

// Catalogue lists the workspaces and services that operators have declared. Its
// version number is held by State: 0 for the empty catalogue, 1 after the first
// accepted change.
type Catalogue struct {
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" msgpack:"workspaces"`
	Services   []Service   `yaml:"services" json:"services" msgpack:"services"`
}

// Workspace is one customer, with its owner, limits and keys.
type Workspace struct {
	Name   string    `yaml:"name" json:"name" msgpack:"name"`
	Owner  string    `yaml:"owner" json:"owner" msgpack:"owner"`
	Class  Class     `yaml:"class" json:"class" msgpack:"class"`
	Weight int       `yaml:"weight" json:"weight" msgpack:"weight"` // relative to the other workspaces, 1..MaxWeight
	Limits Limits    `yaml:"limits" json:"limits" msgpack:"limits"`
	Keys   []KeyHash `yaml:"keys" json:"keys" msgpack:"keys"`
}

// Limits bounds the usage of a workspace, summed over all entries. A field that
// is zero sets no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" msgpack:"rps"`
	Concurrency       int     `yaml:"concurrency" json:"concurrency" msgpack:"conc"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond" json:"tokensPerSecond" msgpack:"tps"`
}

// KeyHash is the hash of a bearer key: "sha256:" and 64 lower-case hex digits.
// The catalogue does not contain the keys themselves.
type KeyHash string

// Service is a model or a web service that callers address by name.
type Service struct {
	Name       string        `yaml:"name" json:"name" msgpack:"name"`
	Owner      string        `yaml:"owner" json:"owner" msgpack:"owner"`
	Kind       Kind          `yaml:"kind" json:"kind" msgpack:"kind"`
	Model      string        `yaml:"model" json:"model,omitempty" msgpack:"model"`       // model services only
	Adapter    string        `yaml:"adapter" json:"adapter,omitempty" msgpack:"adapter"` // optional, model services only
	Version    string        `yaml:"version" json:"version,omitempty" msgpack:"version"`
	Workspaces []string      `yaml:"workspaces" json:"workspaces,omitempty" msgpack:"ws"` // workspaces that may call it; empty: all
	Calls      []CallRule    `yaml:"calls" json:"calls,omitempty" msgpack:"calls"`        // plain services only; the first match applies
	Target     LatencyTarget `yaml:"target" json:"target" msgpack:"target"`
	MaxBody    int64         `yaml:"maxBodyBytes" json:"maxBodyBytes" msgpack:"max_body"` // bytes; 0: DefaultMaxBodyBytes
}

// CallRule states whether calls of a method under a path prefix are idempotent.
// For a call that matches no rule, the method decides (RFC 9110, section 9.2.2).
type CallRule struct {
	Method     string `yaml:"method" json:"method" msgpack:"method"` // upper case; "*": any
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix" msgpack:"path"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent" msgpack:"idem"`
}

// LatencyTarget is the latency that 95 % of a service's requests should meet.
type LatencyTarget struct {
	FirstToken    time.Duration `yaml:"firstToken" json:"firstToken" msgpack:"first"`
	BetweenTokens time.Duration `yaml:"betweenTokens" json:"betweenTokens" msgpack:"between"`
}

// DefaultMaxBodyBytes is the maximum size of a request body of a service whose
// MaxBody is 0.
const DefaultMaxBodyBytes int64 = 4 << 20

// StopScope is the kind of object that a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	StopInstance StopScope = "instance" // an instance of the system or a backend server, by id
	StopZone     StopScope = "zone"
	StopService  StopScope = "service"
)

// Stop is a planned graceful shutdown. It is in force from From until it is
// cancelled, and does not interrupt running requests.
type Stop struct {
	ID     string    `yaml:"id" json:"id" msgpack:"id"`
	Scope  StopScope `yaml:"scope" json:"scope" msgpack:"scope"`
	Name   string    `yaml:"name" json:"name" msgpack:"name"`
	From   time.Time `yaml:"from" json:"from" msgpack:"from"`
	Reason string    `yaml:"reason" json:"reason" msgpack:"reason"`
}
