// Package rollout decides how a service moves to a new version of its backend servers.
//
// Load pattern: a service whose servers of the new version answer some requests with errors
// or several times slower than before, at once or later, under load only or on one route
// only.
//
// Without it a faulty version gets all requests of a service before anyone has noticed.
//
// The servers of the new version, the candidate, get a bounded share of the requests until
// Judge has compared their answers with those of the stable servers. Then they get all
// requests or none. The package does no I/O and reads no clock.
package rollout

import "time"

// Phase is the state of a rollout.
type Phase uint8

// The phases. A rollout starts in Canary and ends in Completed or RolledBack.
const (
	Canary     Phase = iota + 1 // the candidate gets a bounded share of the requests
	Shifting                    // the candidate is judged good and gets all new requests
	Completed                   // the stable servers are stopped
	RolledBack                  // the candidate gets no requests
)

var phaseNames = map[Phase]string{Canary: "canary", Shifting: "shifting", Completed: "completed", RolledBack: "rolled_back"}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Limits are the bounds on what a faulty candidate may do.
type Limits struct {
	// Share is the fraction of the service's requests that may reach the candidate between
	// the order and its deadline, and Slack the requests beyond it.
	Share float64
	Slack int
	// RollbackWithin is the time from the candidate's 50th bad answer until it must get no
	// more requests.
	RollbackWithin time.Duration
}

// Enabled reports whether a site has set the bounds, without which there are no rollouts.
func (l Limits) Enabled() bool { return l.Share > 0 && l.RollbackWithin > 0 }

// LatencyBuckets is the number of buckets of a Sample, see LatencyBucket.
const LatencyBuckets = 24

// Sample counts requests that ended on the servers of one version on one route. Counts only
// grow, so that samples of different entries are added and a later one of an entry replaces
// an earlier one.
type Sample struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Ended uint64 `msgpack:"n"` // requests that ran, whatever the answer
	Bad   uint64 `msgpack:"b"` // of those: server errors, and answers that broke off or were unusable
	// Latency counts the others by the time to their first byte.
	Latency [LatencyBuckets]uint32 `msgpack:"l"`
}

// RouteSample holds the samples of one route.
type RouteSample struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Route     string `msgpack:"r"`
	Stable    Sample `msgpack:"s"`
	Candidate Sample `msgpack:"c"`
}

// Input is the input of Judge.
type Input struct {
	Phase    Phase
	Elapsed  time.Duration // since the order
	Duration time.Duration // from the order to its deadline
	// InPhase is the time since the phase began.
	InPhase time.Duration
	Routes  []RouteSample
	// Earlier holds the samples as they were some time before, see History; nil if unknown.
	Earlier []RouteSample
	// CandidateServers and StableServers count the servers that serve.
	CandidateServers, StableServers int
	Limits                          Limits
}

// Verdict is the result of Judge.
type Verdict struct {
	Phase  Phase // the same as in the input if nothing changes
	Reason Reason
	Route  string // that decided; empty if it was all of them
}

// Reason is why a phase begins or goes on.
type Reason uint8

// The reasons of a verdict.
const (
	ReasonCollecting  Reason = iota // there are too few answers to judge
	ReasonNoCandidate               // no server of the new version serves
	ReasonFailures                  // the candidate fails more often than the stable servers
	ReasonSlow                      // the candidate is several times slower than the stable servers
	ReasonHealthy                   // the candidate is as good as the stable servers
	ReasonDrained                   // the requests on the stable servers have had time to end
	ReasonUndecided                 // the deadline is near and the answers are inconclusive
)

var reasonNames = map[Reason]string{
	ReasonCollecting: "collecting", ReasonNoCandidate: "no_candidate", ReasonFailures: "failures", ReasonSlow: "slow",
	ReasonHealthy: "healthy", ReasonDrained: "drained", ReasonUndecided: "undecided",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }
