package replica

func (c *Core) handleHeartbeat(m Message) {
	c.followLeader(m.From)
	c.commitTo(min(m.Commit, c.log.lastIndex()))
	c.send(Message{Type: MsgHeartbeatReply, To: m.From, Round: m.Round, Sent: m.Sent})
}

// handleAppend appends entries if the log holds the entry before them. The reply
// is sent after the entries are synced; see Ready.
func (c *Core) handleAppend(m Message) error {
	c.followLeader(m.From)
	if m.Index < c.log.commit {
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return nil
	}
	first, err := c.log.appendAfter(m.Entries)
	if err != nil {
		return err
	}
	if first > 0 {
		c.truncateMemberships(first)
		if err := c.recordMemberships(c.log.entriesAfter(first - 1)); err != nil {
			return err
		}
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
	return nil
}

// rejectAppend replies with the last entry that may match, so that the leader
// skips a whole term of conflicting entries per round trip.
func (c *Core) rejectAppend(m Message) {
	hint := c.log.findConflictByTerm(m.Index, m.LogTerm)
	c.send(Message{
		Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index,
		Hint: hint.Index, HintTerm: hint.Term, Round: m.Round,
	})
}

func (c *Core) commitTo(index uint64) { c.log.commit = max(c.log.commit, index) }
