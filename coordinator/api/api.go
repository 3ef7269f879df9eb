// Package api holds the messages between entries and the control replicas that
// keep a catalogue of routes, and between those replicas.
package api

import (
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
)

const (
	// MaxEntryBytes bounds an entry of the replicated log. It leaves room for the
	// largest catalogue that callers' limits let an operator send.
	MaxEntryBytes = 6 << 20
	// MaxFrame bounds a message on a link: the largest catalogue with its envelope.
	MaxFrame = MaxEntryBytes + 1<<20
	// backoffMax is the longest pause between attempts to reach a replica: one that
	// returns has to be of use within seconds.
	maxBackoff = 500 * time.Millisecond
)

// PoolConfig sets up the links of a process that calls control replicas.
func PoolConfig(self link.PeerInfo, clusterKey string) link.PoolConfig {
	return link.PoolConfig{Self: self, ClusterKey: []byte(clusterKey), MaxFrame: MaxFrame, BackoffMax: maxBackoff}
}

// The methods on links.
const (
	MethodReplica  = "coordinator.replica" // notice: a message of the replicated log
	MethodWatch    = "coordinator.watch"
	MethodRevise   = "coordinator.revise"
	MethodRead     = "coordinator.read"
	MethodRegister = "coordinator.register"
	MethodJoin     = "coordinator.join"
)

// Roles of the processes that watch.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// WatchRequest asks for what is new at a control replica. The call is kept
// waiting until there is something, or until Wait is over. It is also the sign
// of life of the process that sends it.
type WatchRequest struct {
	Role  string           `msgpack:"role"`
	Entry *directory.Entry `msgpack:"entry,omitempty"` // an entry's record of itself

	// Incarnation and Seen are those of the last reply of this replica; zero at first.
	Incarnation  uint64        `msgpack:"life"`
	Seen         uint64        `msgpack:"seen"`
	HasCatalogue bool          `msgpack:"has"` // the sender has a catalogue
	Revision     uint64        `msgpack:"rev"` // of that catalogue
	Wait         time.Duration `msgpack:"wait"`

	// RevisionOnly says that another replica sends the sender the catalogue, and what
	// other entries have running. It is to be told of revisions above Told, without their
	// content.
	RevisionOnly     bool   `msgpack:"revOnly,omitempty"`
	NotifiedRevision uint64 `msgpack:"told,omitempty"`

	// LiveDigest is that of the newest list of live entries that the sender has.
	LiveDigest uint64 `msgpack:"liveDigest,omitempty"`

	// Usage leaves out what the replica's life was told of before.
	Usage []WindowUsage `msgpack:"usage,omitempty"` // all that the sender counted, newest windows
	// OpenWindow is the window in which the sender counts now: nothing more comes for
	// earlier ones.
	OpenWindow int64        `msgpack:"open,omitempty"`
	Loads      []ServerLoad `msgpack:"loads,omitempty"` // what the sender has running, none left out
	// ShareDivisor is the number of which the sender's largest share of the limits is a part;
	// 0 if it has none.
	ShareDivisor int           `msgpack:"shareOf,omitempty"`
	Work         []ServiceWork `msgpack:"work,omitempty"`
}

// WantsRevision reports whether a catalogue of this revision is news to the sender.
func (r *WatchRequest) WantsRevision(revision uint64) bool {
	if r.RevisionOnly {
		return revision > r.NotifiedRevision
	}
	return r.Lacks(revision)
}

// ServerLoad is what runs and waits at a backend server.
type ServerLoad struct {
	Server  string `msgpack:"s"`
	Running int    `msgpack:"n"`           // requests
	Prefill int    `msgpack:"p,omitempty"` // prompt tokens of those that have no answer yet
}

// ServiceWork is how much the sender has given the servers of a service to read.
type ServiceWork struct {
	Service string  `msgpack:"s"`
	Tokens  uint64  `msgpack:"n"`           // prompt tokens since its start that no server was known to cache
	Rate    float64 `msgpack:"r,omitempty"` // tokens that a server reads in a second, as it has learnt; 0: not yet
}

// Lacks reports whether the sender lacks a catalogue of this revision. A first
// revision may be 0, so having none is not told by the number.
func (r *WatchRequest) Lacks(revision uint64) bool { return !r.HasCatalogue || revision > r.Revision }

// WindowUsage is what began to run at one entry in one window.
type WindowUsage struct {
	Window int64            `msgpack:"w"` // Unix time divided by the window's length
	Counts map[string]int64 `msgpack:"c"` // requests by workspace
}

// WatchReply is what a control replica knows beyond what the sender has seen.
type WatchReply struct {
	Incarnation uint64             `msgpack:"life"` // changes when the replica starts anew; Seen counts from 0 then
	Seen        uint64             `msgpack:"seen"`
	Servers     []directory.Server `msgpack:"servers,omitempty"`
	Entries     []directory.Entry  `msgpack:"entries,omitempty"`
	Revision    uint64             `msgpack:"rev"`
	Document    []byte             `msgpack:"doc,omitempty"` // of Revision, if the sender has an older one and wants it
	Replicas    []string           `msgpack:"replicas"`      // link addresses of all replicas
	LiveEntries int                `msgpack:"live"`          // entries that take callers
	// LiveDigest stands for those entries, and LiveNames are they, in order, where the
	// sender has another list: names come from the replica that sends the catalogue.
	LiveDigest uint64          `msgpack:"liveDigest,omitempty"`
	LiveNames  []string        `msgpack:"liveNames,omitempty"`
	HasLoads   bool            `msgpack:"hasLoads"`
	Loads      []ServerLoad    `msgpack:"loads,omitempty"` // what all other entries have running, none left out, if HasLoads
	Work       []ServiceWork   `msgpack:"work,omitempty"`  // rates that the entries have learnt
	ShareVote  limit.ShareVote `msgpack:"share"`
	Clock      time.Time       `msgpack:"clock"` // the replica's time of day
	// Asked is when the sender made the call, by its own clock.
	SentAt time.Time `msgpack:"-"`
}

// ReviseRequest brings a catalogue, whole, as the operator sent it.
type ReviseRequest struct {
	Revision uint64 `msgpack:"rev"`
	Document []byte `msgpack:"doc"`
}

// ReviseReply says which revision is in force after the request.
type ReviseReply struct {
	InForce uint64 `msgpack:"rev"`
}

// ReadRequest asks the leader for the newest catalogue.
type ReadRequest struct{}

// ReadReply is the newest catalogue that was acknowledged before the request.
type ReadReply struct {
	Revision uint64 `msgpack:"rev"`
	Document []byte `msgpack:"doc"`
}

// RegisterRequest asks for a replica id that was never used. The same nonce gets the
// same id.
type RegisterRequest struct {
	Address string `msgpack:"addr"`
	Nonce   string `msgpack:"nonce"`
}

// RegisterReply gives the id.
type RegisterReply struct {
	ID uint64 `msgpack:"id"`
}

// JoinRequest asks to be taken in as a learner, again and again until it is.
type JoinRequest struct {
	ID      uint64 `msgpack:"id"`
	Address string `msgpack:"addr"`
}

// JoinReply says where the replica stands.
type JoinReply struct {
	Member  bool `msgpack:"member"`
	Retired bool `msgpack:"retired"` // its id was given up for good; it must begin anew
}
