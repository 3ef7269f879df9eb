package replica

import "time"

// leadershipTransfer is a leadership transfer in progress.
type leadershipTransfer struct {
	target         uint64
	deadline       time.Duration
	timeoutNowSent bool
}

// Transfer starts a transfer of leadership to another voter, for a planned stop.
// The transfer is complete when this replica is no longer the leader. If it still
// is after two election timeouts, the transfer has failed.
//
// Voters accept the target's vote request even within their election timeout, on
// which this leader's lease relies. The lease is therefore no longer extended, and
// the target is told to start its election only after the lease has ended. Until
// then proposals are accepted.
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

// Transferring reports whether a transfer is in progress.
func (c *Core) Transferring() bool { return c.leaderState.transfer != nil }

// tryTransfer sends MsgTimeoutNow once the lease has ended and the target has the
// whole log. While the target lacks only a few entries, proposals are already
// refused so that it can catch up. The message may be lost, so it is repeated at
// each reply from a replica; a delayed copy is ignored because its term has
// passed.
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

// tickTransfer abandons the transfer after its deadline. If MsgTimeoutNow may have
// been sent, the leader steps down and an ordinary election follows: it must not
// hold a lease again in this term, because a delayed MsgTimeoutNow could still
// make the target the leader.
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
