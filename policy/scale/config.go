package scale

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Scaler. Start from DefaultConfig.
type Config struct {
	// Headroom is the ratio of target capacity to demand, 1 or more.
	Headroom float64
	// Lead is the time from a start until the instance serves. Demand is
	// extrapolated by it.
	Lead time.Duration
	// When the target is below DownBelow of the capacity for DownAfter, the capacity
	// is reduced by the ratio DownStep, at most once per DownEvery.
	DownBelow float64
	DownAfter time.Duration
	DownEvery time.Duration
	DownStep  float64
	// BackoffMin is how long an option is not started after a refusal. It doubles
	// with each consecutive refusal, up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ReclaimCost is the cost of recomputing the work that one reclaim interrupts, in
	// the currency of the prices.
	ReclaimCost float64
	// SwapEvery is the minimum interval between starts that replace an on-demand
	// instance with a reclaimable one.
	SwapEvery time.Duration
	// MaxStarts limits the starts of one plan.
	MaxStarts int
}

// DefaultConfig returns the default thresholds.
//
// Headroom keeps queues short. Lead is the usual time to boot and to load weights. The number
// rises at once and falls by DownStep every DownEvery after DownAfter: a surge has lulls of
// minutes, and a start costs Lead of capacity that is paid for and does not serve.
// BackoffMax: waves last tens of minutes, and rarer requests find returned capacity late.
func DefaultConfig() Config {
	return Config{
		Headroom:    1.2,
		Lead:        3 * time.Minute,
		DownBelow:   0.8,
		DownAfter:   10 * time.Minute,
		DownEvery:   2 * time.Minute,
		DownStep:    0.1,
		BackoffMin:  30 * time.Second,
		BackoffMax:  10 * time.Minute,
		ReclaimCost: 0.05,
		SwapEvery:   time.Minute,
		MaxStarts:   100,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("scale",
		policy.Require("Headroom", c.Headroom >= 1, "at least 1"),
		policy.Require("Lead", c.Lead >= 0, "at least 0"),
		policy.Require("DownBelow", c.DownBelow > 0 && c.DownBelow <= 1, "in (0, 1]"),
		policy.Require("DownAfter", c.DownAfter >= 0, "at least 0"),
		policy.Require("DownEvery", c.DownEvery > 0, "above 0"),
		policy.Require("DownStep", c.DownStep > 0 && c.DownStep <= 1, "in (0, 1]"),
		policy.Require("BackoffMin", c.BackoffMin > 0, "above 0"),
		policy.Require("BackoffMax", c.BackoffMax >= c.BackoffMin, "at least BackoffMin"),
		policy.Require("ReclaimCost", c.ReclaimCost >= 0, "at least 0"),
		policy.Require("SwapEvery", c.SwapEvery > 0, "above 0"),
		policy.Require("MaxStarts", c.MaxStarts >= 1, "at least 1"),
	)
}
