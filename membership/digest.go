package membership

import (
	"slices"
	"time"
)

// buckets is the number of parts that a digest compares. With 1,000 records a
// bucket that differs costs some 30 items.
const (
	buckets     = 32
	bucketShift = 64 - 5
)

// randomEvery: each so many comparisons one goes to a member drawn from all,
// gone ones and seeds included. It finds the other side again after a partition,
// and it closes gaps that all neighbours share.
const randomEvery = 3

func bucketOf(ref uint64) uint8 { return uint8(ref >> bucketShift) }

func (c *core) digest() []uint32 {
	sums := make([]uint32, buckets)
	for ref, r := range c.records {
		if c.current(r) {
			sums[bucketOf(ref)] ^= uint32(r.hash())
		}
	}
	return sums
}

// join asks a seed for the state until some push has come.
func (c *core) join(now time.Time) {
	if c.joined || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(c.jittered(c.cfg.Heartbeat))
	if to, ok := c.seed(); ok {
		c.send(to, "", &message{Kind: kindJoin, Fulls: []fullDelta{c.self.full()}}, true)
	}
}

// seed draws one of the seeds, not itself.
func (c *core) seed() (string, bool) {
	others := slices.DeleteFunc(slices.Clone(c.cfg.Seeds), func(s string) bool { return s == c.me.LinkAddress })
	if len(others) == 0 {
		return "", false
	}
	return others[c.rng.IntN(len(others))], true
}

// linkLost is called when a connection to a member has ended. The news that was
// written to it last may be lost: compare at once, not at the next interval.
func (c *core) linkLost(address string) { c.compare[address] = true }

// antiEntropy starts a comparison with one member, and with those whose
// connection was lost.
func (c *core) antiEntropy(now time.Time) {
	for _, address := range sortedKeys(c.compare) {
		c.send(address, "", &message{Kind: kindDigest, Buckets: c.digest()}, true)
	}
	clear(c.compare)
	if now.Before(c.nextDigest) {
		return
	}
	c.nextDigest = now.Add(c.jittered(c.cfg.AntiEntropy))
	c.digests++
	id, to := c.partner()
	if to == "" {
		return
	}
	if id != "" {
		c.watchReply(id, now)
	}
	c.send(to, id, &message{Kind: kindDigest, Buckets: c.digest()}, false)
}

func (c *core) watchReply(id string, now time.Time) {
	if r := c.lookup(recordMember, id); r != nil && !r.markedGone() {
		if _, watched := c.watches[id]; !watched {
			c.watches[id] = now.Add(c.cfg.MemberSilence)
		}
	}
}

// partner chooses whom to compare with.
func (c *core) partner() (id, address string) {
	if c.digests%randomEvery != 0 && len(c.ring.neighbours) > 0 {
		nb := c.ring.neighbours[c.rng.IntN(len(c.ring.neighbours))]
		return nb.id, c.addressOf(nb.id, "")
	}
	n := len(c.ring.alive) + len(c.ring.gone)
	pick := c.rng.IntN(n + 1)
	switch {
	case pick < len(c.ring.alive):
		r := c.ring.alive[pick]
		return r.id, r.member.Link
	case pick < n:
		r := c.ring.gone[pick-len(c.ring.alive)]
		return r.id, r.member.Link
	default:
		address, _ = c.seed()
		return "", address
	}
}

// compareDigest answers with what this member holds in the buckets that differ.
// Nothing in an answer means agreement.
func (c *core) compareDigest(from sender, m *message, now time.Time) {
	if len(m.Buckets) != buckets {
		return
	}
	answer := &message{Kind: kindItems}
	mine := c.digest()
	room := (c.cfg.MaxMessage - messageOverhead) / itemSize
	for b := range buckets {
		if mine[b] == m.Buckets[b] {
			continue
		}
		items := c.itemsOf(uint8(b))
		if len(items) > room {
			break // the rest differs still and comes with the next digest
		}
		room -= len(items)
		answer.Which = append(answer.Which, uint8(b))
		answer.Items = append(answer.Items, items...)
	}
	c.send(c.addressOf(from.ID, from.Address), from.ID, answer, false)
}

func (c *core) itemsOf(bucket uint8) []digestItem {
	var items []digestItem
	for ref, r := range c.records {
		if bucketOf(ref) == bucket && c.current(r) {
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

// compareItems sends what the other side lacks and asks for what this one does.
func (c *core) compareItems(from sender, m *message, now time.Time) {
	if len(m.Which) == 0 {
		return
	}
	b := c.reply(from)
	listed := make(map[uint64]bool, len(m.Items))
	for _, it := range m.Items {
		listed[it.Ref] = true
		c.compareItem(b, it)
	}
	for ref, r := range c.records {
		if !listed[ref] && slices.Contains(m.Which, bucketOf(ref)) && c.current(r) {
			c.enqueue(b, r, needFull)
		}
	}
}

func (c *core) compareItem(b *outbox, it digestItem) {
	r := c.records[it.Ref]
	switch {
	case r == nil:
		b.pull(it.Ref)
	case uint32(r.hash()) == it.Hash:
	case r.bodySeq == it.BodySeq && r.kind != recordShared:
		// Statuses travel both ways: neither side need be ahead in all parts.
		c.enqueue(b, r, needStatus)
		b.pull(it.Ref)
	default:
		c.enqueue(b, r, needFull)
		b.pull(it.Ref)
	}
}
