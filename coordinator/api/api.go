// Package api defines the messages that entries and control replicas exchange, and those that
// control replicas exchange with each other. The replicas store a catalogue of routes.
package api

import (
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/suspect"
)

const (
	// MaxEntryBytes bounds an entry of the replicated log. It exceeds the largest catalogue
	// that an operator can send.
	MaxEntryBytes = 6 << 20
	// MaxFrame bounds a message on a link, in bytes: the largest catalogue with its envelope.
	MaxFrame = MaxEntryBytes + 1<<20
	// maxBackoff bounds the delay between attempts to connect to a replica, so that a
	// recovered replica is used again within seconds.
	maxBackoff = 500 * time.Millisecond
)

// Heartbeats of the links between entries and replicas. Hundreds of entries have a link to
// each replica and a call on it that lasts a second or two, so more frequent heartbeats would
// outnumber the calls.
const (
	linkHeartbeatInterval = time.Second
	linkHeartbeatTimeout  = 3 * time.Second
)

// PoolConfig returns the configuration of the links of a process that calls control replicas.
// self describes that process.
func PoolConfig(self link.PeerInfo, clusterKey string) link.PoolConfig {
	cfg := link.PoolConfig{Self: self, ClusterKey: []byte(clusterKey), MaxFrame: MaxFrame, BackoffMax: maxBackoff}
	if self.Role == RoleEntry {
		cfg.HeartbeatInterval, cfg.HeartbeatTimeout = linkHeartbeatInterval, linkHeartbeatTimeout
	}
	return cfg
}

// ServerConfig returns the configuration of the links that a control replica accepts.
func ServerConfig(self link.PeerInfo, clusterKey string) link.ServerConfig {
	return link.ServerConfig{
		Self: self, ClusterKey: []byte(clusterKey), MaxFrame: MaxFrame,
		HeartbeatInterval: linkHeartbeatInterval, HeartbeatTimeout: linkHeartbeatTimeout,
	}
}

// Names of the methods on links.
const (
	MethodReplica  = "coordinator.replica" // one-way: a message of the replicated log
	MethodWatch    = "coordinator.watch"
	MethodRevise   = "coordinator.revise"
	MethodRead     = "coordinator.read"
	MethodRegister = "coordinator.register"
	MethodJoin     = "coordinator.join"
	MethodTrial    = "coordinator.trial"    // at any replica
	MethodDocument = "coordinator.document" // a part of the catalogue
	// MethodServerTokens asks for tokens of a server that names a limit, at any replica, and
	// MethodLeaderServerTokens at the leader.
	MethodServerTokens       = "coordinator.tokens"
	MethodLeaderServerTokens = "coordinator.tokens.leader"
	// MethodHoldLeaves passes leaves of backend servers to another replica, which holds them when it replies.
	MethodHoldLeaves = "coordinator.leaves"
	// MethodRecordOrigins, MethodFindOrigin and MethodServerStart are served by any replica.
	MethodRecordOrigins = "coordinator.origins.record"
	MethodFindOrigin    = "coordinator.origins.find"
	MethodServerStart   = "coordinator.server.start"
	// MethodCommitVersions adds versions of services to the replicated log, at the leader.
	MethodCommitVersions = "coordinator.versions.commit"
	// MethodEndedUsage asks another replica for the usage of entries that have ended.
	MethodEndedUsage = "coordinator.usage.ended"
	// MethodLeaderTrial is MethodTrial at the leader.
	MethodLeaderTrial = "coordinator.trial.leader"
	// MethodStartRollout and MethodReadRollouts are served by the leader.
	MethodStartRollout = "coordinator.rollout.start"
	MethodReadRollouts = "coordinator.rollout.read"
	// MethodRolloutReports asks another replica for reports of entries on a rollout.
	MethodRolloutReports = "coordinator.rollout.reports"
)

// Roles of the processes that send a WatchRequest.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Messages that are exchanged hundreds of times a second are encoded as arrays: a new field
// goes last, and none is removed.

