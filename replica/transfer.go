package replica

import "time"

// leadershipTransfer is a leadership transfer under way.
type leadershipTransfer struct {
	target         uint64
	deadline       time.Duration
	timeoutNowSent bool // MsgTimeoutNow was sent
}

// Transfer hands leadership to another voter, for a planned stop. It is done
// when this replica is no longer the leader; if it still is after two election
// timeouts, the transfer was given up.
//
// The target stands for election without waiting for promises to run out, which
// would break this leader's lease. So the lease is extended no more from here
// on, and the target is asked only after the last one has ended. Proposals are
// taken until then.
func (c *Core) Transfer(target uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if target == c.cfg.ID || !c.Members().IsVoter(target) {
		return ErrNotVoter
	}
	if c.leaderState.transfer != nil {
		return ErrTransferring
	}
	c.Lease()
	c.leaderState.transfer = &leadershipTransfer{target: target, deadline: c.now + 2*c.cfg.ElectionTimeout}
	return nil
}

// Transferring reports whether a transfer is under way.
func (c *Core) Transferring() bool { return c.leaderState.transfer != nil }

// tryTransfer asks the target once it holds the whole log and the lease is over.
// The request is repeated at each reply, as it may be lost; it names the term,
// so a late copy does no harm.
func (c *Core) tryTransfer() {
	t := c.leaderState.transfer
	if t == nil || c.now < c.leaderState.leaseEnd {
		return
	}
	p := c.leaderState.peers[t.target]
	if p == nil {
		return
	}
	nearlyCaughtUp := c.log.lastIndex()-p.match <= uint64(c.cfg.MaxInflight)
	if !t.timeoutNowSent && !nearlyCaughtUp {
		return
	}
	t.timeoutNowSent = true
	if p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: t.target})
	}
}

// tickTransfer gives up after the deadline. A leader that has asked the target
// may not hold a lease again in this term, because the request may still be
// under way; it steps down, and an ordinary election follows.
func (c *Core) tickTransfer() {
	t := c.leaderState.transfer
	if t == nil {
		return
	}
	if c.now < t.deadline {
		c.tryTransfer()
		return
	}
	c.leaderState.transfer = nil
	if t.timeoutNowSent {
		c.becomeFollower(c.hardState.Term)
	}
}
