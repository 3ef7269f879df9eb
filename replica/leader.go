package replica

import (
	"slices"
	"time"
)

// leadership is the state that only a leader has; it ends with the term.
type leadership struct {
	start     uint64 // index of the first entry of the term
	since     time.Duration
	peers     map[uint64]*progress
	round     uint64 // of the latest heartbeat
	appends   uint64 // sent so far, numbers them
	beatAt    time.Duration
	beatDue   bool
	reads     []pendingRead
	handover  *handover
	leaseHeld time.Duration // end of the longest lease given out so far
}

// becomeLeader starts a term with an entry of its own. Entries of earlier terms
// count as committed only beneath an entry of this term: a majority may hold an
// earlier entry and a later leader still replace it.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.lead = leadership{
		start:   c.log.last() + 1,
		since:   c.now,
		peers:   make(map[uint64]*progress),
		beatDue: true,
	}
	c.syncPeers()
	c.appendOwn(KindNone, nil)
}

// syncPeers makes the tracked replicas those of the current membership.
func (c *Core) syncPeers() {
	m := c.Members()
	for id := range c.lead.peers {
		if !m.Has(id) {
			delete(c.lead.peers, id)
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != c.cfg.ID && c.lead.peers[id] == nil {
			c.lead.peers[id] = &progress{next: c.log.last() + 1, probing: true}
		}
	}
}

// peerIDs returns the tracked replicas in ascending order, so that a run can be
// repeated message by message.
func (c *Core) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(c.lead.peers))
	for id := range c.lead.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) appendOwn(kind uint8, data []byte) Position {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.log.append(e)
	return Position{Index: e.Index, Term: e.Term}
}

// Propose appends an application entry. The entry is committed when it comes out
// in Ready.Committed with the returned term; another term at that index means
// that it is lost. An error means that nothing was appended.
func (c *Core) Propose(kind uint8, data []byte) (Position, error) {
	if err := c.canAppend(); err != nil {
		return Position{}, err
	}
	return c.appendOwn(kind, data), nil
}

func (c *Core) canAppend() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if h := c.lead.handover; h != nil && h.asked {
		return ErrTransferring
	}
	return nil
}

// tickLeader steps down if no majority has answered a heartbeat sent within the
// last election timeout. A leader that is cut off would otherwise take proposals
// that it can never commit, and its callers would wait instead of turning to the
// new leader.
func (c *Core) tickLeader() {
	basis := max(c.quorumAck(), c.lead.since)
	if c.now-basis >= c.cfg.ElectionTimeout {
		c.becomeFollower(c.hard.Term)
		return
	}
	c.tickHandover()
	if c.now >= c.lead.beatAt {
		c.lead.beatDue = true
	}
}

// flushHeartbeat sends one heartbeat to all if one is due, for the interval or
// for reads.
func (c *Core) flushHeartbeat() {
	if !c.lead.beatDue {
		return
	}
	c.lead.beatDue = false
	c.lead.round++
	c.lead.beatAt = c.now + c.cfg.HeartbeatInterval
	for _, id := range c.peerIDs() {
		c.send(Message{
			Type: MsgHeartbeat, To: id,
			Commit: min(c.log.commit, c.lead.peers[id].match),
			Round:  c.lead.round, Sent: c.now,
		})
	}
}

// flushAppends sends every replica what it lacks, as far as flow control lets.
// It runs once for many proposals and replies, which is what batches them.
func (c *Core) flushAppends() {
	for _, id := range c.peerIDs() {
		p := c.lead.peers[id]
		for p.ready(c.cfg.MaxInflight) && c.owes(p) {
			c.sendAppend(id, p)
		}
		c.flushSnapshot(id, p)
	}
}

func (c *Core) owes(p *progress) bool {
	news := min(c.log.commit, p.match) > p.sentCommit
	return p.nudge || p.probing || p.next <= c.log.last() || news
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
	c.lead.appends++
	c.send(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: commit, Round: c.lead.appends,
	})
	p.sentCommit = commit
	p.sent(last, len(entries))
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.acknowledge(m.Index, c.lead.appends)
	if p.sending != nil && p.match >= p.sending.snapshot.Meta.Index {
		p.sending = nil
	}
	c.maybeCommit()
	c.tryHandover()
}

// handleAppendReject goes back to where the logs may still agree. A replica
// whose log ends before what it has acknowledged has lost its disk and kept its
// id: its acknowledgements are worth nothing, and counting them would let an
// entry be reported as committed that a majority does not hold.
func (c *Core) handleAppendReject(p *progress, m Message) {
	if m.Round > p.matchRound && m.Hint < p.match {
		p.lost = true
		return
	}
	stale := m.Index <= p.match || (p.probing && m.Index != p.next-1)
	if stale {
		return
	}
	at := c.log.lastAtMost(m.Hint, m.HintTerm)
	p.probe(at.Index + 1)
}

// handleHeartbeatReply extends the lease and answers reads. It also stands in
// for replies that were lost: the replica is asked again for what it lacks.
func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	if m.Reject || m.Round > c.lead.round {
		return
	}
	p.acked = true
	p.ackSent = max(p.ackSent, m.Sent)
	p.ackRound = max(p.ackRound, m.Round)
	p.waiting = false
	if !p.probing && p.match < c.log.last() {
		p.nudge = true
		if len(p.inflight) >= c.cfg.MaxInflight {
			p.inflight = p.inflight[1:]
		}
	}
	p.resendStalledChunk()
	c.tryHandover()
}

// maybeCommit advances the commit index to what a majority of voters has synced.
func (c *Core) maybeCommit() {
	index := c.quorumMatch()
	if index <= c.log.commit || index < c.lead.start {
		return
	}
	c.log.commit = index
	c.releaseReads()
}

func (c *Core) quorumMatch() uint64 {
	voters := c.Members().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.matchOf(id))
	}
	return quorumValue(matches)
}

// Lost returns the replicas that have forgotten entries they had acknowledged in
// this term. Each must be removed and come back under a new id.
func (c *Core) Lost() []uint64 {
	var ids []uint64
	for _, id := range c.peerIDs() {
		if c.lead.peers[id].lost {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Core) matchOf(id uint64) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	return c.lead.peers[id].match
}

// quorumValue returns the highest value that a majority has reached.
func quorumValue[T uint64 | time.Duration](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
