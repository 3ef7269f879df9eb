package retry

import (
	"math"
	"time"
)

// budget counts the retries and hedges available to one workspace or one service.
type budget struct {
	available    float64
	recentFirsts float64 // first attempts, decayed exponentially over Config.Window
	updatedAt    time.Time
}

func (b *budget) recordFirst(now time.Time, cfg *Config) {
	b.recentFirsts = b.decayedFirsts(now, cfg.Window) + 1
	b.updatedAt = now
	b.available = min(b.available+cfg.Ratio, b.maxAvailable(now, cfg))
}

func (b *budget) decayedFirsts(now time.Time, window time.Duration) float64 {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return b.recentFirsts
	}
	return b.recentFirsts * math.Exp(-elapsed.Seconds()/window.Seconds())
}

// maxAvailable returns the most attempts that the budget may save up now.
func (b *budget) maxAvailable(now time.Time, cfg *Config) float64 {
	return max(cfg.MinBudget, cfg.Ratio*b.decayedFirsts(now, cfg.Window))
}

// allows reports whether one attempt can be spent while reserveFraction of the full budget
// stays available.
func (b *budget) allows(now time.Time, cfg *Config, reserveFraction float64) bool {
	b.available = min(b.available, b.maxAvailable(now, cfg))
	return b.available-1 >= reserveFraction*b.maxAvailable(now, cfg)-roundingTolerance
}

// roundingTolerance allows an attempt after ten additions of 0.1, whose sum is less than 1.
const roundingTolerance = 1e-9
