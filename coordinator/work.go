package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
)

// workTable sums the prompt tokens that all entries have sent to the servers of each
// service, and holds the read rates that the entries have measured.
type workTable struct {
	mu           sync.Mutex
	incarnations map[entryIncarnation]*incarnationWork
	total        map[string]uint64 // tokens by service since the start of this replica

	lastRates []api.ServiceWork // last result of rates; it must not be changed
	ratedAt   time.Time         // when it was computed
}

// ratesTTL is how long the read rates are used. Hundreds of entries request them every second,
// and they are medians over the measurements of all entries.
const ratesTTL = 500 * time.Millisecond

// incarnationWork is the work reported by one incarnation of an entry.
type incarnationWork struct {
	reportedAt time.Time
	services   map[string]api.ServiceWork
}

func newWorkTable() *workTable {
	return &workTable{incarnations: make(map[entryIncarnation]*incarnationWork), total: make(map[string]uint64)}
}

// record records an entry's counts since its start. The first report of an incarnation
// only sets the value from which later ones are counted.
func (b *workTable) record(entry entryIncarnation, work []api.ServiceWork, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.incarnations[entry]
	if l == nil {
		l = &incarnationWork{services: make(map[string]api.ServiceWork)}
		b.incarnations[entry] = l
	}
	l.reportedAt = now
	for _, w := range work {
		previous, known := l.services[w.Service]
		if known && w.Tokens < previous.Tokens {
			continue // a later report arrived first
		}
		if known {
			b.total[w.Service] += w.Tokens - previous.Tokens
		}
		l.services[w.Service] = w
	}
}

// expire removes the entries whose last report is older than entryReportTTL.
func (b *workTable) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for entry, l := range b.incarnations {
		if now.Sub(l.reportedAt) > entryReportTTL {
			delete(b.incarnations, entry)
		}
	}
}

// tokens returns the tokens of a service since the start of this replica.
func (b *workTable) tokens(service string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total[service]
}

// rate returns how many prompt tokens per second a server of a service reads: the median
// of the entries' measurements, 0 if there is none.
func (b *workTable) rate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.median(service)
}

// median returns the median of the entries' measurements for a service, 0 if there is none.
// The caller holds mu.
func (b *workTable) median(service string) float64 {
	var rates []float64
	for _, l := range b.incarnations {
		if w := l.services[service]; w.Rate > 0 {
			rates = append(rates, w.Rate)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// rates returns the known read rates by service, at most ratesTTL old.
func (b *workTable) rates(now time.Time) []api.ServiceWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ratedAt.IsZero() && now.Sub(b.ratedAt) < ratesTTL {
		return b.lastRates
	}
	b.lastRates, b.ratedAt = nil, now
	for _, name := range slices.Sorted(maps.Keys(b.total)) {
		if rate := b.median(name); rate > 0 {
			b.lastRates = append(b.lastRates, api.ServiceWork{Service: name, Rate: rate})
		}
	}
	return b.lastRates
}

// workMeter derives a token rate from a growing count.
type workMeter struct {
	tokens uint64
	at     time.Time
}

// perSecond returns the tokens per second since the last call; known is false at the
// first.
func (m *workMeter) perSecond(tokens uint64, now time.Time) (rate float64, known bool) {
	elapsed := now.Sub(m.at).Seconds()
	added := tokens - m.tokens
	known = !m.at.IsZero() && elapsed > 0
	m.tokens, m.at = tokens, now
	if !known {
		return 0, false
	}
	return float64(added) / elapsed, true
}
