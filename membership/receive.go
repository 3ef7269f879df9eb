package membership

import (
	"time"
)

// receive handles one message from another member.
func (c *core) receive(from sender, m *message, now time.Time) {
	if from.ID == c.self.id {
		return
	}
	c.markAlive(from, m.Kind, now)
	switch m.Kind {
	case kindJoin:
		c.applyDeltas(from, m, now)
		c.replyToJoin(from)
	case kindPush, kindReply:
		c.applyDeltas(from, m, now)
		c.completeJoin(now)
	case kindPing:
		c.send(c.addressOf(from.ID, from.Address), from.ID, &message{Kind: kindAck, Nonce: m.Nonce, Target: c.self.id}, true)
	case kindAck:
		c.handleAck(m, now)
	case kindPingReq:
		c.relayProbe(from, m, now)
	case kindDigest:
		c.handleDigest(from, m, now)
	case kindItems:
		c.handleItems(from, m, now)
	}
}

// completeJoin is called on every push and reply. On the first one it disseminates the
// servers and shared records that this member received before it had neighbours.
func (c *core) completeJoin(now time.Time) {
	if c.joined {
		return
	}
	c.joined = true
	// Changes disseminated after the reply to the join, but before the others made
	// this member a neighbour, have not reached it: compare digests soon.
	c.nextDigest = now.Add(c.cfg.HeartbeatInterval)
	c.rebuildTopology(now)
	for _, r := range c.records {
		if r.status.Home == homeRef(c.self.id) || r.kind == recordShared {
			c.disseminate(r, changedBody, "")
		}
	}
}

// markAlive records that a member is alive. One that pushes is expected to continue;
// it is probed when it stops.
func (c *core) markAlive(from sender, k messageKind, now time.Time) {
	if c.probes[from.ID] != nil {
		delete(c.probes, from.ID)
		c.topologyDirty = true
	}
	if k == kindPush || k == kindJoin {
		c.pushDeadlines[from.ID] = now.Add(c.cfg.MemberTimeout)
	} else {
		delete(c.pushDeadlines, from.ID)
	}
	r := c.lookup(recordMember, from.ID)
	if r != nil && (r.left() || r.markedGone() || r.suspected()) {
		// Send the claim to the member, which needs it to refute it.
		c.enqueue(c.replyOutbox(from), r, deltaStatus)
	}
}

// applyDeltas applies all deltas of a message and disseminates what has changed.
func (c *core) applyDeltas(from sender, m *message, now time.Time) {
	for _, f := range m.Fulls {
		c.receiveFull(from, f, now)
	}
	for _, d := range m.Status {
		c.receiveStatus(from, d, now)
	}
	for _, d := range m.Loads {
		c.receiveLoad(from, d)
	}
	for _, ref := range m.Pull {
		if r := c.records[ref]; r != nil {
			c.enqueue(c.replyOutbox(from), r, deltaFull)
		}
	}
}

func (c *core) receiveFull(from sender, f fullDelta, now time.Time) {
	r, ch := c.applyFull(f, now)
	if r == nil {
		return
	}
	if ch != 0 {
		c.disseminate(r, ch, from.ID)
	}
	switch {
	case r.inc > f.Inc:
		// The sender has an earlier incarnation.
		c.enqueue(c.replyOutbox(from), r, deltaFull)
	case f.BodySeq == r.bodySeq && f.Status == r.status:
		c.dropQueued(from.ID, r.ref, deltaFull|deltaStatus)
	}
}

// receiveHeld applies the record of a server that leaves or has left, which this member is to hold. Unlike
// by receiveFull, an unknown server that has left is recorded, too: another member may still pass on a
// record from before.
func (c *core) receiveHeld(from sender, f fullDelta, now time.Time) {
	if c.lookup(f.Kind, f.ID) != nil || f.Kind != recordServer {
		c.receiveFull(from, f, now)
		return
	}
	if r := recordOf(f); r != nil {
		c.replace(nil, r, now)
		c.disseminate(r, changedBody|changedStatus, from.ID)
	}
}

func (c *core) receiveStatus(from sender, d statusDelta, now time.Time) {
	r := c.records[d.Ref]
	if r == nil {
		c.replyOutbox(from).pull(d.Ref)
		return
	}
	if r == c.self && c.fromEarlierProcess(d) {
		c.raiseIncarnation(r.inc, now)
		return
	}
	if ch := r.mergeStatus(d); ch != 0 {
		c.updateDerived(r, now)
		c.disseminate(r, ch, from.ID)
		c.refute(r, now)
	}
	if r.status == d {
		c.dropQueued(from.ID, r.ref, deltaStatus)
	}
}

func (c *core) receiveLoad(from sender, d loadDelta) {
	r := c.records[d.Ref]
	if r == nil {
		return
	}
	catalogueChanged := r.load.Catalogue != d.Catalogue
	if ch := r.mergeLoad(d); ch != 0 {
		c.changed[r.ref] = r
		if catalogueChanged {
			c.disseminateLoadGlobally(r, from.ID)
		} else {
			c.disseminate(r, ch, from.ID)
		}
	}
	if r.load.Seq == d.Seq {
		c.dropQueued(from.ID, r.ref, deltaLoad)
	}
}

// replyToJoin queues the whole state for a joining member. Members have priority over
// servers, so that the homes of the servers are known when these arrive.
func (c *core) replyToJoin(from sender) {
	b := c.replyOutbox(from)
	b.joinReply = true
	for _, r := range c.records {
		if r.id != from.ID && c.isLive(r) {
			c.enqueue(b, r, deltaFull)
		}
	}
}

// isLive reports whether a record belongs into digests and into the reply to a join.
func (c *core) isLive(r *record) bool {
	return !r.left() && !r.markedGone() && r.orphanedAt.IsZero()
}
