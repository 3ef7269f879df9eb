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
	self  string
	share float64 // this entry's share of each pool
	// unusedSince is unusedSince when nobody uses the share of a pool that is not in pools.
	unusedSince time.Time
	pools       map[Key]*ownedPool
}

// ownedPool is one pool, and what became of this entry's share of it.
type ownedPool struct {
	Pool
	// borrower has this entry's share until then. Whether this entry's share is in Pool is
	// decided by nothing else.
	borrower         string
	leaseEnd         time.Time
	ownerRequestedAt time.Time // by the entry that should keep the pool, for the last time
}

// NewPoolSet returns a PoolSet that has no share yet.
func NewPoolSet(self string) *PoolSet { return &PoolSet{self: self, pools: make(map[Key]*ownedPool)} }

// SetShare sets this entry's share, of which nobody has used anything since a time. What is
// lent stays as it was lent.
func (s *PoolSet) SetShare(share float64, unusedSince, now time.Time) {
	if share == s.share {
		return
	}
	s.share, s.unusedSince = share, unusedSince
	for _, p := range s.pools {
		if s.reclaimShare(p, now) {
			p.RemoveShare(s.self, now)
			p.AddShare(s.self, share, unusedSince, now.Add(forever), now)
		}
	}
}

// forever stands for the end of what has none.
const forever = 100 * 365 * 24 * time.Hour

// Share returns this entry's share.
func (s *PoolSet) Share() float64 { return s.share }

// get returns a pool as it is at now.
func (s *PoolSet) get(key Key, now time.Time) *ownedPool {
	p := s.pools[key]
	if p == nil {
		p = &ownedPool{Pool: newPool(s.self, s.share, s.unusedSince, now.Add(forever))}
		s.pools[key] = p
	}
	s.reclaimShare(p, now)
	return p
}

// reclaimShare takes this entry's share back once its lease has run out, and reports whether it
// is here.
func (s *PoolSet) reclaimShare(p *ownedPool, now time.Time) (reclaimed bool) {
	if p.borrower == "" {
		return true
	}
	if now.Before(p.leaseEnd) {
		return false
	}
	p.AddShare(s.self, s.share, p.leaseEnd, now.Add(forever), now)
	p.borrower = ""
	return true
}

// Pool returns a pool with the limit in force.
func (s *PoolSet) Pool(key Key, l Limit, now time.Time) *Pool {
	p := s.get(key, now)
	p.SetLimit(l, now)
	return &p.Pool
}

// Borrower returns who has this entry's share of a pool; empty if it is here.
func (s *PoolSet) Borrower(key Key, now time.Time) string { return s.get(key, now).borrower }

// Lend lends this entry's share of a pool to an entry that asks for it, for so long from
// now on. owner is the one that should keep the pool as far as is known here. Another one
// gets the share only while the owner does not ask for it: it may be the one that can
// reach this entry.
//
// What the share has brought goes with it: saved is what is left of it here.
func (s *PoolSet) Lend(key Key, borrower, owner string, lease time.Duration, now time.Time) (share, saved float64, ok bool) {
	p := s.get(key, now)
	if borrower == owner {
		p.ownerRequestedAt = now
	}
	ownerRequests := owner == s.self || !p.ownerRequestedAt.IsZero() && now.Sub(p.ownerRequestedAt) <= lease
	switch {
	case s.share == 0:
		return 0, 0, false // nothing is lent that is not there
	case p.borrower != "" && p.borrower != borrower:
		return 0, 0, false
	case borrower != owner && ownerRequests:
		return 0, 0, false
	}
	if p.borrower == "" {
		saved = p.withdrawShare(s.self, now)
	}
	p.borrower = borrower
	if leaseEnd := now.Add(lease); leaseEnd.After(p.leaseEnd) {
		p.leaseEnd = leaseEnd
	}
	return s.share, saved, true
}

// Borrow takes another entry's share of a pool until a time, with what it had saved.
func (s *PoolSet) Borrow(key Key, lender string, share, saved float64, until, now time.Time) {
	p := s.get(key, now)
	p.AddShare(lender, share, now, until, now)
	p.add(saved)
}

// ReturnShares drops what an entry has lent, which has started anew and uses it itself. It
// reports whether there was anything.
func (s *PoolSet) ReturnShares(entry string, now time.Time) (held bool) {
	for _, p := range s.pools {
		held = p.RemoveShare(entry, now) || held
	}
	return held
}

// Retain drops the pools of workspaces for which keep does not hold: their limits are gone.
// One whose share is lent stays until it is back: the limit may come again.
func (s *PoolSet) Retain(keep func(workspace string) bool, now time.Time) {
	for key, p := range s.pools {
		if !keep(key.Workspace) && s.reclaimShare(p, now) {
			delete(s.pools, key)
		}
	}
}
