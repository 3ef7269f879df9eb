package membership

import (
	"cmp"
	"slices"
	"time"
)

// need says which part of a record a peer should get.
type need uint8

const (
	needFull need = 1 << iota
	needStatus
	needLoad
)

// outbox holds what one peer should get. It names records, not their contents:
// a record that changes twice before the next push goes out once, as it is then.
type outbox struct {
	refs      map[uint64]need
	pulls     []uint64
	temporary bool      // the peer is no neighbour, the box holds an answer to it
	fast      bool      // it holds the answer to a join, which the budget doesn't delay
	urgent    bool      // something in refs is urgent
	news      bool      // something in refs is more than a load report
	address   string    // of the peer, which may not be known as a member
	lastPush  time.Time // when something last went out to this peer
}

const maxPulls = 4096 // refs that one peer is asked for at a time

func (b *outbox) pull(ref uint64) {
	if len(b.pulls) < maxPulls && !slices.Contains(b.pulls, ref) {
		b.pulls = append(b.pulls, ref)
	}
}

func (c *core) box(id string) *outbox {
	b := c.boxes[id]
	if b == nil {
		b = &outbox{refs: make(map[uint64]need)}
		c.boxes[id] = b
	}
	return b
}

// reply returns the outbox for an answer to from.
func (c *core) reply(from sender) *outbox {
	b := c.box(from.ID)
	b.address = from.Address
	if !c.isNeighbour(from.ID) {
		b.temporary = true
	}
	return b
}

// spread queues a change for all neighbours but the one that it came from.
func (c *core) spread(r *record, ch change, except string) {
	n := needOf(ch)
	load := n == needLoad
	for id, b := range c.boxes {
		// A newcomer whose answer waits is nobody's neighbour yet.
		if b.fast && id != except && id != r.id {
			c.enqueue(b, r, n)
		}
	}
	for _, nb := range c.ring.neighbours {
		if nb.id == except || nb.id == r.id || (load && !c.getsLoad(nb, r)) {
			continue
		}
		c.enqueue(c.box(nb.id), r, n)
	}
}

func (c *core) enqueue(b *outbox, r *record, n need) {
	b.refs[r.ref] |= n
	b.news = b.news || n != needLoad
	b.urgent = b.urgent || c.urgency(r, n) == urgentNews
}

// getsLoad keeps a load report inside its region: routers elsewhere seldom send
// work over, and at 600 servers reports are most of the traffic.
func (c *core) getsLoad(nb neighbour, r *record) bool {
	return nb.region && c.regionOf(r) == c.self.member.Region
}

// spreadFar queues a load report for all neighbours, in whatever region.
func (c *core) spreadFar(r *record, except string) {
	for _, nb := range c.ring.neighbours {
		if nb.id != except && nb.id != r.id {
			c.enqueue(c.box(nb.id), r, needLoad)
		}
	}
}

func needOf(ch change) need {
	switch {
	case ch&changedBody != 0:
		return needFull
	case ch&changedStatus != 0:
		return needStatus
	default:
		return needLoad
	}
}

// known takes out of a peer's outbox what the peer has just shown to hold.
func (c *core) known(from string, ref uint64, n need) {
	b := c.boxes[from]
	if b == nil {
		return
	}
	b.refs[ref] &^= n
	if b.refs[ref] == 0 {
		delete(b.refs, ref)
	}
}

// urgency orders what goes into a push that has no room for all: who is on the
// way out first, for work is still being sent there, and with it shared records,
// for a quarantined request may be about to crash the next server; load reports
// come last.
func (c *core) urgency(r *record, n need) int {
	switch {
	case n == needLoad:
		return 3
	case r.leaving(), r.left(), r.markedGone(), r.suspected(), r.kind == recordShared:
		return urgentNews
	case r.kind == recordMember, n&needFull == 0:
		return 1
	default:
		return 2
	}
}

const urgentNews = 0

// flush sends what is due. Urgent news goes at every tick; the rest waits for
// its interval and for the budget.
func (c *core) flush(now time.Time) {
	other := !now.Before(c.nextPush)
	loads := !now.Before(c.nextLoad)
	if other {
		c.nextPush = now.Add(c.cfg.PushEvery)
	}
	if loads {
		c.nextLoad = now.Add(c.cfg.LoadEvery)
	}
	for _, id := range sortedKeys(c.boxes) {
		c.flushBox(id, c.boxes[id], other, loads, now)
	}
	for _, nb := range c.ring.neighbours {
		if now.Sub(c.box(nb.id).lastPush) >= c.cfg.Heartbeat {
			c.push(nb.id, c.box(nb.id), &message{Kind: kindPush}, false, now)
		}
	}
}

