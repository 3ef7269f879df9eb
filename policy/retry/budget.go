package retry

import (
	"math"
	"time"
)

// budget counts what one workspace or one service may still repeat.
type budget struct {
	available    float64
	recentFirsts float64 // decayed count of first attempts
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

// maxAvailable is what the budget may hold now.
func (b *budget) maxAvailable(now time.Time, cfg *Config) float64 {
	return max(cfg.MinBudget, cfg.Ratio*b.decayedFirsts(now, cfg.Window))
}

// allows reports whether one attempt can be paid that has to leave this part of
// the whole budget behind.
func (b *budget) allows(now time.Time, cfg *Config, reserveFraction float64) bool {
	b.available = min(b.available, b.maxAvailable(now, cfg))
	return b.available-1 >= reserveFraction*b.maxAvailable(now, cfg)-roundingTolerance
}

// roundingTolerance keeps ten tenths from falling short of one.
const roundingTolerance = 1e-9
