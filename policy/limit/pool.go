package limit

import (
	"time"
)

// Limit is what may be used of a pool that has all shares, in the limit's unit.
type Limit struct {
	Burst float64 // at once
	Rate  float64 // in a second
	// LateReserve is the part of Burst that requests leave which can't be in time any more.
	LateReserve float64
}

// Pool is what is left of a limit, as far as its shares are here. The zero Pool is empty.
type Pool struct {
	limit  Limit
	shares map[string]share // by entry
	level  float64          // below 0: overdrawn
	// promised is what those use who were told when to come back: each is told a time
	// after those before it, so that they don't all come for the same room.
	promised float64
	at       time.Time // up to which level counts
}

// share is an entry's share for a time.
type share struct {
	part        float64 // of the whole
	from, until time.Time
}

const (
	// mostPromised bounds what is promised, in seconds of the limit's rate: callers give up
	// sooner than after that.
	mostPromised = 5.0
	// mostParts is the part of all shares above which a pool lets in a request that is
	// larger than it can ever hold. Only one pool has so many.
	mostParts = 0.5
)

// newPool returns a pool with one share, of which nothing has been used since a time.
func newPool(entry string, part float64, since, until time.Time) Pool {
	return Pool{shares: map[string]share{entry: {part: part, from: since, until: until}}, at: since}
}

// SetLimit takes the limit in force.
func (p *Pool) SetLimit(l Limit, now time.Time) {
	if p.limit == (Limit{}) {
		p.limit = l
	}
	p.fill(now)
	p.limit = l
	p.level = min(p.level, p.size())
}

// AddShare adds an entry's share from a time that may have passed until another one, or
// replaces the one that was there.
func (p *Pool) AddShare(entry string, part float64, from, until, now time.Time) {
	p.fill(now)
	if p.shares == nil {
		p.shares = make(map[string]share)
	}
	old, had := p.shares[entry]
	if had && !until.After(old.until) {
		return // overtaken by a later word
	}
	if had {
		from = now // what came before is counted
	}
	p.shares[entry] = share{part: part, from: from, until: until}
	p.add(p.limit.Rate * part * positive(now.Sub(from)))
}

// RemoveShare takes an entry's share out and reports whether it was there.
func (p *Pool) RemoveShare(entry string, now time.Time) (held bool) {
	p.fill(now)
	_, held = p.shares[entry]
	delete(p.shares, entry)
	p.level = min(p.level, p.size())
	return held
}

// takeOut drops an entry's share with its part of what is left, which it returns.
func (p *Pool) takeOut(entry string, now time.Time) float64 {
	p.fill(now)
	before := p.level
	p.RemoveShare(entry, now)
	return max(before, 0) - max(p.level, 0)
}

// ShareSum is the sum of the shares that are here.
func (p *Pool) ShareSum(now time.Time) float64 {
	p.fill(now)
	return p.parts()
}

func (p *Pool) parts() float64 {
	sum := 0.0
	for _, s := range p.shares {
		sum += s.part
	}
	return sum
}

func (p *Pool) size() float64 { return p.limit.Burst * p.parts() }

// fill brings the pool up to now.
func (p *Pool) fill(now time.Time) {
	fresh := 0.0
	for entry, s := range p.shares {
		from, until := p.at, now
		if s.from.After(from) {
			from = s.from
		}
		if s.until.Before(until) {
			until = s.until
		}
		fresh += p.limit.Rate * s.part * positive(until.Sub(from))
		if !s.until.After(now) {
			delete(p.shares, entry)
		}
	}
	p.at = now
	p.promised = max(p.promised-fresh, 0)
	p.add(fresh)
}

// add puts in what is not above the size.
func (p *Pool) add(n float64) {
	p.level = min(p.level+n, p.size())
}

func positive(d time.Duration) float64 { return max(d.Seconds(), 0) }

// Refund gives back what a request that did not run had taken.
func (p *Pool) Refund(cost float64, now time.Time) {
	p.fill(now)
	p.add(cost)
}

// Allow takes cost from pools of one limit that are at one place, or says when there will
// be enough. late says that the request's objective has passed.
func Allow(pools []*Pool, cost float64, late bool, now time.Time) (ok bool, wait time.Duration) {
	var level, size, rate, parts, promised, spare float64
	for _, p := range pools {
		p.fill(now)
		level += p.level
		size += p.size()
		rate += p.limit.Rate * p.parts()
		parts += p.parts()
		promised += p.promised
		spare = p.limit.LateReserve
	}
	need := cost
	if late {
		need += spare * size
	}
	if size > 0 && parts > mostParts*float64(len(pools)) {
		need = min(need, size) // one that is larger than all that there can be goes through when it is full
	} else if late && cost <= size {
		need = min(need, size)
	}
	if size > 0 && level >= need {
		draw(pools, cost)
		return true, 0
	}
	if rate <= 0 {
		return false, 0
	}
	wait = time.Duration((need - level + promised) / rate * float64(time.Second))
	for _, p := range pools {
		part := p.limit.Rate * p.parts()
		p.promised = min(p.promised+cost*part/rate, mostPromised*part)
	}
	return false, wait
}

// draw takes cost from the pools, and what none of them has from the last one.
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
