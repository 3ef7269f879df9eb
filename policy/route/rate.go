package route

import "time"

const (
	// minRateTokens is the shortest prefill from which a server's rate is measured, and
	// rateOverhead the part of the time to first token that is not prefill.
	minRateTokens = 600
	rateOverhead  = 8 * time.Millisecond
	// maxAheadPart is the most work before a request, as a part of its own prefill, with which its
	// time to first token measures its server's rate.
	maxAheadPart = 0.3
	// maxUnsurePart is the largest part of the prefill that the server may have cached, unknown
	// to the entry, because other requests share it.
	maxUnsurePart = 0.5
	// minRelativeRate and maxRelativeRate bound a server's rate, as a multiple of the service's
	// learned rate, which is close to that of its fast servers.
	minRelativeRate = 0.35
	maxRelativeRate = 1.3
)

// rateOf returns the prompt tokens per second that a server reads: as measured on it, or the
// service's rate while it is not known.
func (r *Router) rateOf(s *server) float64 {
	if s.rate <= 0 {
		return r.cfg.PrefillRate
	}
	return min(max(s.rate, minRelativeRate*r.cfg.PrefillRate), maxRelativeRate*r.cfg.PrefillRate)
}

// SetServerRate sets the prompt tokens per second that an incarnation of a server was measured
// to read; 0 if they are not known.
func (r *Router) SetServerRate(id string, incarnation uint64, rate float64) {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || rate <= 0 {
		return
	}
	if s := &r.servers[slot]; s.id != "" && s.incarnation == incarnation {
		s.rate = rate
	}
}

// atServiceRate converts an expected time to first token on a server to one on a server that
// reads at the service's rate. The service's rate is learned from it: by the server's own rate it
// would follow the servers' rates, which are bounded by it.
func (r *Router) atServiceRate(s *server, expected time.Duration) time.Duration {
	return firstTokenOverhead + time.Duration(float64(expected-firstTokenOverhead)*r.rateOf(s)/r.cfg.PrefillRate)
}

// measuresRate reports whether the time to first token of a request that is about to start
// measures the server's rate.
func (r *Router) measuresRate(s *server, v *Verdict, now time.Time) bool {
	uncached := float64(v.uncachedTokens)
	return v.uncachedTokens >= minRateTokens && float64(v.unsureTokens) <= maxUnsurePart*uncached &&
		float64(r.queuedTokens(s, now)) <= maxAheadPart*uncached && s.load()+1 <= s.slots
}

// MeasuredRate returns the prompt tokens per second that a server has shown with the first token
// of an attempt, which arrives now; 0 if it does not measure the rate.
func (a *Attempt) MeasuredRate(now time.Time) float64 {
	elapsed := now.Sub(a.started) - rateOverhead
	if !a.measuresRate || !a.awaitsFirstToken || elapsed <= 0 {
		return 0
	}
	return min(float64(a.uncachedTokens)/elapsed.Seconds(), maxPrefillRate)
}
