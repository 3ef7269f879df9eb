package replica

import (
	"math"
	"time"
)

// never is earlier than any clock reading.
const never = time.Duration(math.MinInt64)

// Lease returns the time on this replica's clock until which no other replica can
// hold a lease or commit an entry; ok is false if this replica holds no lease now.
//
// A voter that acknowledges a heartbeat grants no vote to another candidate for
// one election timeout after it received the heartbeat. The lease counts from the
// sending of the heartbeat, which is earlier. Counting from the reply would be
// unsafe: a leader that was frozen while the reply waited in its socket would
// assume a lease that has expired, at the same time as a new leader.
func (c *Core) Lease() (term uint64, until time.Duration, ok bool) {
	if c.role != Leader || c.log.commit < c.leaderState.firstIndex {
		return c.hardState.Term, 0, false
	}
	if c.leaderState.transfer == nil {
		c.extendLease()
	}
	return c.hardState.Term, c.leaderState.leaseEnd, c.leaderState.leaseEnd > c.now
}

func (c *Core) extendLease() {
	ack := c.quorumAckTime()
	if ack == never {
		return
	}
	c.leaderState.leaseEnd = max(c.leaderState.leaseEnd, ack+c.cfg.leaseDuration())
}

// quorumAckTime returns when the latest heartbeat that a majority of voters has
// acknowledged was sent, or never.
func (c *Core) quorumAckTime() time.Duration {
	voters := c.Members().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		times = append(times, c.ackTime(id))
	}
	return quorumValue(times)
}

// ackTime returns when the latest heartbeat that voter id has acknowledged was
// sent, or never. For this replica itself it is now.
func (c *Core) ackTime(id uint64) time.Duration {
	if id == c.cfg.ID {
		return c.now
	}
	if p := c.leaderState.peers[id]; p.heartbeatAcked {
		return p.ackedHeartbeatSent
	}
	return never
}
