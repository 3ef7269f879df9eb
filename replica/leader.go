package replica

import (
	"slices"
	"time"
)

// leadershipState is the state that only a leader has; it ends with the term.
type leadershipState struct {
	firstIndex      uint64 // index of the first entry of the term
	electedAt       time.Duration
	peers           map[uint64]*progress
	heartbeatRound  uint64 // of the latest heartbeat
	lastAppendRound uint64 // sent so far, numbers them
	nextHeartbeat   time.Duration
	heartbeatDue    bool
	pendingReads    []pendingRead
	transfer        *leadershipTransfer
	leaseEnd        time.Duration // end of the longest lease given out so far
}

// becomeLeader starts a term with an entry of its own. Entries of earlier terms
// count as committed only beneath an entry of this term: a majority may hold an
// earlier entry and a later leader still replace it.
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

// updatePeers makes the tracked replicas those of the current membership.
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

// peerIDs returns the tracked replicas in ascending order, so that a run can be
// repeated message by message.
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

// Propose appends an application entry. The entry is committed when it comes out
// in Ready.Committed with the returned term; another term at that index means
// that it is lost. An error means that nothing was appended.
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

// tickLeader steps down if no majority has answered a heartbeat sent within the
// last election timeout. A leader that is cut off would otherwise take proposals
// that it can never commit, and its callers would wait instead of turning to the
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

// flushHeartbeat sends one heartbeat to all if one is due, for the interval or
// for reads.
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

// flushAppends sends every replica what it lacks, as far as flow control lets.
// It runs once for many proposals and replies, which is what batches them.
func (c *Core) flushAppends() {
	for _, id := range c.peerIDs() {
		p := c.leaderState.peers[id]
		for p.canSend(c.cfg.MaxInflight) && c.needsAppend(p) {
			c.sendAppend(id, p)
		}
		c.flushSnapshot(id, p)
	}
}

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

// handleAppendReject goes back to where the logs may still agree. A replica
// whose log ends before what it has acknowledged has lost its disk and kept its
// id: its acknowledgements are worth nothing, and counting them would let an
// entry be reported as committed that a majority does not hold.
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

// handleHeartbeatReply extends the lease and answers reads. It also stands in
// for replies that were lost: the replica is asked again for what it lacks.
func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	if m.Reject || m.Round > c.leaderState.heartbeatRound {
		return
	}
	p.heartbeatAcked = true
	p.lastAckSent = max(p.lastAckSent, m.Sent)
	p.lastAckRound = max(p.lastAckRound, m.Round)
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

// maybeCommit advances the commit index to what a majority of voters has synced.
func (c *Core) maybeCommit() {
	index := c.quorumMatch()
	if index <= c.log.commit || index < c.leaderState.firstIndex {
		return
	}
	c.log.commit = index
	c.completeReads()
}

func (c *Core) quorumMatch() uint64 {
	voters := c.Members().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.matchIndex(id))
	}
	return quorumValue(matches)
}

// ReplicasWithLostLog returns the replicas that have forgotten entries they had acknowledged in
// this term. Each must be removed and come back under a new id.
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

// quorumValue returns the highest value that a majority has reached.
func quorumValue[T uint64 | time.Duration](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
