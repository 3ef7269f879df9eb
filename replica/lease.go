package replica

import (
	"math"
	"time"
)

// never is earlier than every clock reading.
const never = time.Duration(math.MinInt64)

// Lease returns until when, on this replica's clock, no other replica can hold a
// lease or commit anything; ok is false if there is no such time ahead.
//
// A voter that answers a heartbeat votes for nobody else for one election
// timeout after it received it. The leader knows only when it sent it, which was
// earlier, so it counts from there. Counting from the reply would be wrong by
// the time the reply was under way: a leader that was frozen with a reply in its
// socket would believe in a lease that has long run out, and two leaders would
// give orders.
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

// quorumAckTime returns the time at which the latest heartbeat that a majority of
// voters has answered was sent, or never.
func (c *Core) quorumAckTime() time.Duration {
	voters := c.Members().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		times = append(times, c.ackTime(id))
	}
	return quorumValue(times)
}

func (c *Core) ackTime(id uint64) time.Duration {
	if id == c.cfg.ID {
		return c.now
	}
	if p := c.leaderState.peers[id]; p.heartbeatAcked {
		return p.lastAckSent
	}
	return never
}
