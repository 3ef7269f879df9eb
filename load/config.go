package load

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/native"
)

// Defaults and bounds of a Config.
const (
	DefaultMaxInFlight = 256
	DefaultDrain       = 10 * time.Second
	DefaultTimeout     = time.Minute
	DefaultMaxTokens   = 32

	maxScheduled = 5_000_000 // requests of one run; the schedule is held in memory
)

// Kind is the type of request that a part sends.
type Kind string

// The kinds of request.
const (
	Chat  Kind = "chat"  // POST /v1/chat/completions, streamed
	Plain Kind = "plain" // any call under /svc/{service}
)

// Config configures a run.
type Config struct {
	Dialect     Dialect       // nil: Native
	Entries     []string      // base URLs from which the list of entries is fetched; not needed if all parts are direct
	Rate        float64       // requests per second over all parts, without surges
	Duration    time.Duration // of the schedule
	Drain       time.Duration // how long requests may still start and run after Duration; 0: DefaultDrain
	MaxInFlight int           // concurrent requests; 0: DefaultMaxInFlight
	Seed        uint64        // of the schedule; the same seed gives the same arrivals
	Parts       []Part        // the request mix
	Surges      []Surge
	Expect      func(model string, messages []native.Message, tokens int) []string // returns the expected tokens of a chat answer; nil: answers are not checked
}

// Part is one type of request in the mix.
type Part struct {
	Name      string  // unique; appears in the report
	Weight    float64 // its fraction of the rate is Weight over the sum of all weights
	Kind      Kind
	Service   string // chat: the request's model field
	Workspace string // only for the report
	Key       string // bearer token; never in the report
	Direct    string // host:port of a model engine to call instead of an entry; empty: call entries

	Deadline         time.Duration // sent as Savoryreel-Deadline-Ms; 0: not sent, and the request times out after DefaultTimeout
	FirstTokenTarget time.Duration // answers whose first token arrives within it count as on target; 0: all answers do

	PrefixBytes int    // chat: length of the shared system message; 0: none
	Prefixes    int    // chat: number of different system messages; 0: 1
	PromptBytes int    // chat: length of the filler in the user message, which differs for each request
	MaxTokens   int    // chat; 0: DefaultMaxTokens
	Model       string // chat: model name passed to Expect; empty: Service

	Method    string // plain; empty: POST
	Path      string // plain: path after /svc/{service}
	BodyBytes int    // plain
	Once      bool   // sends a unique Idempotency-Key with each request
}

// Surge multiplies the rate of one part during an interval of the run.
type Surge struct {
	Part   string
	From   time.Duration // start, since the start of the run
	For    time.Duration // length
	Factor float64       // 0: no requests
}

func (c Config) withDefaults() Config {
	if c.Dialect == nil {
		c.Dialect = Native{}
	}
	c.Drain = cmp.Or(c.Drain, DefaultDrain)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	parts := make([]Part, len(c.Parts))
	for i, p := range c.Parts {
		parts[i] = p.withDefaults()
	}
	c.Parts = parts
	return c
}

func (p Part) withDefaults() Part {
	p.Prefixes = cmp.Or(p.Prefixes, 1)
	p.MaxTokens = cmp.Or(p.MaxTokens, DefaultMaxTokens)
	p.Method = cmp.Or(p.Method, http.MethodPost)
	p.Model = cmp.Or(p.Model, p.Service)
	return p
}

func (p Part) timeout() time.Duration {
	if p.Deadline == 0 {
		return DefaultTimeout
	}
	return p.Deadline + deadlineGrace
}

// Validate returns all errors of the configuration, joined.
func (c Config) Validate() error {
	var errs []error
	add := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	add(c.Rate > 0, "rate must be above 0")
	add(c.Duration > 0, "duration must be above 0")
	add(c.MaxInFlight >= 0, "max in flight must not be negative")
	add(len(c.Parts) > 0, "there must be a part")
	names := make(map[string]bool)
	for _, p := range c.Parts {
		add(p.Name != "" && !names[p.Name], "part %q: name must be set and unique", p.Name)
		names[p.Name] = true
		add(p.Weight > 0, "part %q: weight must be above 0", p.Name)
		add(p.Kind == Chat || p.Kind == Plain, "part %q: kind must be %s or %s", p.Name, Chat, Plain)
		add(p.Service != "", "part %q: service must be set", p.Name)
		add(p.Direct != "" || len(c.Entries) > 0, "part %q: there must be an entry or a direct address", p.Name)
	}
	for _, s := range c.Surges {
		add(names[s.Part], "surge: there is no part %q", s.Part)
		add(s.Factor >= 0 && s.From >= 0 && s.For >= 0, "surge of %q: must not be negative", s.Part)
	}
	add(c.estimatedRequests() <= maxScheduled, "the run would have more than %d requests", maxScheduled)
	return errors.Join(errs...)
}

// estimatedRequests returns a rough number of requests of the run. It applies each surge
// to the rate of all parts and adds up overlapping surges instead of multiplying them.
func (c Config) estimatedRequests() float64 {
	n := c.Rate * c.Duration.Seconds()
	for _, s := range c.Surges {
		n += c.Rate * s.Factor * s.For.Seconds()
	}
	return n
}
