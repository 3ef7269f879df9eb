package retry

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config bounds retries and hedges. Start from DefaultConfig.
type Config struct {
	// In each Window the repeats are at most the attempts of Policy.SetSlack and Ratio times
	// the first attempts, in the mean of this window and the one before.
	Ratio  float64 // above 0, at most 1
	Window time.Duration

	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int

	// Backoff is the longest delay before the second retry; it doubles with each further
	// one. The first retry has none, except in a wave.
	Backoff time.Duration

	// A wave is the failure of at least WaveServers backend servers, and of at least the
	// fraction WaveShare of them, within WaveWindow. During a wave every retry is delayed
	// by a random time whose bound is at least WaveSpread.
	WaveServers int
	WaveShare   float64 // 0 to 1
	WaveWindow  time.Duration
	WaveSpread  time.Duration

	// HedgeAfter is the multiple of SlowAttempt.Usual from which on an attempt counts as slow.
	HedgeAfter float64 // at least 1

	// MaxHedgeLoad is the fraction of slots in use from which on nothing is hedged.
	MaxHedgeLoad float64 // 0 to 1
}

// DefaultSlack is the number of repeats that all entries of a site may make in a window beside
// Config.Ratio, so that single failures are retried also where few requests come.
const DefaultSlack = 100

// DefaultConfig returns the default values; docs/DECISIONS.md has the reasons.
//
// With MaxAttempts, one request in a thousand fails where one attempt in ten fails at random.
// At the design size single servers fail six times a day, so WaveServers within WaveWindow
// have a common cause. WaveSpread lets the load reports of the remaining servers show what
// they have taken over. Above MaxHedgeLoad a hedge takes the slot of a first attempt in the
// next burst.
func DefaultConfig() Config {
	return Config{
		Ratio:        0.1,
		Window:       10 * time.Second,
		MaxAttempts:  3,
		Backoff:      100 * time.Millisecond,
		WaveServers:  2,
		WaveShare:    0.05,
		WaveWindow:   5 * time.Second,
		WaveSpread:   time.Second,
		HedgeAfter:   2,
		MaxHedgeLoad: 0.7,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("retry",
		policy.Require("Ratio", c.Ratio > 0 && c.Ratio <= 1, "above 0 and at most 1"),
		policy.Require("Window", c.Window >= minWindow, "at least 40 ns"),
		policy.Require("MaxAttempts", c.MaxAttempts >= 1, "at least 1"),
		policy.Require("Backoff", c.Backoff >= 0, "at least 0"),
		policy.Require("WaveServers", c.WaveServers >= 1, "at least 1"),
		policy.Require("WaveShare", c.WaveShare >= 0 && c.WaveShare <= 1, "between 0 and 1"),
		policy.Require("WaveWindow", c.WaveWindow > 0, "above 0"),
		policy.Require("WaveSpread", c.WaveSpread >= 0, "at least 0"),
		policy.Require("HedgeAfter", c.HedgeAfter >= 1, "at least 1"),
		policy.Require("MaxHedgeLoad", c.MaxHedgeLoad >= 0 && c.MaxHedgeLoad <= 1, "between 0 and 1"),
	)
}
