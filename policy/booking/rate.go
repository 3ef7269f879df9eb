package booking

import (
	"slices"
	"time"
)

const (
	// maxRates is the number of measurements of a server that are kept.
	maxRates = 12
	// minRates is the number from which they are used.
	minRates = 4
	// rateQuantile is the quantile of the measurements that is reported: most first tokens also
	// wait for other work, so that the higher ones are closer to the server's speed.
	rateQuantile = 0.75
	// rateTTL is how long the measurements of a server are kept without another one.
	rateTTL = 30 * time.Second
)

// rates holds the last measurements of how many prompt tokens one incarnation of a server reads
// in a second.
type rates struct {
	measured    []int
	incarnation uint64
	lastAt      time.Time
}

func (r *rates) add(rate int, incarnation uint64, now time.Time) {
	if rate <= 0 || incarnation < r.incarnation && !r.expired(now) {
		return
	}
	if incarnation > r.incarnation || r.expired(now) {
		*r = rates{incarnation: incarnation}
	}
	if len(r.measured) == maxRates {
		r.measured = r.measured[:copy(r.measured, r.measured[1:])]
	}
	r.measured = append(r.measured, rate)
	r.lastAt = now
}

func (r *rates) expired(now time.Time) bool { return now.Sub(r.lastAt) > rateTTL }

// estimate returns the server's rate; 0 while there are too few measurements, or none of late.
func (r *rates) estimate(now time.Time) int {
	if len(r.measured) < minRates || r.expired(now) {
		return 0
	}
	sorted := slices.Clone(r.measured)
	slices.Sort(sorted)
	return sorted[int(rateQuantile*float64(len(sorted)))]
}
