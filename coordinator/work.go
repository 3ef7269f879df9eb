package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/route"
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

// minPooledSamples is the number of samples, of all entries together, from which their rates are
// used for the size of a service. Each entry of a large fleet takes few: no one learns an accurate
// rate for minutes, during which the service would keep all servers that it started with.
const minPooledSamples = 240

// rate returns how many prompt tokens per second a server of a service reads: the median of
// the entries' measurements, weighted by their samples. It is 0 until one entry has an accurate
// rate, or all together have minPooledSamples.
func (b *workTable) rate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	measured := b.measured(service, 1)
	samples, accurate := 0, false
	for _, w := range measured {
		samples += w.Samples
		accurate = accurate || w.Samples >= route.MinRateSamples
	}
	if !accurate && samples < minPooledSamples {
		return 0
	}
	return weightedMedian(measured, samples)
}

// measured returns the entries' measurements for a service from at least this many samples.
// The caller holds mu.
func (b *workTable) measured(service string, samples int) []api.ServiceWork {
	var out []api.ServiceWork
	for _, l := range b.incarnations {
		if w := l.services[service]; w.Rate > 0 && w.Samples >= samples {
			out = append(out, w)
		}
	}
	return out
}

// weightedMedian returns the median of the rates, each counted once for each of its samples, of
// which there are this many in all; 0 if there are none.
func weightedMedian(measured []api.ServiceWork, samples int) float64 {
	slices.SortFunc(measured, func(x, y api.ServiceWork) int { return cmp.Compare(x.Rate, y.Rate) })
	before := 0
	for _, w := range measured {
		if before += w.Samples; 2*before > samples {
			return w.Rate
		}
	}
	return 0
}

// rates returns the read rates that entries have learned accurately, by service, at most
// ratesTTL old: other entries take them over for good.
func (b *workTable) rates(now time.Time) []api.ServiceWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ratedAt.IsZero() && now.Sub(b.ratedAt) < ratesTTL {
		return b.lastRates
	}
	b.lastRates, b.ratedAt = nil, now
	for _, name := range slices.Sorted(maps.Keys(b.total)) {
		accurate := b.measured(name, route.MinRateSamples)
		if rate := weightedMedian(accurate, len(accurate)*route.MinRateSamples); rate > 0 {
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
