package scale

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Scaler. Start from DefaultConfig.
type Config struct {
	// Headroom is the capacity wanted over the demand, 1 or more.
	Headroom float64
	// Lead is the time from a start to serving: the demand is extrapolated by it.
	Lead time.Duration
	// DownBelow, DownAfter, DownEvery and DownStep: when less than DownBelow of
	// the capacity held is wanted for DownAfter, it falls by DownStep of itself
	// at most once per DownEvery.
	DownBelow float64
	DownAfter time.Duration
	DownEvery time.Duration
	DownStep  float64
	// BackoffMin is the time without starts of an option after a refusal; it
	// doubles with each refusal in a row up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ReclaimCost is what one reclaimed instance costs in recomputed work, in the
	// currency of the prices.
	ReclaimCost float64
	// SwapEvery is the least time between starts that replace an on-demand
	// instance by a reclaimable one.
	SwapEvery time.Duration
	// MaxStarts bounds the starts of one plan.
	MaxStarts int
}

// DefaultConfig returns the thresholds. Headroom 1.2 keeps queues short at the
// demand (the wait at a load of 0.83 is about that of one request in five).
// Lead 3 min is the usual time to boot and to load weights. Up at once and down
// by a tenth every 2 min after 10 min: a surge of brokers calling in has lulls of
// minutes, and a start costs Lead of capacity that is paid for and does not
// serve. The tests print the number of starts under noise. BackoffMax 10 min:
// waves last tens of minutes, and asking less often than that finds returned
// capacity late.
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
