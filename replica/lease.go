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
	if c.role != Leader || c.log.commit < c.lead.start {
		return c.hard.Term, 0, false
	}
	if c.lead.handover == nil {
		c.extendLease()
	}
	return c.hard.Term, c.lead.leaseHeld, c.lead.leaseHeld > c.now
}

func (c *Core) extendLease() {
	ack := c.quorumAck()
	if ack == never {
		return
	}
	c.lead.leaseHeld = max(c.lead.leaseHeld, ack+c.cfg.leaseDuration())
}

// quorumAck returns the time at which the latest heartbeat that a majority of
// voters has answered was sent, or never.
func (c *Core) quorumAck() time.Duration {
	voters := c.Members().Voters
	times := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		times = append(times, c.ackOf(id))
	}
	return quorumValue(times)
}

func (c *Core) ackOf(id uint64) time.Duration {
	if id == c.cfg.ID {
		return c.now
	}
	if p := c.lead.peers[id]; p.acked {
		return p.ackSent
	}
	return never
}
