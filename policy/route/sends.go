package route

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential decay in sendRate.
const rateWindow = 3 * time.Second

// sendRate measures this entry's rate of requests by an exponentially decaying count.
type sendRate struct {
	count float64
	at    time.Time
}

func (s *sendRate) record(now time.Time) {
	s.count = s.decayed(now) + 1
	s.at = now
}

func (s *sendRate) decayed(now time.Time) float64 {
	return s.count * math.Exp(-max(now.Sub(s.at).Seconds(), 0)/rateWindow.Seconds())
}

// perSecond returns the recent rate, in requests per second.
func (s *sendRate) perSecond(now time.Time) float64 { return s.decayed(now) / rateWindow.Seconds() }
