package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

// shares is this entry's share of the workspaces' limits, as the control replicas grant it. It is safe for
// concurrent use.
type shares struct {
	mu     sync.Mutex
	holder *limit.Holder
}

func newShares(incarnation uint64, start time.Time) *shares {
	return &shares{holder: limit.NewHolder(incarnation, start)}
}

// record records what a replica replied to a call that was sent at sentAt.
func (s *shares) record(replica string, r limit.Reply, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Record(replica, r, sentAt)
}

// share returns this entry's share of every limit.
func (s *shares) share(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Share(now)
}

// report returns what this entry reports to the control replicas.
func (s *shares) report(now time.Time) limit.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Report(now)
}

// giveUp ends the use of the share.
func (s *shares) giveUp(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.GiveUp(now)
}

// entryCount returns the number of entries that have or want a share.
func (s *shares) entryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.EntryCount()
}

// settled reports whether this entry has a grant and all shares that the previous incarnation lent are back
// or expired.
func (s *shares) settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.HasGrant() && s.holder.ShareRecovered(now)
}

// recordReturn records that an entry, which started up ago, has returned the previous
// incarnation's shares, if it held any.
func (s *shares) recordReturn(entry string, held bool, up time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.RecordReturn(entry, held, up, now)
}

// returnsNeeded reports whether other entries have to be asked for the shares that the
// previous incarnation lent.
func (s *shares) returnsNeeded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.ReturnsNeeded(now)
}

// hasReturned reports whether an entry has returned the previous incarnation's shares.
func (s *shares) hasReturned(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.HasReturned(entry)
}

// unusedSince returns since when no entry has used this entry's first share.
func (s *shares) unusedSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.UnusedSince()
}

// String describes for the log what the share is based on.
func (s *shares) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.String()
}
