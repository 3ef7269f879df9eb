package coordinator

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

// shareRegistry decides which entries may use a share of the workspaces' limits. It
// makes a limit.Registry safe for concurrent use.
type shareRegistry struct {
	mu       sync.Mutex
	registry *limit.Registry
}

func newShareRegistry(now time.Time, firstStart bool) *shareRegistry {
	return &shareRegistry{registry: limit.NewRegistry(now, firstStart)}
}

// restore adds the entries that were cached before this replica started.
func (b *shareRegistry) restore(names []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.Restore(names, now)
}

// observe records a call of an entry and the divisor of the share that it uses.
func (b *shareRegistry) observe(entry entryIncarnation, divisor int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.Observe(entry.name, entry.incarnation, divisor, now)
}

// vote returns this replica's vote on an entry's share.
func (b *shareRegistry) vote(name string, now time.Time) limit.ShareVote {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Vote(name, now)
}

// allowedEntries returns the entries that may use a share.
func (b *shareRegistry) allowedEntries(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.AllowedEntries(now)
}
