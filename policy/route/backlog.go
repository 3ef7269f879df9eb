package route

import "time"

// backlog is the number of prompt tokens that waited for prefill on a server at a given
// time. The server reads them at its prefill rate.
type backlog struct {
	tokens float64
	at     time.Time
}

// remaining returns the tokens that are not read by now. rate is in tokens per second.
func (b *backlog) remaining(now time.Time, rate float64) float64 {
	return max(b.tokens-rate*max(now.Sub(b.at).Seconds(), 0), 0)
}

// queuedTokens estimates how many prompt tokens the server has to read before those of a new
// request: this entry's, and those that other entries reported. The reported ones shrink with
// time, because otherwise one long prompt would keep requests away until the next report.
func (r *Router) queuedTokens(s *server, now time.Time) int {
	return s.health.pendingTokens + int(s.othersBacklog.remaining(now, r.rateOf(s)))
}
