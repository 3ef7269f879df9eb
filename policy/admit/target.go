package admit

import (
	"math"
	"slices"
	"time"
)

// setTargets sets the part of the pool that each live entry should have by the
// demands of all: max-min fair, with what nobody asks for split evenly, so that
// each entry can let in the first requests of a caller that moves to it.
func (p *pool) setTargets(now time.Time) {
	var live []*holder
	var requests, tokens, running demands
	for _, h := range p.holders {
		h.target, h.balanced = Amount{}, true
		if !h.live(now, p) {
			continue
		}
		live = append(live, h)
		requests = append(requests, h.wanted.RequestsPerSecond)
		tokens = append(tokens, h.wanted.TokensPerSecond)
		running = append(running, float64(h.wanted.Concurrency))
	}
	requestParts := requests.split(p.shared.RequestsPerSecond)
	tokenParts := tokens.split(p.shared.TokensPerSecond)
	runningParts := running.splitWhole(p.shared.Concurrency)
	for i, h := range live {
		h.target = Amount{
			RequestsPerSecond: requestParts[i],
			TokensPerSecond:   tokenParts[i],
			Concurrency:       runningParts[i],
		}
	}
}

// demands are what each live entry asks for of one quantity.
type demands []float64

// split returns each one's part of capacity. The parts add up to capacity.
func (d demands) split(capacity float64) []float64 {
	parts := make([]float64, len(d))
	order := make([]int, len(d))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case d[a] < d[b]:
			return -1
		case d[a] > d[b]:
			return 1
		}
		return 0
	})
	left := capacity
	for i, who := range order {
		parts[who] = min(max(0, d[who]), left/float64(len(order)-i))
		left -= parts[who]
	}
	for i := range parts {
		parts[i] += left / float64(len(parts))
	}
	return parts
}

// splitWhole is split in whole numbers: each part is the difference of two
// rounded running sums, so that the parts add up to capacity.
func (d demands) splitWhole(capacity int) []int {
	parts := d.split(float64(capacity))
	whole := make([]int, len(parts))
	sum, given := 0.0, 0
	for i, part := range parts {
		sum += part
		upTo := min(capacity, int(math.Floor(sum+roundingSlack)))
		whole[i] = upTo - given
		given = upTo
	}
	return whole
}

// roundingSlack keeps a sum like 4.9999999 from losing a unit.
const roundingSlack = 1e-6
