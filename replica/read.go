package replica

// pendingRead is a read that waits until a majority has acknowledged a heartbeat
// sent after the read was requested.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64 // of that heartbeat; 0 until the first entry of the term is committed
}

// ReadIndex requests a read index: an index whose state includes everything
// acknowledged before the call. It is returned in Ready.Reads with this id, or
// never if the replica stops being the leader.
//
// The leader first confirms its leadership with a majority. Otherwise a
// partitioned leader that was replaced would serve stale reads.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id})
	c.assignReadIndexes()
	return nil
}

// assignReadIndexes sets the index of new reads once the first entry of the term
// is committed. Until then the commit index may be behind what an earlier leader
// has acknowledged.
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

// completeReads moves the reads whose heartbeat a majority has acknowledged to
// readStates.
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

// quorumRound returns the number of the latest heartbeat that a majority of voters
// has acknowledged.
func (c *Core) quorumRound() uint64 {
	voters := c.Members().Voters
	rounds := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == c.cfg.ID {
			rounds = append(rounds, c.leaderState.heartbeatRound)
			continue
		}
		rounds = append(rounds, c.leaderState.peers[id].ackedHeartbeatRound)
	}
	return quorumValue(rounds)
}
