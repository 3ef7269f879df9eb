package contract

import "time"

// Class is the priority class of a workspace's requests. Higher classes are
// served first within a workspace's share; they never enlarge the share.
type Class string

// The classes, from the most to the least urgent. A caller may lower the class
// of one request below its workspace's class and never raise it above.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Rank orders classes: 0 is the most urgent. An unknown class ranks last.
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

// Lower returns the less urgent of the contract's class c and the class that a
// caller asked for. An empty or unknown request keeps the contract's class.
func (c Class) Lower(requested Class) Class {
	if !requested.Valid() || requested.Rank() < c.Rank() {
		return c
	}
	return requested
}

// Valid reports whether c is one of the three classes.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassStandard || c == ClassBatch
}

// Kind tells the two kinds of service apart.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // a language model behind /v1/chat/completions
	KindPlain Kind = "plain" // any web service, called as it is
)

// Catalogue is everything operators have declared. Version numbers start at 1
// for the first accepted change; version 0 is the empty catalogue.
type Catalogue struct {
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" msgpack:"workspaces"`
	Services   []Service   `yaml:"services" json:"services" msgpack:"services"`
}

// Workspace is one customer: who owns it, what it may use, and its keys.
type Workspace struct {
	Name   string    `yaml:"name" json:"name" msgpack:"name"`
	Owner  string    `yaml:"owner" json:"owner" msgpack:"owner"`
	Class  Class     `yaml:"class" json:"class" msgpack:"class"`
	Weight int       `yaml:"weight" json:"weight" msgpack:"weight"` // share among workspaces, 1..1000
	Limits Limits    `yaml:"limits" json:"limits" msgpack:"limits"`
	Keys   []KeyHash `yaml:"keys" json:"keys" msgpack:"keys"`
}

// Limits bound what a workspace may use, over all entries together. Zero means
// no limit of that sort.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" msgpack:"rps"`
	Concurrency       int     `yaml:"concurrency" json:"concurrency" msgpack:"conc"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond" json:"tokensPerSecond" msgpack:"tps"`
}

// KeyHash is "sha256:" and 64 hex digits: the hash of a bearer key. The
// catalogue never holds a key itself.
type KeyHash string

// Service is something callers can call by name.
type Service struct {
	Name       string        `yaml:"name" json:"name" msgpack:"name"`
	Owner      string        `yaml:"owner" json:"owner" msgpack:"owner"`
	Kind       Kind          `yaml:"kind" json:"kind" msgpack:"kind"`
	Model      string        `yaml:"model" json:"model,omitempty" msgpack:"model"`       // model services only
	Adapter    string        `yaml:"adapter" json:"adapter,omitempty" msgpack:"adapter"` // optional, model services only
	Version    string        `yaml:"version" json:"version,omitempty" msgpack:"version"`
	Workspaces []string      `yaml:"workspaces" json:"workspaces,omitempty" msgpack:"ws"` // who may call; empty: all
	Calls      []CallRule    `yaml:"calls" json:"calls,omitempty" msgpack:"calls"`        // plain services only, first match wins
	Target     LatencyTarget `yaml:"target" json:"target" msgpack:"target"`
	MaxBody    int64         `yaml:"maxBodyBytes" json:"maxBodyBytes" msgpack:"max_body"` // bytes; 0: DefaultMaxBody
}

// CallRule says whether calls of one method under one path prefix may be
// repeated. A call that no rule matches is idempotent only by its method, as
// RFC 9110 section 9.2.2 has it.
type CallRule struct {
	Method     string `yaml:"method" json:"method" msgpack:"method"` // upper case; "*": any
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix" msgpack:"path"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent" msgpack:"idem"`
}

// LatencyTarget is what 95 in 100 requests of a service should meet.
type LatencyTarget struct {
	FirstToken    time.Duration `yaml:"firstToken" json:"firstToken" msgpack:"first"`
	BetweenTokens time.Duration `yaml:"betweenTokens" json:"betweenTokens" msgpack:"between"`
}

// DefaultMaxBody bounds a request body where a service names no bound: 4 MiB.
const DefaultMaxBodyBytes int64 = 4 << 20

// StopScope says what a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	StopInstance StopScope = "instance" // an instance of the system or a backend server, by id
	StopZone     StopScope = "zone"
	StopService  StopScope = "service"
)

// Stop is a planned stop: a graceful shutdown that stays in force until it is
// cancelled. It cuts off no request.
type Stop struct {
	ID     string    `yaml:"id" json:"id" msgpack:"id"`
	Scope  StopScope `yaml:"scope" json:"scope" msgpack:"scope"`
	Name   string    `yaml:"name" json:"name" msgpack:"name"`
	From   time.Time `yaml:"from" json:"from" msgpack:"from"`
	Reason string    `yaml:"reason" json:"reason" msgpack:"reason"`
}
