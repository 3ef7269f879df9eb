package route

import "time"

// Request is what a routing decision knows of the request.
type Request struct {
	Now          time.Time
	Seed         uint64   // fresh randomness for this decision
	Prefixes     []uint64 // see native.PrefixHashes; empty for a plain service
	Key          uint64   // groups related requests that have no Prefixes; 0: none
	PromptTokens int      // estimate of the whole prompt
	SharedTokens int      // of these, the beginning that other requests share
	Adapter      string   // must be loaded; empty: none needed
	Version      string   // must be served; empty: any
	Zone         string   // of the entry
	Region       string   // of the entry
	Exclude      []string // server ids not to use, as those already tried
	NoProbe      bool     // must not be the trial of a slow server: urgent or not repeatable work
}

// Reason says why a server was chosen, or why none was.
type Reason uint8

// The reasons. Those from ReasonNoServer on come without a server.
const (
	ReasonCachedPrefix Reason = iota // holds the longest cached prefix at the lowest cost
	ReasonRendezvous                 // first in the rendezvous order of the prefix or key
	ReasonSpread                     // servers that would come first are at their load bound
	ReasonLeastCost                  // the cheapest of a random sample
	ReasonProbe                      // trial of a server that had been slow
	ReasonPinned                     // the only one that the request may run on
	ReasonAllAtBound                 // every server is at its bound: the cheapest of a random sample
	ReasonNoServer                   // no serving server is known
	ReasonNoVersion                  // servers serve, none the version asked for
	ReasonNoAdapter                  // servers serve, none has the adapter loaded
	ReasonAllExcluded                // every server that could run it is excluded
)

// String returns the reason in lower case with underscores, for logs.
func (r Reason) String() string {
	names := [...]string{
		"cached_prefix", "rendezvous", "spread", "least_cost", "probe", "given",
		"all_at_bound", "no_server", "no_version", "no_adapter", "all_excluded",
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
	Load         int           // requests running or waiting, as estimated
	QueuedTokens int           // prompt tokens that are to be read there first, as estimated
}

// Verdict is a routing decision. It holds no pointer into the Router.
type Verdict struct {
	Candidate          // the chosen server; Server is empty if there is none
	Incarnation uint64 // of the chosen server
	Address     string // host:port of the chosen server
	Reason      Reason

	uncachedTokens int
	runnerUpCount  int
	runnersUp      [maxCandidates - 1]Candidate
}

// OK reports whether a server was chosen.
func (v *Verdict) OK() bool { return v.Server != "" }

// RunnersUp returns the other servers scored, cheapest first, for the log. The
// slice is part of v.
func (v *Verdict) RunnersUp() []Candidate { return v.runnersUp[:v.runnerUpCount] }

// UncachedTokens returns the prompt tokens that the server is expected to prefill.
func (v *Verdict) UncachedTokens() int { return v.uncachedTokens }
