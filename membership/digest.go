package membership

import (
	"slices"
	"time"
)

// bucketCount is the number of buckets of a digest; bucketShift selects a record's
// bucket by the high bits of its ref.
const (
	bucketCount = 32
	bucketShift = 64 - 5
)

// randomPartnerRounds is the interval, in digest rounds, of comparisons with a member
// drawn from all, including gone ones and seeds. They reconnect the two sides of a
// partition and repair changes that all neighbours lack.
const randomPartnerRounds = 3

func bucketOf(ref uint64) uint8 { return uint8(ref >> bucketShift) }

func (c *core) digest() []uint32 {
	sums := make([]uint32, bucketCount)
	for ref, r := range c.records {
		if c.isLive(r) {
			sums[bucketOf(ref)] ^= uint32(r.hash())
		}
	}
	return sums
}

// sendJoin requests the state from a seed until a push has been received.
func (c *core) sendJoin(now time.Time) {
	if c.joined || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(c.jittered(c.cfg.HeartbeatInterval))
	if to, ok := c.randomSeed(); ok {
		c.send(to, "", &message{Kind: kindJoin, Fulls: []fullDelta{c.self.full()}}, true)
	}
}

// randomSeed returns a random seed other than this member.
func (c *core) randomSeed() (string, bool) {
	others := slices.DeleteFunc(slices.Clone(c.cfg.Seeds), func(s string) bool { return s == c.selfMember.LinkAddress })
	if len(others) == 0 {
		return "", false
	}
	return others[c.rng.IntN(len(others))], true
}

// connectionLost is called when a connection to a member has ended. Messages sent on
// it may be lost, so digests are compared at the next tick.
func (c *core) connectionLost(address string) { c.digestTargets[address] = true }

// antiEntropy sends a digest to each member whose connection was lost, and to one
// partner per AntiEntropyInterval.
func (c *core) antiEntropy(now time.Time) {
	for _, address := range sortedKeys(c.digestTargets) {
		c.send(address, "", &message{Kind: kindDigest, Buckets: c.digest()}, true)
	}
	clear(c.digestTargets)
	if now.Before(c.nextDigest) {
		return
	}
	c.nextDigest = now.Add(c.jittered(c.cfg.AntiEntropyInterval))
	c.digestRounds++
	id, to := c.choosePartner()
	if to == "" {
		return
	}
	if id != "" {
		c.expectReply(id, now)
	}
	c.send(to, id, &message{Kind: kindDigest, Buckets: c.digest()}, false)
}

func (c *core) expectReply(id string, now time.Time) {
	if r := c.lookup(recordMember, id); r != nil && !r.markedGone() {
		if _, watched := c.pushDeadlines[id]; !watched {
			c.pushDeadlines[id] = now.Add(c.cfg.MemberTimeout)
		}
	}
}

// choosePartner returns the member or seed to compare digests with.
func (c *core) choosePartner() (id, address string) {
	if c.digestRounds%randomPartnerRounds != 0 && len(c.topology.neighbours) > 0 {
		nb := c.topology.neighbours[c.rng.IntN(len(c.topology.neighbours))]
		return nb.id, c.addressOf(nb.id, "")
	}
	n := len(c.topology.alive) + len(c.topology.gone)
	index := c.rng.IntN(n + 1)
	switch {
	case index < len(c.topology.alive):
		r := c.topology.alive[index]
		return r.id, r.member.Link
	case index < n:
		r := c.topology.gone[index-len(c.topology.alive)]
		return r.id, r.member.Link
	default:
		address, _ = c.randomSeed()
		return "", address
	}
}

// handleDigest replies with the items of the buckets that differ. An empty reply
// means that the digests are equal.
func (c *core) handleDigest(from sender, m *message, now time.Time) {
	if len(m.Buckets) != bucketCount {
		return
	}
	reply := &message{Kind: kindItems}
	own := c.digest()
	remaining := (c.cfg.MaxMessageBytes - messageOverheadBytes) / itemBytes
	for b := range bucketCount {
		if own[b] == m.Buckets[b] {
			continue
		}
		items := c.bucketItems(uint8(b))
		if len(items) > remaining {
			break // the remaining buckets come with the next digest
		}
		remaining -= len(items)
		reply.Which = append(reply.Which, uint8(b))
		reply.Items = append(reply.Items, items...)
	}
	c.send(c.addressOf(from.ID, from.Address), from.ID, reply, false)
}

func (c *core) bucketItems(bucket uint8) []digestItem {
	var items []digestItem
	for ref, r := range c.records {
		if bucketOf(ref) == bucket && c.isLive(r) {
			items = append(items, digestItem{Ref: ref, Hash: uint32(r.hash()), BodySeq: r.bodySeq})
		}
	}
	slices.SortFunc(items, func(a, b digestItem) int {
		if a.Ref < b.Ref {
			return -1
		}
		return 1
	})
	return items
}

// handleItems queues the records that the sender lacks and pulls those that this
// member lacks.
func (c *core) handleItems(from sender, m *message, now time.Time) {
	if len(m.Which) == 0 {
		return
	}
	b := c.replyOutbox(from)
	listed := make(map[uint64]bool, len(m.Items))
	for _, it := range m.Items {
		listed[it.Ref] = true
		c.handleItem(b, it)
	}
	for ref, r := range c.records {
		if !listed[ref] && slices.Contains(m.Which, bucketOf(ref)) && c.isLive(r) {
			c.enqueue(b, r, deltaFull)
		}
	}
}

func (c *core) handleItem(b *outbox, it digestItem) {
	r := c.records[it.Ref]
	switch {
	case r == nil:
		b.pull(it.Ref)
	case uint32(r.hash()) == it.Hash:
	case r.bodySeq == it.BodySeq && r.kind != recordShared:
		// Exchange statuses both ways: each side may have newer fields.
		c.enqueue(b, r, deltaStatus)
		b.pull(it.Ref)
	default:
		c.enqueue(b, r, deltaFull)
		b.pull(it.Ref)
	}
}
