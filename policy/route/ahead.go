package route

import "time"

// backlog is prompt tokens that wait at a server, as they were at a time. The server
// reads them meanwhile.
type backlog struct {
	tokens float64
	at     time.Time
}

// remaining returns what has not been read by now, at a rate in tokens per second.
func (b *backlog) remaining(now time.Time, rate float64) float64 {
	return max(b.tokens-rate*max(now.Sub(b.at).Seconds(), 0), 0)
}

// queuedTokens is how many prompt tokens are to be read at a server before those of a new
// request: this entry's, and other entries' as they were reported. Those are read on
// meanwhile: a long prompt that was reported once would keep requests away until the
// next report, when it has long been read.
func (r *Router) queuedTokens(s *server, now time.Time) int {
	return s.health.pendingTokens + int(s.othersBacklog.remaining(now, r.cfg.PrefillRate))
}
