package route

import "slices"

// picks are the slots to score, without doubles.
type picks struct {
	n      int
	slot   [maxCandidates]int
	first  int  // slot that comes first by rendezvous among those with room
	spread bool // the server that comes first of all has no room
}

func (p *picks) add(slot int) {
	if !slices.Contains(p.slot[:p.n], slot) {
		p.slot[p.n] = slot
		p.n++
	}
}

func (p *picks) addAll(b *best2) {
	for _, slot := range b.slot[:b.n] {
		p.add(slot)
	}
}

func (p *picks) explain(slot, cached int) Reason {
	switch {
	case p.spread:
		return ReasonSpread
	case cached > 0:
		return ReasonCachedPrefix
	case slot == p.first:
		return ReasonRendezvous
	default:
		return ReasonLeastCost
	}
}

// best2 keeps the two slots of the highest rank, the best first.
type best2 struct {
	n    int
	slot [2]int
	rank [2]uint64
}

func (b *best2) wants(rank uint64) bool {
	return b.n < 2 || rank > b.rank[1]
}

func (b *best2) offer(slot int, rank uint64) {
	switch {
	case b.n == 0 || rank > b.rank[0]:
		b.slot[1], b.rank[1] = b.slot[0], b.rank[0]
		b.slot[0], b.rank[0] = slot, rank
	case b.n == 1 || rank > b.rank[1]:
		b.slot[1], b.rank[1] = slot, rank
	default:
		return
	}
	b.n = min(b.n+1, 2)
}