// WatchRequest requests the changes at a control replica since the sender's last call. The
// replica holds the call open until something changes, or until Wait has passed. The request
// is also the heartbeat of its sender.
type WatchRequest struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Role  string           `msgpack:"role"`
	Entry *directory.Entry `msgpack:"entry,omitempty"` // the sender's own record, if it is an entry

	// Incarnation and Seen are copied from the last reply of this replica; zero in the first call.
	Incarnation  uint64        `msgpack:"life"`
	Seen         uint64        `msgpack:"seen"`
	HasCatalogue bool          `msgpack:"has"` // the sender has a catalogue
	Revision     uint64        `msgpack:"rev"` // of that catalogue
	Wait         time.Duration `msgpack:"wait"`

	// RevisionOnly reports that another replica sends the sender the loads and names of other
	// entries. This replica replies with the number of a revision above NotifiedRevision, without
	// its content.
	RevisionOnly     bool   `msgpack:"revOnly,omitempty"`
	NotifiedRevision uint64 `msgpack:"told,omitempty"`

	// Detail says what the reply contains on servers and other entries.
	Detail Detail `msgpack:"detail,omitempty"`
	// Missing holds the keys of servers whose records the sender lacks although this replica
	// has reported their statuses. The reply contains the records.
	Missing []directory.Key `msgpack:"missing,omitempty"`
	// Unreached holds the link addresses of the replicas that the sender, a replica, does not
	// reach. The reply contains the heartbeats that they have forwarded.
	Unreached []string `msgpack:"unreached,omitempty"`

	// LiveDigest is the digest of the newest list of live entries that the sender has.
	LiveDigest uint64 `msgpack:"liveDigest,omitempty"`

	// Usage holds the sender's counts of recent windows. The Follower removes those that this
	// incarnation of the replica has received.
	Usage []WindowUsage `msgpack:"usage,omitempty"`
	// OpenWindow is the window in which the sender counts now. Counts of earlier windows are
	// final.
	OpenWindow int64         `msgpack:"open,omitempty"`
	Loads      []ServerLoad  `msgpack:"loads,omitempty"`   // complete list of what the sender has running
	Share      limit.Report  `msgpack:"shareOf,omitempty"` // what an entry reports of its share of the limits
	Work       []ServiceWork `msgpack:"work,omitempty"`
	// AllEntries requests the records of all entries besides what changed on servers.
	AllEntries bool `msgpack:"allEntries,omitempty"`
	// BrokenOff holds the sender's records of requests that broke off on servers, as far as they
	// changed since this incarnation of the replica received them.
	BrokenOff []suspect.Record `msgpack:"brokenOff,omitempty"`
	// SuspectsVersion is copied from the last reply of this replica.
	SuspectsVersion uint64 `msgpack:"suspects,omitempty"`
	// NoDocument reports that the sender fetches the catalogue with MethodDocument: the reply has
	// only its revision.
	NoDocument bool `msgpack:"noDoc,omitempty"`
	// RolloutsVersion is copied from the last reply of this replica.
	RolloutsVersion uint64 `msgpack:"rolloutsVersion,omitempty"`
	// Rollouts holds the sender's samples of each rollout in progress.
	Rollouts []RolloutReport `msgpack:"rollouts,omitempty"`
}

// Detail is how much a reply says on the servers and entries that changed.
type Detail uint8

// The details. One replica sends an entry complete records; statuses from all others are
// enough for the entry to notice a server that leaves or is unreachable.
const (
	DetailRecords  Detail = iota // complete records
	DetailStatuses               // statuses of servers
	DetailNone                   // nothing, and the call returns at once: an entry's first call
)

// WantsRevision reports whether the sender must be notified of a catalogue of this revision.
func (r *WatchRequest) WantsRevision(revision uint64) bool {
	if r.RevisionOnly || r.NoDocument {
		return revision > r.NotifiedRevision
	}
	return r.Lacks(revision)
}

// ServerLoad is the load that the requests of entries put on a backend server.
type ServerLoad struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server  string `msgpack:"s"`
	Running int    `msgpack:"n"`           // number of requests
	Prefill int    `msgpack:"p,omitempty"` // prompt tokens of requests that have no answer yet
}

// ServiceWork is the prefill work that the sender has sent to the servers of a service.
type ServiceWork struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string  `msgpack:"s"`
	Tokens  uint64  `msgpack:"n"`           // prompt tokens, since the sender's start, that no server was known to cache
	Rate    float64 `msgpack:"r,omitempty"` // estimated prefill rate of a server in tokens per second; 0: no estimate yet
	Samples int     `msgpack:"k,omitempty"` // number of the sender's samples that Rate was learned from
}

// Lacks reports whether the sender has no catalogue or one older than revision. The first
// revision may be 0, so Revision alone does not show whether the sender has a catalogue.
func (r *WatchRequest) Lacks(revision uint64) bool { return !r.HasCatalogue || revision > r.Revision }

// WindowUsage counts the requests that started to run at one entry in one window.
type WindowUsage struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Window int64            `msgpack:"w"` // Unix time divided by the window's length
	Counts map[string]int64 `msgpack:"c"` // requests by workspace
}

