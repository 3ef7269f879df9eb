package retry

import (
	"math"
	"time"
)

// budget counts what one workspace or one service may still repeat.
type budget struct {
	left   float64
	recent float64 // decayed count of first attempts
	last   time.Time
}

func (b *budget) first(now time.Time, cfg *Config) {
	b.recent = b.decayed(now, cfg.Window) + 1
	b.last = now
	b.left = min(b.left+cfg.Ratio, b.most(now, cfg))
}

func (b *budget) decayed(now time.Time, window time.Duration) float64 {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return b.recent
	}
	return b.recent * math.Exp(-elapsed.Seconds()/window.Seconds())
}

// most is what the budget may hold now.
func (b *budget) most(now time.Time, cfg *Config) float64 {
	return max(cfg.MinBudget, cfg.Ratio*b.decayed(now, cfg.Window))
}

// allows reports whether one attempt can be paid that has to leave this part of
// the whole budget behind.
func (b *budget) allows(now time.Time, cfg *Config, leave float64) bool {
	b.left = min(b.left, b.most(now, cfg))
	return b.left-1 >= leave*b.most(now, cfg)-roundingSlack
}

// roundingSlack keeps ten tenths from falling short of one.
const roundingSlack = 1e-9
