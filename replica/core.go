package replica

import (
	"time"
)

// Role is what a replica does in its term.
type Role uint8

// The roles. A learner is always a follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	default:
		return "leader"
	}
}

// Core is one replica's protocol. It is not safe for concurrent use. Every input
// carries the replica's monotonic clock, as a duration since any fixed point.
type Core struct {
	cfg             Config
	now             time.Duration
	hardState       HardState // Term and Vote; the log holds the commit index
	syncedHardState HardState // as synced
	log             entryLog

	role   Role
	leader uint64

	// ignoreVoteRequestsUntil: no vote for another replica before this. It outlives the
	// term in which it was given.
	ignoreVoteRequestsUntil time.Duration
	electionDue             time.Duration
	votes                   map[uint64]bool

	memberships     []membership // ascending by index, never empty
	snapshot        Snapshot     // the latest one, kept for replicas that are far behind
	pendingSnapshot *Snapshot
	partialSnapshot *incomingSnapshot

	leaderState leadershipState
	messages    []Message
	readStates  []ReadState
}

// NewCore returns a replica that goes on from what its disk holds.
func NewCore(cfg Config, state State, now time.Duration) (*Core, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Core{
		cfg:             cfg,
		now:             now,
		hardState:       state.HardState,
		syncedHardState: state.HardState,
		log:             newEntryLog(state.Snapshot.Meta, state.Entries),
		snapshot:        state.Snapshot,
		memberships:     []membership{{index: state.Snapshot.Meta.Index, members: state.Snapshot.Meta.Members}},
	}
	if err := c.recordMemberships(state.Entries); err != nil {
		return nil, err
	}
	c.log.commit = max(c.log.commit, min(state.HardState.Commit, c.log.lastIndex()))
	c.initElectionTimer()
	return c, nil
}

// initElectionTimer sets the first election. A replica that restarts has forgotten
// when it last heard from a leader. If it voted at once, a second leader could
// be elected while the first one still holds its lease, and two would give
// orders; so it waits as if it had heard from one just now. A replica that has
// never been in any term has promised nothing, and a sole voter only itself.
func (c *Core) initElectionTimer() {
	if c.hardState.Term > 0 {
		c.ignoreVoteRequestsUntil = c.now + c.cfg.ElectionTimeout
	}
	c.resetElectionTimer()
	if c.isSoleVoter() {
		c.ignoreVoteRequestsUntil = c.now
		c.electionDue = c.now
	}
}

func (c *Core) isSoleVoter() bool {
	voters := c.Members().Voters
	return len(voters) == 1 && voters[0] == c.cfg.ID
}

// Tick tells the time. Call it several times in a heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDue && c.Members().IsVoter(c.cfg.ID) {
		c.preCampaign()
	}
}

// advanceClock takes a clock reading; time never goes back.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Step takes a message from another replica. An error means that the log is
// beyond repair, by a fault of the program or of a disk: the replica must stop.
// A message for another replica or one that makes no sense is dropped.
func (c *Core) Step(now time.Duration, m Message) error {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || !m.wellFormed() {
		return nil
	}
	if m.Term > c.hardState.Term && !c.handleHigherTerm(m) {
		return nil
	}
	if m.Term < c.hardState.Term {
		c.replyToLowerTerm(m)
		return nil
	}
	return c.dispatch(m)
}

// handleHigherTerm handles a message of a later term and reports whether to go on with
// it. Someone who asks for a vote while the leader is well is ignored and does
// not even raise the term: otherwise one replica with a bad link could depose
// leader after leader, and callers would see commits stop again and again.
func (c *Core) handleHigherTerm(m Message) bool {
	if m.requestsVote() && !m.Force && c.ignoresVoteRequests() {
		return false
	}
	if m.Type == MsgPreVote || (m.Type == MsgPreVoteReply && !m.Reject) {
		return true
	}
	c.becomeFollower(m.Term)
	return true
}

// ignoresVoteRequests reports whether this replica still owes its vote to a leader.
func (c *Core) ignoresVoteRequests() bool {
	return c.role == Leader || c.now < c.ignoreVoteRequestsUntil
}

// replyToLowerTerm tells a sender of an earlier term that there is a later one. A
// deposed leader would otherwise wait for replies until its timeout.
func (c *Core) replyToLowerTerm(m Message) {
	switch {
	case m.fromLeader():
		c.send(Message{Type: MsgHeartbeatReply, To: m.From, Reject: true})
	case m.Type == MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(m Message) error {
	switch m.Type {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgPreVoteReply:
		c.handlePreVoteReply(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteReply:
		c.handleVoteReply(m)
	case MsgAppend:
		return c.handleAppend(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(m)
	default:
		c.dispatchToLeader(m)
	}
	return nil
}

func (c *Core) dispatchToLeader(m Message) {
	p := c.leaderState.peers[m.From]
	if c.role != Leader || p == nil || p.lostLog {
		return
	}
	switch m.Type {
	case MsgAppendReply:
		c.handleAppendReply(p, m)
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(p, m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(p, m)
	}
}

// send queues a message; the term is filled in where the caller set none.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.messages = append(c.messages, m)
}

// becomeFollower ends whatever role the replica has. A leader that steps down
// still binds itself for one election timeout: a caller may have read the end of
// its lease just before, and its own vote counted towards that lease.
func (c *Core) becomeFollower(term uint64) {
	if c.role == Leader {
		c.ignoreVoteRequestsUntil = c.now + c.cfg.ElectionTimeout
		c.resetElectionTimer()
	}
	if term > c.hardState.Term {
		c.hardState.Term = term
		c.hardState.Vote = 0
		c.partialSnapshot = nil
	}
	c.role = Follower
	c.leader = 0
	c.leaderState = leadershipState{}
}

// followLeader records that the leader of this term has been heard.
func (c *Core) followLeader(leader uint64) {
	if c.role != Follower {
		c.becomeFollower(c.hardState.Term)
	}
	c.leader = leader
	c.ignoreVoteRequestsUntil = c.now + c.cfg.ElectionTimeout
	c.resetElectionTimer()
}

// resetElectionTimer puts off the next candidacy by one to two election timeouts.
// Without the random part replicas would stand at the same time, split the
// votes, and callers would wait for several rounds.
func (c *Core) resetElectionTimer() {
	timeout := c.cfg.ElectionTimeout
	c.electionDue = c.now + timeout + time.Duration(c.cfg.Rand(int64(timeout)))
}

// ID returns the replica's id.
func (c *Core) ID() uint64 { return c.cfg.ID }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, or 0 if unknown.
func (c *Core) Leader() uint64 { return c.leader }

// LastIndex returns the index of the last entry, synced or not.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// LastTerm returns the term of the last entry, 0 for an empty log.
func (c *Core) LastTerm() uint64 { return c.log.lastTerm() }

// CommitIndex returns the index of the last entry known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// AppliedIndex returns the index of the last entry given out as committed.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// SnapshotIndex returns the index of the latest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.snapshot.Meta.Index }

// LastIndexOf returns the highest index of an entry of this kind in the log,
// committed or not, compacted or not; 0 if there is none.
func (c *Core) LastIndexOf(kind uint8) uint64 { return c.log.lastByKind[kind] }
