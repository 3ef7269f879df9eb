package instance

import "time"

// State is where an instance stands in its life.
type State string

// The states. An instance that has left comes back only under a higher
// incarnation.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving" // finishes what it has, takes nothing new
	StateGone    State = "gone"
)

// Announcement is what a backend server says of itself, as JSON, to any entry:
// POST /v1/backend-servers. It repeats it as its heartbeat. A higher
// (Incarnation, Sequence) replaces a lower one, whatever order they arrive in.
type Announcement struct {
	ID          string `json:"id" msgpack:"id"`
	Incarnation uint64 `json:"incarnation" msgpack:"inc"` // one more at each start; a clock reading will do
	Sequence    uint64 `json:"sequence" msgpack:"seq"`    // one more at each announcement of one incarnation
	Address     string `json:"address" msgpack:"addr"`    // host:port that serves HTTP
	Region      string `json:"region" msgpack:"region"`
	Zone        string `json:"zone" msgpack:"zone"`
	Class       string `json:"machineClass" msgpack:"class"` // machine class, which has a price
	State       State  `json:"state" msgpack:"state"`

	// Model servers name a model and the adapters they hold; plain servers name services.
	Model    string   `json:"model,omitempty" msgpack:"model"`
	Version  string   `json:"version,omitempty" msgpack:"version"`
	Adapters []string `json:"adapters,omitempty" msgpack:"adapters"`
	Role     string   `json:"role,omitempty" msgpack:"role"`
	Services []string `json:"services,omitempty" msgpack:"services"`

	Slots        int  `json:"slots" msgpack:"slots"`               // requests it runs side by side
	ChecksFences bool `json:"checksFences" msgpack:"checks"`       // refuses orders with an old fencing number
	Load         Load `json:"load" msgpack:"load"`                 // as of Load.At
	LeavingIn    int  `json:"leavingInMs,omitempty" msgpack:"lim"` // milliseconds of notice, with StateLeaving
}

// Load is a backend server's report of its load. It is old by the time it is read.
type Load struct {
	At           time.Time `json:"at" msgpack:"at"`
	Running      int       `json:"running" msgpack:"run"`
	Waiting      int       `json:"waiting" msgpack:"wait"`
	TokensPerSec float64   `json:"tokensPerSecond" msgpack:"tps"`
	CacheUsed    float64   `json:"cacheUsed" msgpack:"cache"` // share of the prefix cache in use, 0..1
	Prefill      int       `json:"prefill" msgpack:"prefill"` // prompt tokens that wait to be prefilled, as far as known
}

// CacheEvent says that a prefix came into or left a model server's cache.
// Events of one incarnation are numbered from 1 without gaps; a receiver that
// sees a gap asks for the full listing (GET /v1/cache at the server).
type CacheEvent struct {
	Sequence uint64 `json:"sequence" msgpack:"seq"`
	Prefix   uint64 `json:"prefix,string" msgpack:"prefix"` // xxhash64 of the prefix text, see native.PrefixHashes
	Stored   bool   `json:"stored" msgpack:"stored"`        // false: evicted
	Tokens   int    `json:"tokens" msgpack:"tokens"`
}
