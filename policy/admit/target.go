package admit

import (
	"math"
	"slices"
	"time"
)

// setTargets sets the target share of each live entry by max-min fairness over
// the reported demands. What is not demanded is divided equally, so that each
// entry can admit the first requests of a caller that moves to it.
func (p *pool) setTargets(now time.Time) {
	var live []*holder
	var requestDemands, tokenDemands, concurrencyDemands demands
	for _, h := range p.holders {
		h.target, h.hasTarget = Amount{}, true
		if !h.live(now, p) {
			continue
		}
		live = append(live, h)
		requestDemands = append(requestDemands, h.wanted.RequestsPerSecond)
		tokenDemands = append(tokenDemands, h.wanted.TokensPerSecond)
		concurrencyDemands = append(concurrencyDemands, float64(h.wanted.Concurrency))
	}
	requestShares := requestDemands.split(p.leasable.RequestsPerSecond)
	tokenShares := tokenDemands.split(p.leasable.TokensPerSecond)
	concurrencyShares := concurrencyDemands.splitIntegers(p.leasable.Concurrency)
	for i, h := range live {
		h.target = Amount{
			RequestsPerSecond: requestShares[i],
			TokensPerSecond:   tokenShares[i],
			Concurrency:       concurrencyShares[i],
		}
	}
}

// demands holds the demand of each live entry for one quantity.
type demands []float64

// split returns the max-min fair share of capacity for each demand. The shares
// add up to capacity.
func (d demands) split(capacity float64) []float64 {
	shares := make([]float64, len(d))
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
	remaining := capacity
	for i, index := range order {
		shares[index] = min(max(0, d[index]), remaining/float64(len(order)-i))
		remaining -= shares[index]
	}
	for i := range shares {
		shares[i] += remaining / float64(len(shares))
	}
	return shares
}

// splitIntegers is split with integer shares. Each share is the difference of
// two rounded cumulative sums, so the shares add up to capacity.
func (d demands) splitIntegers(capacity int) []int {
	shares := d.split(float64(capacity))
	rounded := make([]int, len(shares))
	sum, assigned := 0.0, 0
	for i, share := range shares {
		sum += share
		cumulative := min(capacity, int(math.Floor(sum+roundingMargin)))
		rounded[i] = cumulative - assigned
		assigned = cumulative
	}
	return rounded
}

// roundingMargin keeps floating-point error from rounding a sum such as
// 4.9999999 down by one.
const roundingMargin = 1e-6
