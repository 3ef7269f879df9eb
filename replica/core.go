package replica

import (
	"time"
)

// Role is a replica's role in its current term.
type Role uint8

// The roles. A learner is always a Follower.
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

// Core is the consensus state machine of one replica. It is not safe for
// concurrent use. Clock readings passed to it come from the replica's monotonic
// clock, as durations since any fixed point.
type Core struct {
	cfg             Config
	now             time.Duration
	hardState       HardState // only Term and Vote are used; the commit index is log.commit
	syncedHardState HardState // last one synced to disk
	log             entryLog

	role   Role
	leader uint64

	// ignoreVoteRequestsUntil is the end of the period in which this replica
	// refuses its vote to other candidates. It is not reset when the term changes.
	ignoreVoteRequestsUntil time.Duration
	electionDue             time.Duration // when this replica starts an election
	votes                   map[uint64]bool

	memberships     []membership // ascending by index, never empty
	snapshot        Snapshot     // latest one, sent to replicas that need compacted entries
	pendingSnapshot *Snapshot    // received, to be installed in the next Ready
	partialSnapshot *incomingSnapshot

	leaderState leadershipState
	messages    []Message
	readStates  []ReadState
}

// NewCore returns a Core that starts from the state on disk. It returns an error
// if cfg is invalid or a membership entry cannot be decoded.
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

// initElectionTimer sets the first election after a start. A restarted replica
// does not know when it last received a message from a leader. Voting at once
// could elect a second leader during the first one's lease, so it waits as if it
// had just received a message. This is not needed for a replica that has never
// been in a term, nor for a sole voter.
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

// Tick advances the clock and runs what is due: heartbeats, elections, the
// leader's check for a quorum. Call it several times per heartbeat interval.
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

// advanceClock sets the clock to now; the clock never goes back.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Step handles a message from another replica. Malformed messages and those
// addressed to another replica are ignored. An error means that the log is
// corrupt, by a fault of the program or of a disk; the replica must then stop.
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

// handleHigherTerm handles a message of a higher term and reports whether it
// should be processed further. Vote requests are ignored while a leader is active
// and do not raise the term: otherwise one replica with a faulty link could depose
// one leader after another and interrupt commits.
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

// ignoresVoteRequests reports whether this replica must refuse its vote because it
// is the leader or a leader was active within the last election timeout.
func (c *Core) ignoresVoteRequests() bool {
	return c.role == Leader || c.now < c.ignoreVoteRequestsUntil
}

// replyToLowerTerm replies to a message of a lower term, so that its sender learns
// the current term. Without the reply a deposed leader would wait until its
// election timeout.
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

// send queues m, in the current term unless m.Term is set.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.messages = append(c.messages, m)
}

// becomeFollower makes the replica a follower, in a new term if term is higher. A
// leader that steps down refuses its vote for one election timeout: its own vote
// counted towards the lease, which a caller may have read just before.
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

// followLeader records a message from the leader of the current term.
func (c *Core) followLeader(leader uint64) {
	if c.role != Follower {
		c.becomeFollower(c.hardState.Term)
	}
	c.leader = leader
	c.ignoreVoteRequestsUntil = c.now + c.cfg.ElectionTimeout
	c.resetElectionTimer()
}

// resetElectionTimer schedules the next election in one to two election timeouts.
// The random part prevents repeated split votes.
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

// LastIndex returns the index of the last entry, whether synced or not.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// LastTerm returns the term of the last entry, or 0 if the log is empty.
func (c *Core) LastTerm() uint64 { return c.log.lastTerm() }

// CommitIndex returns the index of the last entry known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// AppliedIndex returns the index of the last entry returned in Ready.Committed for
// which Advance was called, or that of an installed snapshot.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// SnapshotIndex returns the index of the latest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.snapshot.Meta.Index }

// LastIndexOf returns the highest index of an entry of this kind in the log,
// including uncommitted and compacted entries, or 0 if there is none.
func (c *Core) LastIndexOf(kind uint8) uint64 { return c.log.lastByKind[kind] }
