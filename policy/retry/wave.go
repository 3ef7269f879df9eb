package retry

import "time"

// wave detects that many backend servers fail at once, as when a zone is reclaimed. If all
// their requests were retried at once on the remaining servers, those queues would grow
// past every deadline and the retries would fail too.
type wave struct {
	lastFailure map[string]time.Time // by backend server
}

func (w *wave) recordFailure(now time.Time, server string, window time.Duration) {
	for name, at := range w.lastFailure {
		if now.Sub(at) >= window {
			delete(w.lastFailure, name)
		}
	}
	w.lastFailure[server] = now
}

func (w *wave) active(now time.Time, cfg *Config, servers int) bool {
	failures := 0
	for _, at := range w.lastFailure {
		if now.Sub(at) < cfg.WaveWindow {
			failures++
		}
	}
	return failures >= cfg.WaveServers && float64(failures) >= cfg.WaveShare*float64(servers)
}
