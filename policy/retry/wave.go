package retry

import "time"

// wave notices that many backend servers fail at once, as when a zone is
// reclaimed. What goes wrong otherwise: all that ran on them is repeated in the
// same instant on the few that are left, whose queues grow past every deadline,
// so that these attempts fail too. One would notice it by the retries of one
// second in the metrics, and by first tokens that come late everywhere.
type wave struct {
	lastFailure map[string]time.Time // last failure of each backend server
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
