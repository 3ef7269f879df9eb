package limit

import (
	"container/heap"
	"time"
)

// Limit is the limit of a pool that has all shares, in the limit's unit.
type Limit struct {
	Burst float64 // the most tokens at once
	Rate  float64 // per second
	// LateReserve is the fraction of Burst that requests past their objective may not use.
	LateReserve float64
}

// Pool is a token bucket for the shares of a limit that it holds. The zero Pool has no
// shares and admits nothing.
type Pool struct {
	limit    Limit
	shares   map[string]*share // by entry
	sum      float64           // of the shares
	expiries expiryHeap        // the shares
	level    float64           // unused tokens; below 0: overdrawn
	// promised is the cost of refused requests that were given a time to retry. Each
	// further one waits until these have been served, so that they don't all retry for
	// the same tokens.
	promised  float64
	updatedAt time.Time // time of the last fill
}

// share is an entry's share of a limit and the time until which the pool may use it.
type share struct {
	entry    string
	fraction float64 // of the limit, 0..1
	until    time.Time
	index    int // in Pool.expiries
}

// expiryHeap implements heap.Interface: the share that ends first is first. An owner has a share of
// each of hundreds of entries in dozens of pools: with a look at all of them for each request and
// each renewal, it would do nothing else.
type expiryHeap []*share

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	s := x.(*share)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return s
}

const (
	// maxPromisedSeconds bounds promised, in seconds of the pool's rate: callers give up sooner.
	maxPromisedSeconds = 5.0
	// majorityShare is the sum of shares above which a pool admits a request larger than its
	// capacity. At most one pool exceeds it.
	majorityShare = 0.5
)

// newPool returns a pool with one entry's share, unused since unusedSince.
func newPool(entry string, fraction float64, unusedSince, until time.Time) Pool {
	first := &share{entry: entry, fraction: fraction, until: until}
	return Pool{shares: map[string]*share{entry: first}, sum: fraction, expiries: expiryHeap{first}, updatedAt: unusedSince}
}

// SetLimit sets the limit. Tokens above the new capacity are dropped.
func (p *Pool) SetLimit(l Limit, now time.Time) {
	if p.limit == (Limit{}) {
		p.limit = l
	}
	p.fill(now)
	p.limit = l
	p.level = min(p.level, p.capacity())
}

// AddShare adds an entry's share, valid from a time that may have passed until another
// one. It replaces the entry's earlier share if the new one ends later, and otherwise does
// nothing.
func (p *Pool) AddShare(entry string, fraction float64, from, until, now time.Time) {
	p.fill(now)
	if p.shares == nil {
		p.shares = make(map[string]*share)
	}
	old, exists := p.shares[entry]
	switch {
	case exists && !until.After(old.until):
		return // a later lease arrived first
	case exists:
		from = now // tokens up to now are already in level
		p.sum += fraction - old.fraction
		old.fraction, old.until = fraction, until
		heap.Fix(&p.expiries, old.index)
	default:
		p.sum += fraction
		p.shares[entry] = &share{entry: entry, fraction: fraction, until: until}
		heap.Push(&p.expiries, p.shares[entry])
	}
	p.add(p.limit.Rate * fraction * positiveSeconds(now.Sub(from)))
}

// RemoveShare removes an entry's share and reports whether the pool had it.
func (p *Pool) RemoveShare(entry string, now time.Time) (held bool) {
	if p.shares[entry] == nil {
		return false
	}
	p.fill(now)
	removed, held := p.shares[entry] // fill removes it if it has expired
	if held {
		heap.Remove(&p.expiries, removed.index)
		p.drop(removed)
	}
	p.level = min(p.level, p.capacity())
	return held
}

// drop removes a share that is not in p.expiries any more.
func (p *Pool) drop(s *share) {
	p.sum -= s.fraction
	delete(p.shares, s.entry)
	if len(p.shares) == 0 {
		p.sum = 0 // without rounding errors
	}
}

// withdrawShare removes an entry's share and returns the tokens that no longer fit without it.
func (p *Pool) withdrawShare(entry string, now time.Time) float64 {
	p.fill(now)
	oldLevel := p.level
	p.RemoveShare(entry, now)
	return max(oldLevel, 0) - max(p.level, 0)
}

// ShareSum returns the sum of the shares in the pool.
func (p *Pool) ShareSum(now time.Time) float64 {
	p.fill(now)
	return p.sum
}

func (p *Pool) capacity() float64 { return p.limit.Burst * p.sum }

// fill adds the tokens since the last call and removes expired shares.
func (p *Pool) fill(now time.Time) {
	refill := 0.0
	for len(p.expiries) > 0 && !p.expiries[0].until.After(now) {
		expired := heap.Pop(&p.expiries).(*share)
		refill += p.limit.Rate * p.sum * positiveSeconds(expired.until.Sub(p.updatedAt))
		if expired.until.After(p.updatedAt) {
			p.updatedAt = expired.until
		}
		p.drop(expired)
	}
	refill += p.limit.Rate * p.sum * positiveSeconds(now.Sub(p.updatedAt))
	p.updatedAt = now
	p.promised = max(p.promised-refill, 0)
	p.add(refill)
}

// add adds n tokens, up to the pool's capacity.
func (p *Pool) add(n float64) {
	p.level = min(p.level+n, p.capacity())
}

func positiveSeconds(d time.Duration) float64 { return max(d.Seconds(), 0) }

// Refund returns the cost of a request that did not run.
func (p *Pool) Refund(cost float64, now time.Time) {
	p.fill(now)
	p.add(cost)
}

// Allow takes cost from the pools, which belong to one limit and one entry, and reports
// whether they had enough. If not, wait is the time until they will, or 0 if they have no
// shares. late says that the request's objective has passed; such a request leaves
// Limit.LateReserve.
func Allow(pools []*Pool, cost float64, late bool, now time.Time) (ok bool, wait time.Duration) {
	var level, capacity, rate, shareSum, promised, lateReserve float64
	for _, p := range pools {
		p.fill(now)
		level += p.level
		capacity += p.capacity()
		rate += p.limit.Rate * p.sum
		shareSum += p.sum
		promised += p.promised
		lateReserve = p.limit.LateReserve
	}
	need := cost
	if late {
		need += lateReserve * capacity
	}
	if capacity > 0 && shareSum > majorityShare*float64(len(pools)) {
		need = min(need, capacity) // a larger request is admitted when the pool is full
	} else if late && cost <= capacity {
		need = min(need, capacity)
	}
	if capacity > 0 && level >= need {
		draw(pools, cost)
		return true, 0
	}
	if rate <= 0 {
		return false, 0
	}
	wait = time.Duration((need - level + promised) / rate * float64(time.Second))
	for _, p := range pools {
		poolRate := p.limit.Rate * p.sum
		p.promised = min(p.promised+cost*poolRate/rate, maxPromisedSeconds*poolRate)
	}
	return false, wait
}

// draw takes cost from the pools in order; the last one may be overdrawn.
func draw(pools []*Pool, cost float64) {
	for i, p := range pools {
		n := min(max(p.level, 0), cost)
		if i == len(pools)-1 {
			n = cost
		}
		p.level -= n
		cost -= n
	}
}
