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
	c.lead.reads = append(c.lead.reads, pendingRead{id: id})
	c.assignReads()
	return nil
}

// assignReads fixes the index of reads that waited for the term's first entry.
// Before that entry is committed the commit index may be behind what an earlier
// leader has acknowledged.
func (c *Core) assignReads() {
	if c.log.commit < c.lead.start {
		return
	}
	for i := range c.lead.reads {
		r := &c.lead.reads[i]
		if r.round > 0 {
			continue
		}
		r.index = c.log.commit
		r.round = c.lead.round + 1
		c.lead.beatDue = true
	}
}

// releaseReads answers the reads whose heartbeat a majority has answered.
func (c *Core) releaseReads() {
	c.assignReads()
	if len(c.lead.reads) == 0 {
		return
	}
	confirmed := c.quorumRound()
	waiting := c.lead.reads[:0]
	for _, r := range c.lead.reads {
		if r.round == 0 || r.round > confirmed {
			waiting = append(waiting, r)
			continue
		}
		c.readStates = append(c.readStates, ReadState{ID: r.id, Index: r.index})
	}
	c.lead.reads = waiting
}

func (c *Core) quorumRound() uint64 {
	voters := c.Members().Voters
	rounds := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == c.cfg.ID {
			rounds = append(rounds, c.lead.round)
			continue
		}
		rounds = append(rounds, c.lead.peers[id].ackRound)
	}
	return quorumValue(rounds)
}
