package instance

import "time"

// State is the lifecycle state of an instance.
type State string

// The states. An instance that is gone can return only with a higher incarnation.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving" // finishes running requests, accepts no new ones
	StateGone    State = "gone"
)

// Announcement is the description that a backend server sends as JSON to any entry
// with POST /v1/backend-servers, and repeats as its heartbeat. A higher (Incarnation,
// Sequence) replaces a lower one, in whichever order they arrive.
type Announcement struct {
	ID          string `json:"id" msgpack:"id"`
	Incarnation uint64 `json:"incarnation" msgpack:"inc"` // higher after each start; a timestamp is suitable
	Sequence    uint64 `json:"sequence" msgpack:"seq"`    // incremented for each announcement of an incarnation
	Address     string `json:"address" msgpack:"addr"`    // host:port of its HTTP listener; host is an IP address
	Region      string `json:"region" msgpack:"region"`
	Zone        string `json:"zone" msgpack:"zone"`
	Class       string `json:"machineClass" msgpack:"class"` // machine class, as in the price list
	State       State  `json:"state" msgpack:"state"`

	// A model server sets Model and the loaded Adapters; a plain server sets Services.
	Model    string   `json:"model,omitempty" msgpack:"model"`
	Version  string   `json:"version,omitempty" msgpack:"version"`
	Adapters []string `json:"adapters,omitempty" msgpack:"adapters"`
	Role     string   `json:"role,omitempty" msgpack:"role"`
	Services []string `json:"services,omitempty" msgpack:"services"`

	Slots        int  `json:"slots" msgpack:"slots"`               // maximum number of concurrent requests
	ChecksFences bool `json:"checksFences" msgpack:"checks"`       // rejects orders with an outdated fencing number
	Load         Load `json:"load" msgpack:"load"`                 // as of Load.At
	LeavingIn    int  `json:"leavingInMs,omitempty" msgpack:"lim"` // milliseconds until it ends, with StateLeaving
}

// Load is a backend server's load as of At.
type Load struct {
	At           time.Time `json:"at" msgpack:"at"`
	Running      int       `json:"running" msgpack:"run"`
	Waiting      int       `json:"waiting" msgpack:"wait"`
	TokensPerSec float64   `json:"tokensPerSecond" msgpack:"tps"`
	CacheUsed    float64   `json:"cacheUsed" msgpack:"cache"` // fraction of the prefix cache in use, 0..1
	Prefill      int       `json:"prefill" msgpack:"prefill"` // prompt tokens waiting for prefill, as far as the server counts them
}

// CacheEvent reports that a prefix was stored in or evicted from a model server's
// cache. Events of one incarnation are numbered from 1 without gaps; a receiver that
// detects a gap requests the full listing (GET /v1/cache at the server).
type CacheEvent struct {
	Sequence uint64 `json:"sequence" msgpack:"seq"`
	Prefix   uint64 `json:"prefix,string" msgpack:"prefix"` // xxhash64 of the prefix text, see native.PrefixHashes
	Stored   bool   `json:"stored" msgpack:"stored"`        // false: evicted
	Tokens   int    `json:"tokens" msgpack:"tokens"`
}
