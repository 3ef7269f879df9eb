package replica

// pendingRead waits for a majority to answer a heartbeat sent after it came.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64 // 0: the term's first entry is not committed yet
}

// ReadIndex asks for a point from which a read sees everything acknowledged
// before now. The answer comes in Ready.Reads; if this replica stops being the
// leader first, none comes.
//
// The leader asks a majority before it answers. Without that a leader that was
// replaced while it was cut off would serve old state as if it were current.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id})
	c.assignReadIndexes()
	return nil
}

// assignReadIndexes fixes the index of reads that waited for the term's first entry.
// Before that entry is committed the commit index may be behind what an earlier
// leader has acknowledged.
func (c *Core) assignReadIndexes() {
	if c.log.commit < c.leaderState.firstIndex {
		return
	}
	for i := range c.leaderState.pendingReads {
		r := &c.leaderState.pendingReads[i]
		if r.round > 0 {
			continue
		}
		r.index = c.log.commit
		r.round = c.leaderState.heartbeatRound + 1
		c.leaderState.heartbeatDue = true
	}
}

// completeReads answers the reads whose heartbeat a majority has answered.
func (c *Core) completeReads() {
	c.assignReadIndexes()
	if len(c.leaderState.pendingReads) == 0 {
		return
	}
	ackedRound := c.quorumRound()
	unconfirmed := c.leaderState.pendingReads[:0]
	for _, r := range c.leaderState.pendingReads {
		if r.round == 0 || r.round > ackedRound {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		c.readStates = append(c.readStates, ReadState{ID: r.id, Index: r.index})
	}
	c.leaderState.pendingReads = unconfirmed
}

func (c *Core) quorumRound() uint64 {
	voters := c.Members().Voters
	rounds := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == c.cfg.ID {
			rounds = append(rounds, c.leaderState.heartbeatRound)
			continue
		}
		rounds = append(rounds, c.leaderState.peers[id].lastAckRound)
	}
	return quorumValue(rounds)
}
