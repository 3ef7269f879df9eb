package replica

import "time"

// handover is a leadership transfer under way.
type handover struct {
	to       uint64
	deadline time.Duration
	asked    bool // MsgTimeoutNow was sent
}

// Transfer hands leadership to another voter, for a planned stop. It is done
// when this replica is no longer the leader; if it still is after two election
// timeouts, the transfer was given up.
//
// The target stands for election without waiting for promises to run out, which
// would break this leader's lease. So the lease is extended no more from here
// on, and the target is asked only after the last one has ended. Proposals are
// taken until then.
func (c *Core) Transfer(to uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == c.cfg.ID || !c.Members().Voter(to) {
		return ErrNotVoter
	}
	if c.lead.handover != nil {
		return ErrTransferring
	}
	c.Lease()
	c.lead.handover = &handover{to: to, deadline: c.now + 2*c.cfg.ElectionTimeout}
	return nil
}

// Transferring reports whether a transfer is under way.
func (c *Core) Transferring() bool { return c.lead.handover != nil }

// tryHandover asks the target once it holds the whole log and the lease is over.
// The request is repeated at each reply, as it may be lost; it names the term,
// so a late copy does no harm.
func (c *Core) tryHandover() {
	h := c.lead.handover
	if h == nil || c.now < c.lead.leaseHeld {
		return
	}
	p := c.lead.peers[h.to]
	if p == nil {
		return
	}
	near := c.log.last()-p.match <= uint64(c.cfg.MaxInflight)
	if !h.asked && !near {
		return
	}
	h.asked = true
	if p.match == c.log.last() {
		c.send(Message{Type: MsgTimeoutNow, To: h.to})
	}
}

// tickHandover gives up after the deadline. A leader that has asked the target
// may not hold a lease again in this term, because the request may still be
// under way; it steps down, and an ordinary election follows.
func (c *Core) tickHandover() {
	h := c.lead.handover
	if h == nil {
		return
	}
	if c.now < h.deadline {
		c.tryHandover()
		return
	}
	c.lead.handover = nil
	if h.asked {
		c.becomeFollower(c.hard.Term)
	}
}