// pick is one record that may go into a push.
type pick struct {
	ref     uint64
	need    need
	urgency int
}

func (c *core) flushBox(id string, b *outbox, other, loads bool, now time.Time) {
	if len(b.refs) == 0 && len(b.pulls) == 0 {
		c.dropIfDone(id, b)
		return
	}
	if !b.urgent && (!b.due(other, loads) || (c.tokens <= 0 && !b.fast)) {
		return
	}
	picks := c.picks(b)
	if len(picks) == 0 && len(b.pulls) == 0 {
		return
	}
	urgent := b.urgent
	m := c.compose(b, picks, loads)
	b.urgent, b.news = false, false
	for ref, n := range b.refs { // what found no room
		c.enqueue(b, c.records[ref], n)
	}
	c.push(id, b, m, urgent, now)
}

// picks lists what the box holds in the order in which it should go out.
func (c *core) picks(b *outbox) []pick {
	picks := make([]pick, 0, len(b.refs))
	for ref, n := range b.refs {
		r := c.records[ref]
		if r == nil {
			delete(b.refs, ref)
			continue
		}
		picks = append(picks, pick{ref: ref, need: n, urgency: c.urgency(r, n)})
	}
	slices.SortFunc(picks, func(x, y pick) int {
		return cmp.Or(cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.ref, y.ref))
	})
	return picks
}

// due says whether the interval of anything in the box has come.
func (b *outbox) due(other, loads bool) bool {
	switch {
	case b.fast:
		return true
	case b.temporary, b.news, len(b.pulls) > 0:
		return other
	default:
		return loads
	}
}

// dropIfDone forgets an empty outbox of a peer that is no neighbour.
func (c *core) dropIfDone(id string, b *outbox) {
	b.fast = false
	if b.temporary {
		delete(c.boxes, id)
	}
}

// compose fills one message from the picks, in their order, up to the bound on
// its size. What finds no room stays in the outbox for the next push.
func (c *core) compose(b *outbox, picks []pick, loads bool) *message {
	m := &message{Kind: kindPush}
	if b.temporary {
		m.Kind = kindReply
	}
	room := c.cfg.MaxMessage - messageOverhead
	n := min(len(b.pulls), room/4/pullSize)
	m.Pull, b.pulls = b.pulls[:n:n], b.pulls[n:]
	room -= n * pullSize
	for _, p := range picks {
		r := c.records[p.ref]
		if p.need == needLoad && !loads && !b.temporary {
			continue
		}
		size := sizeOf(r, p.need)
		if size > room {
			if size > c.cfg.MaxMessage-messageOverhead {
				delete(b.refs, p.ref) // only a body beyond what Announce and Put let through
			}
			continue
		}
		room -= size
		delete(b.refs, p.ref)
		addTo(m, r, p.need)
	}
	return m
}

func sizeOf(r *record, n need) int {
	switch {
	case n&needFull != 0:
		return fullOverhead + len(r.id) + len(r.body)
	case n&needStatus != 0 && n&needLoad != 0:
		return statusSize + loadSize
	case n&needStatus != 0:
		return statusSize
	default:
		return loadSize
	}
}

func addTo(m *message, r *record, n need) {
	if n&needFull != 0 {
		m.Fulls = append(m.Fulls, r.full())
		return
	}
	if n&needStatus != 0 {
		m.Status = append(m.Status, r.status)
	}
	if n&needLoad != 0 {
		m.Loads = append(m.Loads, r.load)
	}
}

func (c *core) push(id string, b *outbox, m *message, urgent bool, now time.Time) {
	b.lastPush = now
	before := c.tokens
	c.send(c.addressOf(id, b.address), id, m, urgent)
	if b.fast {
		c.tokens = before
	}
}

// addressOf prefers the member's own record to what a connection said of it.
func (c *core) addressOf(id, fallback string) string {
	if r := c.lookup(recordMember, id); r != nil {
		return r.member.Link
	}
	return fallback
}

// send hands a message to the runner and charges the budget.
func (c *core) send(to, id string, m *message, urgent bool) {
	if to == "" || id == c.self.id {
		return
	}
	data, err := encodeBounded(m, c.cfg.MaxMessage)
	if err != nil {
		return
	}
	if data, err = c.packer.pack(data); err != nil {
		return
	}
	c.tokens = max(c.tokens-float64(len(data)), -float64(c.cfg.MaxMessage))
	c.sent.Messages++
	c.sent.Bytes += uint64(len(data))
	c.out = append(c.out, outgoing{To: to, ID: id, Message: data, Urgent: urgent})
}