// WatchReply holds the changes at a control replica that the sender of the request has not
// received from it.
type WatchReply struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation uint64             `msgpack:"life"` // changes when the replica restarts; Seen then starts from 0
	Seen        uint64             `msgpack:"seen"`
	Servers     []directory.Server `msgpack:"servers,omitempty"`
	Entries     []directory.Entry  `msgpack:"entries,omitempty"`
	Statuses    directory.Statuses `msgpack:"statuses,omitempty"` // if DetailStatuses is requested, of all servers that changed; otherwise of those of which no more changed
	// ServerBeats and EntryBeats are the heartbeats without a change, sent to replicas.
	ServerBeats directory.Heartbeats `msgpack:"serverBeats,omitempty"`
	EntryBeats  directory.Heartbeats `msgpack:"entryBeats,omitempty"`

	Zone        string   `msgpack:"zone"` // of the replica
	Revision    uint64   `msgpack:"rev"`
	Document    []byte   `msgpack:"doc,omitempty"` // catalogue of Revision, if the sender lacks it and sets neither RevisionOnly nor NoDocument
	Replicas    []string `msgpack:"replicas"`      // link addresses of all replicas
	LiveEntries int      `msgpack:"live"`          // number of entries that accept requests of callers
	// LiveDigest is the digest of the names of those entries. LiveNames holds the sorted names
	// if the sender's list differs; only the replica that sends the catalogue sends them.
	LiveDigest uint64        `msgpack:"liveDigest,omitempty"`
	LiveNames  []string      `msgpack:"liveNames,omitempty"`
	HasLoads   bool          `msgpack:"hasLoads"`
	Loads      []ServerLoad  `msgpack:"loads,omitempty"` // what all other entries have running at the most loaded servers, if HasLoads
	Work       []ServiceWork `msgpack:"work,omitempty"`  // prefill rates that the entries have estimated
	Share      limit.Reply   `msgpack:"share"`           // on an entry's share of the limits
	Clock      time.Time     `msgpack:"clock"`           // the replica's current time
	// Packed holds the records of servers for an entry; Servers then holds only those that were
	// requested by their keys.
	Packed directory.PackedServers `msgpack:"packed,omitempty"`
	// Suspects holds the fingerprints of all suspects (package suspect), sorted, if HasSuspects; the
	// sender of the request has those of SuspectsVersion otherwise.
	HasSuspects     bool     `msgpack:"hasSuspects,omitempty"`
	Suspects        []uint64 `msgpack:"suspects,omitempty"`
	SuspectsVersion uint64   `msgpack:"suspectsVersion,omitempty"`
	// Held is how long the replica held the call before it read what it reports.
	Held time.Duration `msgpack:"held,omitempty"`
	// Rollouts holds the last rollout of each service, sorted by service, if HasRollouts; the sender of
	// the request has those of RolloutsVersion otherwise. A replica that lags, or has just started, may
	// hold earlier ones or none: the receiver merges them (Rollout.Newer). A reply that holds a server of
	// a rollout's candidate version never lacks the rollout, unless an earlier reply of that incarnation
	// of the replica had it.
	HasRollouts     bool      `msgpack:"hasRollouts,omitempty"`
	Rollouts        []Rollout `msgpack:"rollouts,omitempty"`
	RolloutsVersion uint64    `msgpack:"rolloutsVersion,omitempty"`
	// Mixed holds the services whose servers of several versions may have begun streams that can still be
	// taken up, sorted.
	Mixed []string `msgpack:"mixed,omitempty"`
	// SentAt is when the request was sent, by the clock of its sender.
	SentAt time.Time `msgpack:"-"`
}

// ReviseRequest carries a complete catalogue as the operator sent it.
type ReviseRequest struct {
	Revision uint64 `msgpack:"rev"`
	Document []byte `msgpack:"doc"`
}

// ReviseReply returns the revision that is in force after the request.
type ReviseReply struct {
	InForce uint64 `msgpack:"rev"`
}

// ReadRequest requests the newest catalogue from the leader.
type ReadRequest struct{}

// ReadReply returns a catalogue at least as new as any acknowledged before the request.
type ReadReply struct {
	Revision uint64 `msgpack:"rev"`
	Document []byte `msgpack:"doc"`
}

// RegisterRequest requests a replica id that was never used. Requests with the same nonce
// get the same id, so that a retry is safe.
type RegisterRequest struct {
	Address string `msgpack:"addr"`
	Nonce   string `msgpack:"nonce"`
}

// RegisterReply returns the id.
type RegisterReply struct {
	ID uint64 `msgpack:"id"`
}

// TrialRequest asks for a trial of a request whose properties are suspects, of each of them. The reply
// is a suspect.Grant. With Answered it reports that a server has answered the request. Ask is random, and
// the same when the request is sent again.
type TrialRequest struct {
	Fingerprints []uint64 `msgpack:"fps"`
	Answered     bool     `msgpack:"answered,omitempty"`
	Ask          uint64   `msgpack:"ask,omitempty"`
}

// JoinRequest asks to add the replica as a learner. The replica repeats it until it is a
// member.
type JoinRequest struct {
	ID      uint64 `msgpack:"id"`
	Address string `msgpack:"addr"`
}

// JoinReply returns the membership status of the replica.
type JoinReply struct {
	Member  bool `msgpack:"member"`
	Retired bool `msgpack:"retired"` // the id is no longer valid; the replica must register a new one
}

// HoldLeavesRequest passes leaves of backend servers to another replica.
type HoldLeavesRequest struct {
	Servers []directory.Server `msgpack:"servers"` // leaving or gone, as the sender has them
	// Unstated holds the ids of those servers that did not say which start of them has left: whichever
	// the receiver knows has left, too.
	Unstated []string `msgpack:"unstated,omitempty"`
}

// HoldLeavesReply says that the receiver holds the leaves.
type HoldLeavesReply struct {
	Newer []directory.Server `msgpack:"newer,omitempty"` // records of these servers with a later incarnation
}
