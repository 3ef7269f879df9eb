package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

// shares is this entry's share of the workspaces' limits, by the control replicas' votes.
type shares struct {
	mu    sync.Mutex
	votes *limit.ShareVotes
}

func newShares(start time.Time) *shares { return &shares{votes: limit.NewShareVotes(start)} }

// recordVote records a replica's vote from the response to a call that was sent at sentAt.
// replicas is the number of replicas that it knows, including itself.
func (s *shares) recordVote(replica string, vote limit.ShareVote, replicas int, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.votes.Record(replica, vote, replicas, sentAt)
}

// share returns this entry's share of every limit.
func (s *shares) share(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.Share(now)
}

// divisorInUse returns the smallest divisor that may still be in use.
func (s *shares) divisorInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.DivisorInUse()
}

// settled reports whether all shares that the previous incarnation lent are back or expired.
func (s *shares) settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.ShareRecovered(now)
}

// recordReturn records that an entry, which started up ago, has returned the previous
// incarnation's shares, if it held any.
func (s *shares) recordReturn(entry string, held bool, up time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.votes.RecordReturn(entry, held, up, now)
}

// returnsNeeded reports whether other entries have to be asked for the shares that the
// previous incarnation lent.
func (s *shares) returnsNeeded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.ReturnsNeeded(now)
}

// hasReturned reports whether an entry has returned the previous incarnation's shares.
func (s *shares) hasReturned(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.HasReturned(entry)
}

// unusedSince returns since when no entry has used this entry's first share.
func (s *shares) unusedSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.UnusedSince()
}

// String describes for the log what the share is based on.
func (s *shares) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.votes.String()
}
