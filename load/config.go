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

	maxScheduled = 5_000_000 // of one run; the schedule is held in memory
)

// Kind says what a part calls.
type Kind string

// The kinds of part.
const (
	Chat  Kind = "chat"  // POST /v1/chat/completions, streamed
	Plain Kind = "plain" // any call under /svc/{service}
)

// Config describes a run.
type Config struct {
	Dialect     Dialect       // nil: Native
	Entries     []string      // base URLs that are asked which entry to use; not needed if all parts are direct
	Rate        float64       // requests a second over all parts, outside surges
	Duration    time.Duration // of the schedule
	Drain       time.Duration // DefaultDrain; after the schedule's end, for what is late or runs
	MaxInFlight int           // DefaultMaxInFlight; callers at work at once
	Seed        uint64        // of arrivals and prompts
	Parts       []Part        // the mix
	Surges      []Surge
	Expect      func(model string, messages []native.Message, tokens int) []string // answers to check chats by; nil: unchecked
}

// Part is one sort of request in the mix.
type Part struct {
	Name      string // unique; in the report
	Weight    float64
	Kind      Kind
	Service   string // chat: the request's model field
	Workspace string // in the report only
	Key       string // bearer key; never in the report
	Direct    string // host:port of an engine that is called directly in place of an entry

	Deadline         time.Duration // sent as Savoryreel-Deadline-Ms; 0: none, given up after DefaultTimeout
	FirstTokenTarget time.Duration // answers whose first token came within it count as on target; 0: all do

	PrefixBytes int    // chat: length of the shared system message; 0: none
	Prefixes    int    // chat: different system messages; at least 1
	PromptBytes int    // chat: length of the user message, which is new each time
	MaxTokens   int    // chat: DefaultMaxTokens
	Model       string // chat: the model behind Service, for Expect

	Method    string // plain: POST
	Path      string // plain: after /svc/{service}
	BodyBytes int    // plain
	Once      bool   // with an Idempotency-Key of its own
}

// Surge multiplies the rate of one part for a while.
type Surge struct {
	Part   string
	From   time.Duration // from the start of the run
	For    time.Duration
	Factor float64
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

// Validate returns all faults of the configuration together.
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
	add(c.maxRequests() <= maxScheduled, "the run would have more than %d requests", maxScheduled)
	return errors.Join(errs...)
}

// expected bounds the number of requests from above, surges at full weight.
func (c Config) maxRequests() float64 {
	n := c.Rate * c.Duration.Seconds()
	for _, s := range c.Surges {
		n += c.Rate * s.Factor * s.For.Seconds()
	}
	return n
}
