package membership

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// loadTimeUnit is the resolution of a report's time. Its low 16 bits are unambiguous
// within about an hour, longer than the age of any report.
const loadTimeUnit = 125 * time.Millisecond

// Minimum changes of a load that cause a report. Routers correct reports by their own
// counts, so smaller changes would not affect their decisions.
const (
	runningStepFraction = 1.0 / 8 // of the slots
	cacheStepPercent    = 10      // of the cache
	tokensStepFraction  = 1.0 / 4 // of the last report
	memberStepPercent   = 5       // of a member's load
)

func quantizeLoad(seq uint64, l instance.Load) loadDelta {
	return loadDelta{
		Seq:     seq,
		At:      uint16(l.At.UnixMilli() / loadTimeUnit.Milliseconds()),
		Running: clamp32(float64(l.Running)),
		Waiting: clamp32(float64(l.Waiting)),
		Tokens:  clamp32(math.Round(l.TokensPerSec)),
		Cache:   uint8(min(100, max(0, math.Round(l.CacheUsed*100)))),
	}
}

func clamp32(v float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, v)))
}

// restoreLoad returns the report that d encodes, at the possible time nearest to now.
func restoreLoad(d loadDelta, now time.Time) instance.Load {
	if d.Seq == 0 {
		return instance.Load{}
	}
	units := now.UnixMilli() / loadTimeUnit.Milliseconds()
	age := int64(int16(uint16(units) - d.At))
	return instance.Load{
		At:           time.UnixMilli((units - age) * loadTimeUnit.Milliseconds()),
		Running:      int(d.Running),
		Waiting:      int(d.Waiting),
		TokensPerSec: float64(d.Tokens),
		CacheUsed:    float64(d.Cache) / 100,
	}
}

// loadChanged reports whether next differs enough from last to be sent.
func loadChanged(last, next loadDelta, slots int) bool {
	step := max(1, float64(slots)*runningStepFraction)
	switch {
	case last.Seq == 0, last.Catalogue != next.Catalogue:
		return true
	case absDiff(last.Running, next.Running) >= step:
		return true
	case (last.Waiting == 0) != (next.Waiting == 0), absDiff(last.Waiting, next.Waiting) >= max(step, float64(last.Waiting)/2):
		return true
	case absDiff(uint32(last.Cache), uint32(next.Cache)) >= cacheStepPercent:
		return true
	default:
		return absDiff(last.Tokens, next.Tokens) > max(step, float64(last.Tokens)*tokensStepFraction)
	}
}

func absDiff(a, b uint32) float64 { return math.Abs(float64(a) - float64(b)) }

// quantizeMemberLoad encodes a member's load in hundredths.
func quantizeMemberLoad(seq uint64, m instance.Member) loadDelta {
	return loadDelta{Seq: seq, Running: clamp32(math.Round(m.Load * 100)), Catalogue: m.Catalogue}
}

func memberLoadChanged(last, next loadDelta) bool {
	return last.Catalogue != next.Catalogue || absDiff(last.Running, next.Running) >= memberStepPercent
}
