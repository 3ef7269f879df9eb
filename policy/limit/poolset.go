package limit

import "time"

// Key names a pool. A limit is split evenly into several pools, numbered from 0.
type Key struct {
	Workspace string
	Number    int
}

// PoolSet holds one entry's pools of all limits: its own shares, their leases, and the
// shares that other entries have lent to it.
type PoolSet struct {
	self  string
	share float64 // this entry's share of each pool
	// unusedSince is the time since which nobody has used the shares of pools not in pools.
	unusedSince time.Time
	pools       map[Key]*ownedPool
}

// ownedPool is a pool and the lease of this entry's share of it.
type ownedPool struct {
	Pool
	// borrower has this entry's share until leaseEnd. The share is in Pool if and only if
	// borrower is empty.
	borrower         string
	leaseEnd         time.Time
	ownerRequestedAt time.Time // last request of the pool's owner
}

// NewPoolSet returns a PoolSet of the entry self, without a share.
func NewPoolSet(self string) *PoolSet { return &PoolSet{self: self, pools: make(map[Key]*ownedPool)} }

// SetShare sets this entry's share, unused since unusedSince. Shares that are lent keep
// their size until they are back.
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

// forever is the end of a share that is not lent.
const forever = 100 * 365 * 24 * time.Hour

// Share returns this entry's share of every limit.
func (s *PoolSet) Share() float64 { return s.share }

// get returns a pool, with its own share back in it if the lease has expired.
func (s *PoolSet) get(key Key, now time.Time) *ownedPool {
	p := s.pools[key]
	if p == nil {
		p = &ownedPool{Pool: newPool(s.self, s.share, s.unusedSince, now.Add(forever))}
		s.pools[key] = p
	}
	s.reclaimShare(p, now)
	return p
}

// reclaimShare puts this entry's share back into p once its lease has expired, and reports
// whether the share is in p.
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

// Pool returns a pool with the limit set to l.
func (s *PoolSet) Pool(key Key, l Limit, now time.Time) *Pool {
	p := s.get(key, now)
	p.SetLimit(l, now)
	return &p.Pool
}

// Borrower returns the entry that has this entry's share of a pool; empty if it is not lent.
func (s *PoolSet) Borrower(key Key, now time.Time) string { return s.get(key, now).borrower }

// Lend lends this entry's share of a pool to borrower for the duration of lease, or renews
// its lease. owner is the entry that this one takes for the pool's owner. Another borrower
// gets the share only while the owner does not request it, since it may be the one that can
// reach this entry.
//
// saved is the number of unused tokens that go along with the share; the pool here loses
// them.
func (s *PoolSet) Lend(key Key, borrower, owner string, lease time.Duration, now time.Time) (share, saved float64, ok bool) {
	p := s.get(key, now)
	if borrower == owner {
		p.ownerRequestedAt = now
	}
	ownerRequests := owner == s.self || !p.ownerRequestedAt.IsZero() && now.Sub(p.ownerRequestedAt) <= lease
	switch {
	case s.share == 0:
		return 0, 0, false // no share to lend
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

// Borrow adds a share lent by another entry until a time, and the unused tokens saved.
func (s *PoolSet) Borrow(key Key, lender string, share, saved float64, until, now time.Time) {
	p := s.get(key, now)
	p.AddShare(lender, share, now, until, now)
	p.add(saved)
}

// ReturnShares removes all shares lent by an entry that has restarted and will use them
// itself. It reports whether there were any.
func (s *PoolSet) ReturnShares(entry string, now time.Time) (held bool) {
	for _, p := range s.pools {
		held = p.RemoveShare(entry, now) || held
	}
	return held
}

// Retain drops the pools of workspaces for which keep returns false. A pool whose share is
// lent stays until the lease expires: if the limit is set again meanwhile, the share must
// not be used twice.
func (s *PoolSet) Retain(keep func(workspace string) bool, now time.Time) {
	for key, p := range s.pools {
		if !keep(key.Workspace) && s.reclaimShare(p, now) {
			delete(s.pools, key)
		}
	}
}
