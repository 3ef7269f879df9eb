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
	total   map[string]load // by server
}

type entryLoads struct {
	at    time.Time
	loads map[string]load // by server
}

// load is what runs and waits at a server.
type load struct{ running, prefill int }

func (l load) plus(o load) load  { return load{l.running + o.running, l.prefill + o.prefill} }
func (l load) minus(o load) load { return load{l.running - o.running, l.prefill - o.prefill} }

func newLoadBook() *loadBook {
	return &loadBook{entries: make(map[string]entryLoads), total: make(map[string]load)}
}

// note takes an entry's running requests, which replace what it told before. The
// totals are kept up to date, so that a reply doesn't go through all entries.
func (b *loadBook) note(entry string, loads []api.ServerLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(entry)
	told := make(map[string]load, len(loads))
	for _, l := range loads {
		told[l.Server] = load{l.Running, l.Prefill}
		b.total[l.Server] = b.total[l.Server].plus(told[l.Server])
	}
	b.entries[entry] = entryLoads{at: now, loads: told}
}

func (b *loadBook) drop(entry string) {
	for server, l := range b.entries[entry].loads {
		if rest := b.total[server].minus(l); rest.running > 0 {
			b.total[server] = rest
		} else {
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

// running returns how many requests run at servers, all entries' together.
func (b *loadBook) running(servers []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, server := range servers {
		n += b.total[server].running
	}
	return n
}

// others returns what all entries but one have running.
func (b *loadBook) others(entry string) []api.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.entries[entry].loads
	out := make([]api.ServerLoad, 0, len(b.total))
	for server, l := range b.total {
		if rest := l.minus(own[server]); rest.running > 0 {
			out = append(out, api.ServerLoad{Server: server, Running: rest.running, Prefill: rest.prefill})
		}
	}
	return out
}
