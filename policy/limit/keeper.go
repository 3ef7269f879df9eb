package limit

import "time"

// Key names a pool: each limit has several, each with the same part of it.
type Key struct {
	Workspace string
	Number    int
}

// PoolSet is what one entry has of all limits: its own shares, where they are lent, and
// the pools with what is lent to it.
type PoolSet struct {
	self string
	part float64 // this entry's share of each pool
	// since is since when nobody uses the share of a pool that is not in pools.
	since time.Time
	pools map[Key]*kept
}

// kept is one pool, and what became of this entry's share of it.
type kept struct {
	Pool
	// holder has this entry's share until then. Whether this entry's share is in Pool is
	// decided by nothing else.
	holder string
	until  time.Time
	asked  time.Time // by the entry that should keep the pool, for the last time
}

// NewPoolSet returns a PoolSet that has no share yet.
func NewPoolSet(self string) *PoolSet { return &PoolSet{self: self, pools: make(map[Key]*kept)} }

// SetShare sets this entry's share, of which nobody has used anything since a time. What is
// lent stays as it was lent.
func (k *PoolSet) SetShare(part float64, since, now time.Time) {
	if part == k.part {
		return
	}
	k.part, k.since = part, since
	for _, p := range k.pools {
		if k.settle(p, now) {
			p.RemoveShare(k.self, now)
			p.AddShare(k.self, part, since, now.Add(always), now)
		}
	}
}

// always stands for the end of what has none.
const always = 100 * 365 * 24 * time.Hour

// Share returns this entry's share.
func (k *PoolSet) Share() float64 { return k.part }

// of returns a pool as it is at now.
func (k *PoolSet) of(key Key, now time.Time) *kept {
	p := k.pools[key]
	if p == nil {
		p = &kept{Pool: newPool(k.self, k.part, k.since, now.Add(always))}
		k.pools[key] = p
	}
	k.settle(p, now)
	return p
}

// settle takes this entry's share back once its lease has run out, and reports whether it
// is here.
func (k *PoolSet) settle(p *kept, now time.Time) (here bool) {
	if p.holder == "" {
		return true
	}
	if now.Before(p.until) {
		return false
	}
	p.AddShare(k.self, k.part, p.until, now.Add(always), now)
	p.holder = ""
	return true
}

// Pool returns a pool with the limit in force.
func (k *PoolSet) Pool(key Key, l Limit, now time.Time) *Pool {
	p := k.of(key, now)
	p.SetLimit(l, now)
	return &p.Pool
}

// Borrower returns who has this entry's share of a pool; empty if it is here.
func (k *PoolSet) Borrower(key Key, now time.Time) string { return k.of(key, now).holder }

// Lend lends this entry's share of a pool to an entry that asks for it, for so long from
// now on. owner is the one that should keep the pool as far as is known here. Another one
// gets the share only while the owner does not ask for it: it may be the one that can
// reach this entry.
//
// What the share has brought goes with it: saved is what is left of it here.
func (k *PoolSet) Lend(key Key, asker, owner string, long time.Duration, now time.Time) (part, saved float64, ok bool) {
	p := k.of(key, now)
	if asker == owner {
		p.asked = now
	}
	ownerAsks := owner == k.self || !p.asked.IsZero() && now.Sub(p.asked) <= long
	switch {
	case k.part == 0:
		return 0, 0, false // nothing is lent that is not there
	case p.holder != "" && p.holder != asker:
		return 0, 0, false
	case asker != owner && ownerAsks:
		return 0, 0, false
	}
	if p.holder == "" {
		saved = p.takeOut(k.self, now)
	}
	p.holder = asker
	if until := now.Add(long); until.After(p.until) {
		p.until = until
	}
	return k.part, saved, true
}

// Borrow takes another entry's share of a pool until a time, with what it had saved.
func (k *PoolSet) Borrow(key Key, from string, part, saved float64, until, now time.Time) {
	p := k.of(key, now)
	p.AddShare(from, part, now, until, now)
	p.add(saved)
}

// ReturnShares drops what an entry has lent, which has started anew and uses it itself. It
// reports whether there was anything.
func (k *PoolSet) ReturnShares(entry string, now time.Time) (held bool) {
	for _, p := range k.pools {
		held = p.RemoveShare(entry, now) || held
	}
	return held
}

// Retain drops the pools of workspaces for which keep does not hold: their limits are gone.
// One whose share is lent stays until it is back: the limit may come again.
func (k *PoolSet) Retain(keep func(workspace string) bool, now time.Time) {
	for key, p := range k.pools {
		if !keep(key.Workspace) && k.settle(p, now) {
			delete(k.pools, key)
		}
	}
}
