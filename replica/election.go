package replica

// preCampaign asks whether an election could be won, without raising the term.
// A replica that was cut off would otherwise come back with a high term and
// depose a leader that everyone else is content with.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.askVotes(MsgPreVote, c.hard.Term+1, false)
	if c.won() {
		c.campaign(false)
	}
}

// campaign stands for leader in a new term.
func (c *Core) campaign(force bool) {
	c.hard.Term++
	c.hard.Vote = c.cfg.ID
	c.role = Candidate
	c.leader = 0
	c.incoming = nil
	c.askVotes(MsgVote, c.hard.Term, force)
	if c.won() {
		c.becomeLeader()
	}
}

func (c *Core) askVotes(kind MessageType, term uint64, force bool) {
	c.resetElection()
	c.votes = map[uint64]bool{c.cfg.ID: true}
	for _, id := range c.Members().Voters {
		if id == c.cfg.ID {
			continue
		}
		c.send(Message{
			Type: kind, To: id, Term: term, Force: force,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// won counts the votes of current voters only.
func (c *Core) won() bool {
	granted := 0
	for _, id := range c.Members().Voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted >= c.Members().quorum()
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hard.Term && !c.bound() && c.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.campaign(false)
	}
}

// handleVote grants at most one vote a term, and only to a log that holds every
// committed entry that this replica has acknowledged.
func (c *Core) handleVote(m Message) {
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	mayVote := m.Force || !c.bound()
	grant := free && mayVote && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.hard.Vote = m.From
		c.resetElection()
	}
	c.send(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.becomeLeader()
	}
}

// handleTimeoutNow stands for leader at once, as the leader asked. The message
// holds for this one candidacy: a late copy must not depose a later leader, and
// cannot, because its term has passed.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == Leader || m.From != c.leader || !c.Members().Voter(c.cfg.ID) {
		return
	}
	c.campaign(true)
}
