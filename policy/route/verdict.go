package route

import (
	"slices"
	"time"
)

// Request is the input of a routing decision.
type Request struct {
	Now          time.Time
	Seed         uint64   // random value, a new one for each decision
	Prefixes     []uint64 // see native.PrefixHashes; empty for a plain service
	Key          uint64   // groups related requests without Prefixes; 0: none
	PromptTokens int      // estimate for the whole prompt
	SharedTokens int      // length of the prefix that other requests share
	Adapter      string   // must be loaded; empty: none needed
	Version      string   // must be served; empty: any
	Zone         string   // of the entry
	Region       string   // of the entry
	Exclude      []string // server ids not to use, such as those already tried
	NoProbe      bool     // must not probe a slow server: urgent or not repeatable

	AvoidVersions []string // must not be served; empty: none
	SameVersion   bool     // Version must be served also if it is empty, that of servers which name none
}

// Reason is why a server was chosen, or why none was.
type Reason uint8

// Reasons. Those from ReasonNoServer on come without a server.
const (
	ReasonCachedPrefix Reason = iota // has a cached prefix and the lowest cost
	ReasonRendezvous                 // first in the rendezvous order of the prefix or key
	ReasonSpread                     // the first server in the rendezvous order is at its load bound
	ReasonLeastCost                  // the cheapest candidate
	ReasonProbe                      // probe of a server with a reduced weight
	ReasonPinned                     // the only server that the request may run on
	ReasonAllAtBound                 // every server is at its load bound: the cheapest of a random sample
	ReasonNoServer                   // no serving server is known
	ReasonNoVersion                  // no serving server has a version that the request may use
	ReasonNoAdapter                  // no serving server has the adapter loaded
	ReasonAllExcluded                // every server that could run the request is excluded
	ReasonAllPaused                  // every server that could run the request has asked for a pause
)

// String returns the reason in lower case with underscores, for logs.
func (r Reason) String() string {
	names := [...]string{
		"cached_prefix", "rendezvous", "spread", "least_cost", "probe", "given",
		"all_at_bound", "no_server", "no_version", "no_adapter", "all_excluded", "all_paused",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// maxCandidates is two each by cached prefix, by rendezvous and at random.
const maxCandidates = 6

// Candidate is a server that a decision scored.
type Candidate struct {
	Server       string
	Score        time.Duration // expected time to first token, with penalties
	CachedTokens int           // prompt tokens expected in its prefix cache
	Load         int           // estimated running and waiting requests
	QueuedTokens int           // estimated prompt tokens to read before those of the request
	Slots        int           // requests that the server runs at once
}

// Verdict is a routing decision. It holds no pointer into the Router.
type Verdict struct {
	Candidate          // the chosen server; Server is empty if there is none
	Incarnation uint64 // of the chosen server
	Address     string // host:port of the chosen server
	Version     string // of the chosen server
	Reason      Reason
	RetryAfter  time.Duration // with ReasonAllPaused: until the first pause ends

	uncachedTokens int
	unsureTokens   int // of those: in the part that other requests share
	runnerUpCount  int
	runnersUp      [maxCandidates - 1]Candidate
}

// OK reports whether a server was chosen.
func (v *Verdict) OK() bool { return v.Server != "" }

// RunnersUp returns the other scored servers, cheapest first, for the log. The slice is part
// of v.
func (v *Verdict) RunnersUp() []Candidate { return v.runnersUp[:v.runnerUpCount] }

// BesideRoom reports whether the chosen server has no free slot while another candidate has one.
func (v *Verdict) BesideRoom() bool {
	return v.Load >= v.Slots && slices.ContainsFunc(v.RunnersUp(), func(c Candidate) bool { return c.Load < c.Slots })
}

// UncachedTokens returns the prompt tokens that the server is expected to prefill.
func (v *Verdict) UncachedTokens() int { return v.uncachedTokens }
