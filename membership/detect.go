package membership

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// indirectProbes is the number of members asked to probe one that didn't answer, so
// that a broken path between two members isn't taken for a failed member.
const indirectProbes = 3

// probe is a pending probe of a member that sent nothing for MemberTimeout, or to
// which a message couldn't be sent.
type probe struct {
	nonce    uint32
	deadline time.Time
	indirect bool // other members have been asked to probe
}

// relayedProbe is a probe on behalf of another member.
type relayedProbe struct {
	requester      sender
	requesterNonce uint32 // nonce of the requester's probe
	deadline       time.Time
}

const scanInterval = 250 * time.Millisecond

// tick runs everything that is due at time now.
func (c *core) tick(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	c.budgetBytes = min(c.cfg.BudgetBurstBytes, c.budgetBytes+gap.Seconds()*c.cfg.BudgetBytesPerSecond)
	if gap > c.cfg.FreezeThreshold {
		c.resumeAfterFreeze(gap, now)
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scan(now)
	}
	if c.topologyDirty {
		c.rebuildTopology(now)
	}
	c.sendJoin(now)
	c.antiEntropy(now)
	c.flush(now)
}

// resumeAfterFreeze is called when the gap between two ticks shows that this process
// was stopped or starved. It extends all timeouts by the gap: otherwise this member
// would mark every watched member and every backend server that it is home of gone,
// and callers would find no server. It also starts digest comparisons with its
// neighbours to receive the changes that it has missed.
func (c *core) resumeAfterFreeze(gap time.Duration, now time.Time) {
	clear(c.probes)
	for _, nb := range c.topology.neighbours {
		c.digestTargets[c.addressOf(nb.id, "")] = true
	}
	for id := range c.pushDeadlines {
		c.pushDeadlines[id] = now.Add(c.cfg.MemberTimeout)
	}
	for _, r := range c.records {
		for _, at := range []*time.Time{&r.announcedAt, &r.suspectedAt, &r.goneAt, &r.orphanedAt} {
			if !at.IsZero() {
				*at = earlierOf(at.Add(gap), now)
			}
		}
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// scan handles timeouts that have expired.
func (c *core) scan(now time.Time) {
	for _, id := range sortedKeys(c.pushDeadlines) {
		if now.After(c.pushDeadlines[id]) {
			delete(c.pushDeadlines, id)
			c.startProbe(id, now)
		}
	}
	for _, id := range sortedKeys(c.probes) {
		if now.After(c.probes[id].deadline) {
			c.probeFailed(id, c.probes[id], now)
		}
	}
	for nonce, r := range c.relayedProbes {
		if now.After(r.deadline) {
			delete(c.relayedProbes, nonce)
		}
	}
	c.reporterCount = 0
	for _, r := range c.records { // order doesn't matter: records are independent
		c.scanRecord(r, now)
	}
	c.reportSelf(now)
}

func (c *core) scanRecord(r *record, now time.Time) {
	switch r.kind {
	case recordMember:
		c.scanMember(r, now)
	case recordServer:
		c.scanServer(r, now)
	default:
		return
	}
	state := r.state(now, &c.cfg)
	if state != r.lastState {
		// Time alone may change the state: an expired grace period, a home that is
		// gone. It is not disseminated; every member determines it by itself.
		r.lastState = state
		c.changed[r.ref] = r
		c.topologyDirty = c.topologyDirty || r.kind == recordMember
	}
	if state != instance.StateGone && c.regionOf(r) == c.self.member.Region {
		c.reporterCount++
	}
	trackSince(&r.goneSince, state == instance.StateGone, now)
	if state == instance.StateGone && now.Sub(r.goneSince) >= c.cfg.GoneTTL && r != c.self {
		c.remove(r)
		c.changed[r.ref] = r
	}
}

func (c *core) scanMember(r *record, now time.Time) {
	if r.suspected() && !r.markedGone() && !r.left() && r != c.self && now.Sub(r.suspectedAt) >= c.cfg.SuspicionTimeout {
		r.mergeStatus(statusDelta{Gone: r.status.Seq})
		c.updateDerived(r, now)
		c.disseminate(r, changedStatus, "")
	}
}

// scanServer checks a backend server whose home is this member, or whose home is gone.
func (c *core) scanServer(r *record, now time.Time) {
	if r.left() || r.markedGone() {
		return
	}
	if r.status.Home == homeRef(c.self.id) {
		c.scanHomedServer(r, now)
		return
	}
	// Every entry determines this by itself and disseminates nothing: after a
	// partition the other region must not receive that its own servers are gone.
	trackSince(&r.orphanedAt, c.homeOf(r) == "", now)
}

// scanHomedServer marks a backend server of this home gone if its heartbeats have
// stopped. If it has moved to another entry, its higher sequence refutes the mark.
func (c *core) scanHomedServer(r *record, now time.Time) {
	r.orphanedAt = time.Time{}
	if r.announcedAt.IsZero() {
		// An earlier process of this member was the home.
		r.announcedAt = now
	}
	if now.Sub(r.announcedAt) < c.cfg.ServerTimeout {
		return
	}
	seq := max(r.announcedSeq, r.status.Seq)
	r.mergeStatus(statusDelta{Seq: seq, Gone: seq})
	c.updateDerived(r, now)
	c.disseminate(r, changedStatus, "")
}

// sendFailed starts a probe of a member to which a message couldn't be sent.
func (c *core) sendFailed(id string, now time.Time) {
	r := c.lookup(recordMember, id)
	if r == nil || r.state(now, &c.cfg) == instance.StateGone {
		return
	}
	c.startProbe(id, now)
}

func (c *core) startProbe(id string, now time.Time) {
	r := c.lookup(recordMember, id)
	if r == nil || c.probes[id] != nil || r.suspected() || r.state(now, &c.cfg) == instance.StateGone {
		return
	}
	c.nonce++
	c.probes[id] = &probe{nonce: c.nonce, deadline: now.Add(c.cfg.ProbeTimeout)}
	c.topologyDirty = true // changes take another path until the probe ends
	c.send(r.member.Link, id, &message{Kind: kindPing, Nonce: c.nonce, Target: id}, true)
}

// probeFailed is called when a probe has timed out. After a direct probe it requests
// indirect ones; after those it suspects the member.
func (c *core) probeFailed(id string, p *probe, now time.Time) {
	r := c.lookup(recordMember, id)
	if r == nil {
		delete(c.probes, id)
		return
	}
	if !p.indirect && len(c.topology.alive) > 1 {
		p.indirect, p.deadline = true, now.Add(c.cfg.ProbeTimeout)
		for _, helper := range c.randomMembers(indirectProbes, id) {
			c.send(helper.member.Link, helper.id, &message{Kind: kindPingReq, Nonce: p.nonce, Target: id}, true)
		}
		return
	}
	delete(c.probes, id)
	if r.left() || r.suspected() {
		return
	}
	r.mergeStatus(statusDelta{Suspect: r.status.Seq})
	c.updateDerived(r, now)
	c.disseminate(r, changedStatus, "")
	// Also send it to the member itself: the partition may be one-way, and
	// the member can refute only what it receives.
	c.enqueue(c.outboxFor(id), r, deltaStatus)
	if !c.isNeighbour(id) {
		c.outboxFor(id).temporary = true
	}
}

// randomMembers returns up to n random live members other than except.
func (c *core) randomMembers(n int, except string) []*record {
	var picked []*record
	for _, i := range c.rng.Perm(len(c.topology.alive)) {
		r := c.topology.alive[i]
		if r.id != except && !r.suspected() && len(picked) < n {
			picked = append(picked, r)
		}
	}
	return picked
}

// relayProbe pings a member on behalf of another member.
func (c *core) relayProbe(from sender, m *message, now time.Time) {
	r := c.lookup(recordMember, m.Target)
	if r == nil || len(c.relayedProbes) >= maxRelays {
		return
	}
	c.nonce++
	c.relayedProbes[c.nonce] = relayedProbe{requester: from, requesterNonce: m.Nonce, deadline: now.Add(c.cfg.ProbeTimeout)}
	c.send(r.member.Link, r.id, &message{Kind: kindPing, Nonce: c.nonce, Target: r.id}, true)
}

const maxRelays = 1024

// handleAck ends this member's probe, or forwards the ack to the requester.
func (c *core) handleAck(m *message, now time.Time) {
	if r, ok := c.relayedProbes[m.Nonce]; ok {
		delete(c.relayedProbes, m.Nonce)
		c.send(c.addressOf(r.requester.ID, r.requester.Address), r.requester.ID, &message{Kind: kindAck, Nonce: r.requesterNonce, Target: m.Target}, true)
		return
	}
	if p := c.probes[m.Target]; p != nil && p.nonce == m.Nonce {
		delete(c.probes, m.Target)
		c.topologyDirty = true
	}
}
