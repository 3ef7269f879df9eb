package limit

import (
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
	limit  Limit
	shares map[string]share // by entry
	level  float64          // unused tokens; below 0: overdrawn
	// promised is the cost of refused requests that were given a time to retry. Each
	// further one waits until these have been served, so that they don't all retry for
	// the same tokens.
	promised  float64
	updatedAt time.Time // time of the last fill
}

// share is an entry's share of a limit and the time during which the pool may use it.
type share struct {
	fraction    float64 // of the limit, 0..1
	from, until time.Time
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
	return Pool{shares: map[string]share{entry: {fraction: fraction, from: unusedSince, until: until}}, updatedAt: unusedSince}
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
		p.shares = make(map[string]share)
	}
	old, exists := p.shares[entry]
	if exists && !until.After(old.until) {
		return // a later lease arrived first
	}
	if exists {
		from = now // tokens up to now are already in level
	}
	p.shares[entry] = share{fraction: fraction, from: from, until: until}
	p.add(p.limit.Rate * fraction * positiveSeconds(now.Sub(from)))
}

// RemoveShare removes an entry's share and reports whether the pool had it.
func (p *Pool) RemoveShare(entry string, now time.Time) (held bool) {
	if _, held = p.shares[entry]; !held {
		return false
	}
	p.fill(now)
	_, held = p.shares[entry] // fill removes it if it has expired
	delete(p.shares, entry)
	p.level = min(p.level, p.capacity())
	return held
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
	return p.shareSum()
}

func (p *Pool) shareSum() float64 {
	sum := 0.0
	for _, s := range p.shares {
		sum += s.fraction
	}
	return sum
}

func (p *Pool) capacity() float64 { return p.limit.Burst * p.shareSum() }

// fill adds the tokens since the last call and removes expired shares.
func (p *Pool) fill(now time.Time) {
	refill := 0.0
	for entry, s := range p.shares {
		from, until := p.updatedAt, now
		if s.from.After(from) {
			from = s.from
		}
		if s.until.Before(until) {
			until = s.until
		}
		refill += p.limit.Rate * s.fraction * positiveSeconds(until.Sub(from))
		if !s.until.After(now) {
			delete(p.shares, entry)
		}
	}
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
		rate += p.limit.Rate * p.shareSum()
		shareSum += p.shareSum()
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
		poolRate := p.limit.Rate * p.shareSum()
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
