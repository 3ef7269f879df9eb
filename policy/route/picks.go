package route

import "slices"

// candidateSet holds the slots of the servers to score, without duplicates.
type candidateSet struct {
	count             int
	slots             [maxCandidates]int
	firstByRendezvous int  // first slot in the rendezvous order below its bound, or -1
	firstAtBound      bool // the first server in the rendezvous order is at its bound
}

func (p *candidateSet) add(slot int) {
	if !slices.Contains(p.slots[:p.count], slot) {
		p.slots[p.count] = slot
		p.count++
	}
}

func (p *candidateSet) addAll(b *topTwo) {
	for _, slot := range b.slots[:b.count] {
		p.add(slot)
	}
}

// reasonFor returns why the slot was chosen. cached is its number of cached tokens.
func (p *candidateSet) reasonFor(slot, cached int) Reason {
	switch {
	case p.firstAtBound:
		return ReasonSpread
	case cached > 0:
		return ReasonCachedPrefix
	case slot == p.firstByRendezvous:
		return ReasonRendezvous
	default:
		return ReasonLeastCost
	}
}

// topTwo holds the two slots with the highest ranks, highest first.
type topTwo struct {
	count int
	slots [2]int
	ranks [2]uint64
}

func (b *topTwo) accepts(rank uint64) bool {
	return b.count < 2 || rank > b.ranks[1]
}

func (b *topTwo) offer(slot int, rank uint64) {
	switch {
	case b.count == 0 || rank > b.ranks[0]:
		b.slots[1], b.ranks[1] = b.slots[0], b.ranks[0]
		b.slots[0], b.ranks[0] = slot, rank
	case b.count == 1 || rank > b.ranks[1]:
		b.slots[1], b.ranks[1] = slot, rank
	default:
		return
	}
	b.count = min(b.count+1, 2)
}
