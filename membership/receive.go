package membership

import (
	"time"
)

// receive takes in one message.
func (c *core) receive(from sender, m *message, now time.Time) {
	if from.ID == c.self.id {
		return
	}
	c.heardFrom(from, m.Kind, now)
	switch m.Kind {
	case kindJoin:
		c.takeIn(from, m, now)
		c.answerJoin(from)
	case kindPush, kindReply:
		c.takeIn(from, m, now)
		c.hasJoined(now)
	case kindPing:
		c.send(c.addressOf(from.ID, from.Address), from.ID, &message{Kind: kindAck, Nonce: m.Nonce, Target: c.self.id}, true)
	case kindAck:
		c.acknowledged(m, now)
	case kindPingReq:
		c.probeFor(from, m, now)
	case kindDigest:
		c.compareDigest(from, m, now)
	case kindItems:
		c.compareItems(from, m, now)
	}
}

// hasJoined is called when the state of another member has come in. What this
// member heard before it had anybody to tell goes out now.
func (c *core) hasJoined(now time.Time) {
	if c.joined {
		return
	}
	c.joined = true
	// What was spread between the answer to the join and the moment when the
	// others counted this member in has passed it by.
	c.nextDigest = now.Add(c.cfg.Heartbeat)
	c.rebuildRing(now)
	for _, r := range c.records {
		if r.status.Home == homeRef(c.self.id) || r.kind == recordShared {
			c.spread(r, changedBody, "")
		}
	}
}

// heardFrom notes that a member is alive. One that pushes is expected to go on;
// if it falls silent it is probed.
func (c *core) heardFrom(from sender, k messageKind, now time.Time) {
	if c.probes[from.ID] != nil {
		delete(c.probes, from.ID)
		c.ringDirty = true
	}
	if k == kindPush || k == kindJoin {
		c.watches[from.ID] = now.Add(c.cfg.MemberSilence)
	} else {
		delete(c.watches, from.ID)
	}
	r := c.lookup(recordMember, from.ID)
	if r != nil && (r.left() || r.markedGone() || r.suspected()) {
		// It lives and may not know what is said of it, or of an earlier life
		// of its: it must hear of it to be able to refute.
		c.enqueue(c.reply(from), r, needStatus)
	}
}

// takeIn joins all deltas of a message and passes on what was new.
func (c *core) takeIn(from sender, m *message, now time.Time) {
	for _, f := range m.Fulls {
		c.takeFull(from, f, now)
	}
	for _, d := range m.Status {
		c.takeStatus(from, d, now)
	}
	for _, d := range m.Loads {
		c.takeLoad(from, d)
	}
	for _, ref := range m.Pull {
		if r := c.records[ref]; r != nil {
			c.enqueue(c.reply(from), r, needFull)
		}
	}
}

func (c *core) takeFull(from sender, f fullDelta, now time.Time) {
	r, ch := c.learnFull(f, now)
	if r == nil {
		return
	}
	if ch != 0 {
		c.spread(r, ch, from.ID)
	}
	switch {
	case r.inc > f.Inc:
		// The sender still holds an earlier incarnation.
		c.enqueue(c.reply(from), r, needFull)
	case f.BodySeq == r.bodySeq && f.Status == r.status:
		c.known(from.ID, r.ref, needFull|needStatus)
	}
}

func (c *core) takeStatus(from sender, d statusDelta, now time.Time) {
	r := c.records[d.Ref]
	if r == nil {
		c.reply(from).pull(d.Ref)
		return
	}
	if r == c.self && c.earlierLife(d) {
		c.outbid(r.inc, now)
		return
	}
	if ch := r.joinStatus(d); ch != 0 {
		c.touched(r, now)
		c.spread(r, ch, from.ID)
		c.refute(r, now)
	}
	if r.status == d {
		c.known(from.ID, r.ref, needStatus)
	}
}

func (c *core) takeLoad(from sender, d loadDelta) {
	r := c.records[d.Ref]
	if r == nil {
		return
	}
	far := r.load.Catalogue != d.Catalogue
	if ch := r.joinLoad(d); ch != 0 {
		c.changed[r.ref] = r
		if far {
			c.spreadFar(r, from.ID)
		} else {
			c.spread(r, ch, from.ID)
		}
	}
	if r.load.Seq == d.Seq {
		c.known(from.ID, r.ref, needLoad)
	}
}

// answerJoin sends the whole state: members first, so that the homes of the
// backend servers are known when these arrive.
func (c *core) answerJoin(from sender) {
	b := c.reply(from)
	b.fast = true
	for _, r := range c.records {
		if r.id != from.ID && c.current(r) {
			c.enqueue(b, r, needFull)
		}
	}
}

// current says whether a record is in use and so part of digests and of the
// state that a newcomer gets.
func (c *core) current(r *record) bool {
	return !r.left() && !r.markedGone() && r.orphanAt.IsZero()
}
