package replica

// preCampaign asks the voters whether they would elect this replica, without
// raising the term. Without pre-vote, a replica that was partitioned would return
// with a higher term and depose a healthy leader.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.requestVotes(MsgPreVote, c.hardState.Term+1, false)
	if c.hasVoteQuorum() {
		c.campaign(false)
	}
}

// campaign starts an election in a new term.
func (c *Core) campaign(force bool) {
	c.hardState.Term++
	c.hardState.Vote = c.cfg.ID
	c.role = Candidate
	c.leader = 0
	c.partialSnapshot = nil
	c.requestVotes(MsgVote, c.hardState.Term, force)
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// requestVotes sends vote or pre-vote requests to the other voters and counts this
// replica's own vote.
func (c *Core) requestVotes(kind MessageType, term uint64, force bool) {
	c.resetElectionTimer()
	c.votes = map[uint64]bool{c.cfg.ID: true}
	for _, id := range c.Members().Voters {
		if id == c.cfg.ID {
			continue
		}
		c.send(Message{
			Type: kind, To: id, Term: term, Force: force,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// hasVoteQuorum reports whether a majority of the current voters has granted its
// vote.
func (c *Core) hasVoteQuorum() bool {
	granted := 0
	for _, id := range c.Members().Voters {
		if c.votes[id] {
			granted++
		}
	}
	return granted >= c.Members().quorum()
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hardState.Term && !c.ignoresVoteRequests() && c.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.campaign(false)
	}
}

// handleVote grants at most one vote per term, and only to a candidate whose log
// is at least as up to date as this one (Raft paper, section 5.4.1).
func (c *Core) handleVote(m Message) {
	voteAvailable := c.hardState.Vote == 0 || c.hardState.Vote == m.From
	acceptsRequest := m.Force || !c.ignoresVoteRequests()
	grant := voteAvailable && acceptsRequest && c.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		c.hardState.Vote = m.From
		c.resetElectionTimer()
	}
	c.send(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// handleTimeoutNow starts an election at once, at the request of the current
// leader. A delayed copy of the message is ignored because its term has passed.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == Leader || m.From != c.leader || !c.Members().IsVoter(c.cfg.ID) {
		return
	}
	c.campaign(true)
}
