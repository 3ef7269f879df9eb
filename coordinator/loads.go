package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
)

// entryReportTTL is how long an entry's report of its load and work counts. Entries call
// every second.
const entryReportTTL = 3 * time.Second

// loadTable sums the requests that all entries have running at each backend server. An
// entry sees only its own requests; with the sum, entries do not send their next
// requests to the same server.
type loadTable struct {
	mu      sync.Mutex
	entries map[string]entryLoads
	total   map[string]load // by server

	mostLoaded []string // servers of the last ranking, most loaded first
	rankedAt   time.Time
}

// entryLoads is the last report of an entry.
type entryLoads struct {
	reportedAt time.Time
	loads      map[string]load // by server
}

// load is the number of running requests and of unread prompt tokens at a server.
type load struct{ running, prefill int }

func (l load) plus(o load) load  { return load{l.running + o.running, l.prefill + o.prefill} }
func (l load) minus(o load) load { return load{l.running - o.running, l.prefill - o.prefill} }

func newLoadTable() *loadTable {
	return &loadTable{entries: make(map[string]entryLoads), total: make(map[string]load)}
}

// record replaces the loads reported by an entry. It updates the totals, so that a reply
// need not iterate over all entries.
func (b *loadTable) record(entry string, loads []api.ServerLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(entry)
	reported := make(map[string]load, len(loads))
	for _, l := range loads {
		reported[l.Server] = load{l.Running, l.Prefill}
		b.total[l.Server] = b.total[l.Server].plus(reported[l.Server])
	}
	b.entries[entry] = entryLoads{reportedAt: now, loads: reported}
}

// remove removes an entry and subtracts its loads from the totals. The caller holds mu.
func (b *loadTable) remove(entry string) {
	for server, l := range b.entries[entry].loads {
		if remaining := b.total[server].minus(l); remaining.running > 0 {
			b.total[server] = remaining
		} else {
			delete(b.total, server)
		}
	}
	delete(b.entries, entry)
}

// expire removes the entries whose last report is older than entryReportTTL.
func (b *loadTable) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, e := range b.entries {
		if now.Sub(e.reportedAt) > entryReportTTL {
			b.remove(name)
		}
	}
}

// running returns how many requests of all entries run at the servers.
func (b *loadTable) running(servers []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, server := range servers {
		n += b.total[server].running
	}
	return n
}

const (
	// maxReportedLoads bounds the servers in a reply. Entries query the load of the servers
	// among which they choose from each other; what a replica reports keeps them away from
	// the most loaded ones.
	maxReportedLoads = 128
	// rankInterval is how long a ranking of the servers by load is used.
	rankInterval = 250 * time.Millisecond
)

// rank returns the servers with the highest loads, at most maxReportedLoads. The caller holds
// mu.
func (b *loadTable) rank(now time.Time) []string {
	if !b.rankedAt.IsZero() && now.Sub(b.rankedAt) < rankInterval && len(b.total) > maxReportedLoads {
		return b.mostLoaded
	}
	b.mostLoaded, b.rankedAt = slices.Collect(maps.Keys(b.total)), now
	if len(b.mostLoaded) <= maxReportedLoads {
		return b.mostLoaded
	}
	slices.SortFunc(b.mostLoaded, func(x, y string) int {
		lx, ly := b.total[x], b.total[y]
		return cmp.Or(cmp.Compare(ly.running, lx.running), cmp.Compare(ly.prefill, lx.prefill), cmp.Compare(x, y))
	})
	b.mostLoaded = b.mostLoaded[:maxReportedLoads]
	return b.mostLoaded
}

// loadOfOthers returns the loads of all entries but one at the most loaded servers.
func (b *loadTable) loadOfOthers(entry string, now time.Time) []api.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.entries[entry].loads
	var out []api.ServerLoad
	for _, server := range b.rank(now) {
		l, known := b.total[server]
		if !known {
			continue
		}
		if remaining := l.minus(own[server]); remaining.running > 0 {
			out = append(out, api.ServerLoad{Server: server, Running: remaining.running, Prefill: remaining.prefill})
		}
	}
	return out
}
