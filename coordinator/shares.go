package coordinator

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

// shareBook says which entries may use a share of the workspaces' limits.
type shareBook struct {
	mu     sync.Mutex
	roster *limit.Registry
}

func newShareBook(now time.Time, firstStart bool) *shareBook {
	return &shareBook{roster: limit.NewRegistry(now, firstStart)}
}

// recall takes the entries that were written down before this replica started.
func (b *shareBook) recall(names []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roster.Restore(names, now)
}

// note takes a call of an entry.
func (b *shareBook) note(name string, divisor int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roster.Observe(name, divisor, now)
}

// word returns what an entry is told.
func (b *shareBook) word(name string, now time.Time) limit.ShareVote {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.Vote(name, now)
}

// names returns the entries that may use a share.
func (b *shareBook) names(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.AllowedEntries(now)
}
