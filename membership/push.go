package membership

import (
	"cmp"
	"slices"
	"time"
)

// deltaKind is a set of the kinds of delta of a record to send to a peer.
type deltaKind uint8

const (
	deltaFull deltaKind = 1 << iota
	deltaStatus
	deltaLoad
)

// outbox queues what to send to one peer. It holds references to records: a record
// that changes twice before the next push is sent once, in its latest state.
type outbox struct {
	refs       map[uint64]deltaKind // deltas to send, by record
	pulls      []uint64             // refs of full records to request from the peer
	temporary  bool                 // the peer is no neighbour; the outbox holds a reply to it
	joinReply  bool                 // holds the reply to a join, which the budget doesn't delay
	urgent     bool                 // refs holds an urgent change
	hasUpdates bool                 // refs holds a change other than a load report
	address    string               // link address of the peer, which may not be a known member
	lastPush   time.Time            // time of the last push to this peer
}

const maxPendingPulls = 4096

func (b *outbox) pull(ref uint64) {
	if len(b.pulls) < maxPendingPulls && !slices.Contains(b.pulls, ref) {
		b.pulls = append(b.pulls, ref)
	}
}

func (c *core) outboxFor(id string) *outbox {
	b := c.outboxes[id]
	if b == nil {
		b = &outbox{refs: make(map[uint64]deltaKind)}
		c.outboxes[id] = b
	}
	return b
}

// replyOutbox returns the outbox for a reply to from.
func (c *core) replyOutbox(from sender) *outbox {
	b := c.outboxFor(from.ID)
	b.address = from.Address
	if !c.isNeighbour(from.ID) {
		b.temporary = true
	}
	return b
}

// disseminate queues a change for all neighbours except the member it came from.
func (c *core) disseminate(r *record, ch change, except string) {
	n := deltaKindOf(ch)
	load := n == deltaLoad
	for id, b := range c.outboxes {
		// A joining member whose reply is pending is no neighbour yet.
		if b.joinReply && id != except && id != r.id {
			c.enqueue(b, r, n)
		}
	}
	for _, nb := range c.topology.neighbours {
		if nb.id == except || nb.id == r.id || (load && !c.receivesLoad(nb, r)) {
			continue
		}
		c.enqueue(c.outboxFor(nb.id), r, n)
	}
}

func (c *core) enqueue(b *outbox, r *record, n deltaKind) {
	b.refs[r.ref] |= n
	b.hasUpdates = b.hasUpdates || n != deltaLoad
	b.urgent = b.urgent || c.priority(r, n) == urgentPriority
}

// receivesLoad reports whether neighbour nb gets load reports of r. They stay inside
// the region: routers elsewhere seldom use them, and they are most of the traffic.
func (c *core) receivesLoad(nb neighbour, r *record) bool {
	return nb.inRegionRing && c.regionOf(r) == c.self.member.Region
}

// disseminateLoadGlobally queues a load report for all neighbours of all regions.
func (c *core) disseminateLoadGlobally(r *record, except string) {
	for _, nb := range c.topology.neighbours {
		if nb.id != except && nb.id != r.id {
			c.enqueue(c.outboxFor(nb.id), r, deltaLoad)
		}
	}
}

func deltaKindOf(ch change) deltaKind {
	switch {
	case ch&changedBody != 0:
		return deltaFull
	case ch&changedStatus != 0:
		return deltaStatus
	default:
		return deltaLoad
	}
}

// dropQueued removes from a peer's outbox what the peer has just sent itself.
func (c *core) dropQueued(from string, ref uint64, n deltaKind) {
	b := c.outboxes[from]
	if b == nil {
		return
	}
	b.refs[ref] &^= n
	if b.refs[ref] == 0 {
		delete(b.refs, ref)
	}
}

// priority returns the order of a delta in a push; lower goes first. Instances that
// leave, are suspected or are gone come first, since requests are still sent to them,
// and so do shared records, since a quarantined request may crash the next server.
// Load reports come last.
func (c *core) priority(r *record, n deltaKind) int {
	switch {
	case n == deltaLoad:
		return 3
	case r.leaving(), r.left(), r.markedGone(), r.suspected(), r.kind == recordShared:
		return urgentPriority
	case r.kind == recordMember, n&deltaFull == 0:
		return 1
	default:
		return 2
	}
}

const urgentPriority = 0

// flush sends what is due. Urgent changes go at every tick; other changes wait for
// their interval and for the budget. A neighbour without a push for HeartbeatInterval
// gets an empty one.
func (c *core) flush(now time.Time) {
	updatesDue := !now.Before(c.nextPush)
	loadsDue := !now.Before(c.nextLoad)
	if updatesDue {
		c.nextPush = now.Add(c.cfg.PushInterval)
	}
	if loadsDue {
		c.nextLoad = now.Add(c.cfg.LoadPushInterval)
	}
	for _, id := range sortedKeys(c.outboxes) {
		c.flushOutbox(id, c.outboxes[id], updatesDue, loadsDue, now)
	}
	for _, nb := range c.topology.neighbours {
		if now.Sub(c.outboxFor(nb.id).lastPush) >= c.cfg.HeartbeatInterval {
			c.push(nb.id, c.outboxFor(nb.id), &message{Kind: kindPush}, false, now)
		}
	}
}

