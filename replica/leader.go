package replica

import (
	"slices"
	"time"
)

// leadershipState is the state that only a leader has. It is discarded when the
// leader steps down.
type leadershipState struct {
	firstIndex      uint64 // index of the first entry of this leader's term
	electedAt       time.Duration
	peers           map[uint64]*progress
	heartbeatRound  uint64 // number of the latest heartbeat
	lastAppendRound uint64 // number of the latest MsgAppend
	nextHeartbeat   time.Duration
	heartbeatDue    bool
	pendingReads    []pendingRead
	transfer        *leadershipTransfer
	leaseEnd        time.Duration // latest end of a lease computed by Lease
}

// becomeLeader starts the leader's term with an empty entry. Entries of earlier
// terms are committed only together with an entry of this term: even if a majority
// holds such an entry, a later leader may still replace it (Raft paper, section
// 5.4.2).
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.leaderState = leadershipState{
		firstIndex:   c.log.lastIndex() + 1,
		electedAt:    c.now,
		peers:        make(map[uint64]*progress),
		heartbeatDue: true,
	}
	c.updatePeers()
	c.appendEntry(KindNone, nil)
}

// updatePeers tracks the progress of exactly the other replicas in the current
// membership. New ones start at the end of the log.
func (c *Core) updatePeers() {
	m := c.Members()
	for id := range c.leaderState.peers {
		if !m.Has(id) {
			delete(c.leaderState.peers, id)
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != c.cfg.ID && c.leaderState.peers[id] == nil {
			c.leaderState.peers[id] = &progress{next: c.log.lastIndex() + 1, probing: true}
		}
	}
}

// peerIDs returns the ids of the tracked replicas in ascending order, which makes
// the order of messages deterministic.
func (c *Core) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(c.leaderState.peers))
	for id := range c.leaderState.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) appendEntry(kind uint8, data []byte) Position {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.log.append(e)
	return Position{Index: e.Index, Term: e.Term}
}

// Propose appends an application entry and returns its position. The entry is
// committed when Ready.Committed contains it with that index and term; an entry of
// another term at that index means that the proposal was lost. On error nothing
// was appended.
func (c *Core) Propose(kind uint8, data []byte) (Position, error) {
	if err := c.checkCanAppend(); err != nil {
		return Position{}, err
	}
	return c.appendEntry(kind, data), nil
}

func (c *Core) checkCanAppend() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if t := c.leaderState.transfer; t != nil && t.timeoutNowSent {
		return ErrTransferring
	}
	return nil
}

// tickLeader steps down if no majority has acknowledged a heartbeat sent within
// the last election timeout. A partitioned leader would otherwise accept proposals
// that it cannot commit, and callers would wait for it instead of turning to the
// new leader.
func (c *Core) tickLeader() {
	lastQuorumAck := max(c.quorumAckTime(), c.leaderState.electedAt)
	if c.now-lastQuorumAck >= c.cfg.ElectionTimeout {
		c.becomeFollower(c.hardState.Term)
		return
	}
	c.tickTransfer()
	if c.now >= c.leaderState.nextHeartbeat {
		c.leaderState.heartbeatDue = true
	}
}

// flushHeartbeat sends a heartbeat to all other replicas if one is due, because of
// the interval or of pending reads.
func (c *Core) flushHeartbeat() {
	if !c.leaderState.heartbeatDue {
		return
	}
	c.leaderState.heartbeatDue = false
	c.leaderState.heartbeatRound++
	c.leaderState.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
	for _, id := range c.peerIDs() {
		c.send(Message{
			Type: MsgHeartbeat, To: id,
			Commit: min(c.log.commit, c.leaderState.peers[id].match),
			Round:  c.leaderState.heartbeatRound, Sent: c.now,
		})
	}
}

