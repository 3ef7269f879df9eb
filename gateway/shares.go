package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

// shares is this entry's share of the workspaces' limits, as the control replicas say.
type shares struct {
	mu    sync.Mutex
	words *limit.ShareVotes
}

func newShares(start time.Time) *shares { return &shares{words: limit.NewShareVotes(start)} }

// take takes a replica's answer to a call that was made at a time. replicas is how many it
// knows, itself among them.
func (s *shares) take(replica string, word limit.ShareVote, replicas int, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.Record(replica, word, replicas, asked)
}

// part returns this entry's share of every limit.
func (s *shares) part(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.Share(now)
}

// inUse returns the number of which the largest share that may be in use is a part.
func (s *shares) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.DivisorInUse()
}

// settled reports whether what the life before this one had lent is back.
func (s *shares) settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.Settled(now)
}

// returned takes that an entry, which started so long ago, has given back what the life
// before this one had lent it, if it held anything.
func (s *shares) returned(entry string, held bool, up time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words.RecordReturn(entry, held, up, now)
}

// hasReturned reports whether an entry has given back what the life before this one had lent.
func (s *shares) hasReturned(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.HasReturned(entry)
}

// freeSince is since when nobody has used this entry's share, when it gets one first.
func (s *shares) freeSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.UnusedSince()
}

// String tells for the log what the share is taken from.
func (s *shares) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.String()
}