// queuedDelta is a delta that may go into the next push.
type queuedDelta struct {
	ref      uint64
	kind     deltaKind
	priority int
}

func (c *core) flushOutbox(id string, b *outbox, updatesDue, loadsDue bool, now time.Time) {
	if len(b.refs) == 0 && len(b.pulls) == 0 {
		c.releaseOutbox(id, b)
		return
	}
	if !b.urgent && (!b.isDue(updatesDue, loadsDue) || (c.budgetBytes <= 0 && !b.joinReply)) {
		return
	}
	deltas := c.sortedDeltas(b)
	if len(deltas) == 0 && len(b.pulls) == 0 {
		return
	}
	urgent := b.urgent
	m := c.compose(b, deltas, loadsDue)
	b.urgent, b.hasUpdates = false, false
	for ref, n := range b.refs { // deltas that didn't fit
		c.enqueue(b, c.records[ref], n)
	}
	c.push(id, b, m, urgent, now)
}

// sortedDeltas returns the deltas of the outbox in order of priority.
func (c *core) sortedDeltas(b *outbox) []queuedDelta {
	deltas := make([]queuedDelta, 0, len(b.refs))
	for ref, n := range b.refs {
		r := c.records[ref]
		if r == nil {
			delete(b.refs, ref)
			continue
		}
		deltas = append(deltas, queuedDelta{ref: ref, kind: n, priority: c.priority(r, n)})
	}
	slices.SortFunc(deltas, func(x, y queuedDelta) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.ref, y.ref))
	})
	return deltas
}

// isDue reports whether the push interval of anything in the outbox has passed.
func (b *outbox) isDue(updatesDue, loadsDue bool) bool {
	switch {
	case b.joinReply:
		return true
	case b.temporary, b.hasUpdates, len(b.pulls) > 0:
		return updatesDue
	default:
		return loadsDue
	}
}

// releaseOutbox removes an empty outbox if its peer is no neighbour.
func (c *core) releaseOutbox(id string, b *outbox) {
	b.joinReply = false
	if b.temporary {
		delete(c.outboxes, id)
	}
}

// compose fills one message with the deltas, in their order, up to MaxMessageBytes.
// What doesn't fit stays in the outbox for the next push.
func (c *core) compose(b *outbox, deltas []queuedDelta, loadsDue bool) *message {
	m := &message{Kind: kindPush}
	if b.temporary {
		m.Kind = kindReply
	}
	remaining := c.cfg.MaxMessageBytes - messageOverheadBytes
	n := min(len(b.pulls), remaining/4/pullBytes)
	m.Pull, b.pulls = b.pulls[:n:n], b.pulls[n:]
	remaining -= n * pullBytes
	for _, p := range deltas {
		r := c.records[p.ref]
		if p.kind == deltaLoad && !loadsDue && !b.temporary {
			continue
		}
		size := estimateBytes(r, p.kind)
		if size > remaining {
			if size > c.cfg.MaxMessageBytes-messageOverheadBytes {
				delete(b.refs, p.ref) // only a body larger than Announce and Put accept
			}
			continue
		}
		remaining -= size
		delete(b.refs, p.ref)
		appendDelta(m, r, p.kind)
	}
	return m
}

func estimateBytes(r *record, n deltaKind) int {
	switch {
	case n&deltaFull != 0:
		return fullOverheadBytes + len(r.id) + len(r.body)
	case n&deltaStatus != 0 && n&deltaLoad != 0:
		return statusBytes + loadBytes
	case n&deltaStatus != 0:
		return statusBytes
	default:
		return loadBytes
	}
}

func appendDelta(m *message, r *record, n deltaKind) {
	if n&deltaFull != 0 {
		m.Fulls = append(m.Fulls, r.full())
		return
	}
	if n&deltaStatus != 0 {
		m.Status = append(m.Status, r.status)
	}
	if n&deltaLoad != 0 {
		m.Loads = append(m.Loads, r.load)
	}
}

func (c *core) push(id string, b *outbox, m *message, urgent bool, now time.Time) {
	b.lastPush = now
	budgetBefore := c.budgetBytes
	c.send(c.addressOf(id, b.address), id, m, urgent)
	if b.joinReply {
		c.budgetBytes = budgetBefore
	}
}

// addressOf returns the link address in the member's record, or fallback if there is
// no record.
func (c *core) addressOf(id, fallback string) string {
	if r := c.lookup(recordMember, id); r != nil {
		return r.member.Link
	}
	return fallback
}

// send encodes a message, appends it to out and charges the budget.
func (c *core) send(to, id string, m *message, urgent bool) {
	if to == "" || id == c.self.id {
		return
	}
	data, err := encodeBounded(m, c.cfg.MaxMessageBytes)
	if err != nil {
		return
	}
	if data, err = c.compressor.compress(data); err != nil {
		return
	}
	c.budgetBytes = max(c.budgetBytes-float64(len(data)), -float64(c.cfg.MaxMessageBytes))
	c.sent.Messages++
	c.sent.Bytes += uint64(len(data))
	c.out = append(c.out, outgoing{To: to, ID: id, Message: data, Urgent: urgent})
}