// flushAppends sends each replica the entries or snapshot chunk that it needs,
// within flow control. Ready calls it once for all proposals and replies since the
// last Ready, which batches their entries.
func (c *Core) flushAppends() {
	for _, id := range c.peerIDs() {
		p := c.leaderState.peers[id]
		for p.canSend(c.cfg.MaxInflight) && c.needsAppend(p) {
			c.sendAppend(id, p)
		}
		c.flushSnapshot(id, p)
	}
}

// needsAppend reports whether a replica needs entries, a probe or a newer commit
// index.
func (c *Core) needsAppend(p *progress) bool {
	commitAdvanced := min(c.log.commit, p.match) > p.sentCommit
	return p.appendRequested || p.probing || p.next <= c.log.lastIndex() || commitAdvanced
}

func (c *Core) sendAppend(id uint64, p *progress) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startSnapshot(p)
		return
	}
	entries := c.log.batch(prev, c.cfg.MaxMessageBytes)
	last := prev + uint64(len(entries))
	commit := min(c.log.commit, last)
	c.leaderState.lastAppendRound++
	c.send(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: commit, Round: c.leaderState.lastAppendRound,
	})
	p.sentCommit = commit
	p.recordSent(last, len(entries))
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	p.acknowledge(m.Index, c.leaderState.lastAppendRound)
	if p.outgoing != nil && p.match >= p.outgoing.snapshot.Meta.Index {
		p.outgoing = nil
	}
	c.maybeCommit()
	c.tryTransfer()
}

// handleAppendReject moves back to the last position at which the logs may match.
// A replica whose log ends before its acknowledged entries has lost its disk and
// kept its id. Its acknowledgements are no longer counted: otherwise an entry
// could be reported as committed that no majority holds.
func (c *Core) handleAppendReject(p *progress, m Message) {
	if m.Round > p.matchRound && m.Hint < p.match {
		p.lostLog = true
		return
	}
	stale := m.Index <= p.match || (p.probing && m.Index != p.next-1)
	if stale {
		return
	}
	at := c.log.findConflictByTerm(m.Hint, m.HintTerm)
	p.startProbe(at.Index + 1)
}

// handleHeartbeatReply records the acknowledgement, which extends the lease and
// confirms reads. If the replica lacks entries, it also triggers an append, in
// case an earlier append or its reply was lost.
func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	if m.Reject || m.Round > c.leaderState.heartbeatRound {
		return
	}
	p.heartbeatAcked = true
	p.ackedHeartbeatSent = max(p.ackedHeartbeatSent, m.Sent)
	p.ackedHeartbeatRound = max(p.ackedHeartbeatRound, m.Round)
	p.probeSent = false
	if !p.probing && p.match < c.log.lastIndex() {
		p.appendRequested = true
		if len(p.inflight) >= c.cfg.MaxInflight {
			p.inflight = p.inflight[1:]
		}
	}
	p.resendStalledChunk()
	c.tryTransfer()
}

// maybeCommit advances the commit index to the highest entry that a majority of
// voters has synced, if that is an entry of the current term.
func (c *Core) maybeCommit() {
	index := c.quorumMatch()
	if index <= c.log.commit || index < c.leaderState.firstIndex {
		return
	}
	c.log.commit = index
	c.completeReads()
}

// quorumMatch returns the highest index that a majority of voters has synced.
func (c *Core) quorumMatch() uint64 {
	voters := c.Members().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.matchIndex(id))
	}
	return quorumValue(matches)
}

// ReplicasWithLostLog returns the replicas that have lost entries which they
// acknowledged in this term, in ascending order. Each must be removed and may
// rejoin under a new id.
func (c *Core) ReplicasWithLostLog() []uint64 {
	var ids []uint64
	for _, id := range c.peerIDs() {
		if c.leaderState.peers[id].lostLog {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Core) matchIndex(id uint64) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	return c.leaderState.peers[id].match
}

// quorumValue returns the highest value that a majority has reached. It sorts
// values.
func quorumValue[T uint64 | time.Duration](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
