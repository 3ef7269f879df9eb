package coordinator

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
)

// loadsFor is how long an entry's word on its running requests counts: three of
// its signs of life.
const loadsFor = 3 * time.Second

// loadBook sums what all entries have running at each backend server. Each entry
// sees its own requests only; told of all, they do not send the next ones to the
// same server.
type loadBook struct {
	mu      sync.Mutex
	entries map[string]entryLoads
	total   map[string]int // by server
}

type entryLoads struct {
	at      time.Time
	running map[string]int // by server
}

func newLoadBook() *loadBook {
	return &loadBook{entries: make(map[string]entryLoads), total: make(map[string]int)}
}

// note takes an entry's running requests, which replace what it told before. The
// totals are kept up to date, so that a reply doesn't go through all entries.
func (b *loadBook) note(entry string, loads []api.ServerLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(entry)
	running := make(map[string]int, len(loads))
	for _, l := range loads {
		running[l.Server] = l.Running
		b.total[l.Server] += l.Running
	}
	b.entries[entry] = entryLoads{at: now, running: running}
}

func (b *loadBook) drop(entry string) {
	for server, n := range b.entries[entry].running {
		if b.total[server] -= n; b.total[server] <= 0 {
			delete(b.total, server)
		}
	}
	delete(b.entries, entry)
}

// forget drops entries that have not been heard for long.
func (b *loadBook) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, e := range b.entries {
		if now.Sub(e.at) > loadsFor {
			b.drop(name)
		}
	}
}

// others returns what all entries but one have running.
func (b *loadBook) others(entry string) []api.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.entries[entry].running
	out := make([]api.ServerLoad, 0, len(b.total))
	for server, n := range b.total {
		if rest := n - own[server]; rest > 0 {
			out = append(out, api.ServerLoad{Server: server, Running: rest})
		}
	}
	return out
}
