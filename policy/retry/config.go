package retry

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config sets how much is repeated. Start from DefaultConfig.
type Config struct {
	// Ratio is the part of first attempts that may be repeated or hedged.
	Ratio float64 // above 0, at most 1

	// MinBudget bounds what a budget may save up, in attempts, and Window does
	// so for a busy one: to what its first attempts of about that time have
	// filled. Without a bound a quiet week would pay for a storm of retries.
	MinBudget float64
	Window    time.Duration

	// Start is what a budget begins with, in attempts, at most MinBudget. With 0
	// repetitions are at most Ratio of the first attempts from the first one on. Where
	// hundreds of entries get a few requests of a workspace each, nothing would ever be
	// repeated then: a tenth of the requests would end with one server's error though
	// another one may be asked.
	Start float64

	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int

	// Backoff is the longest wait before the second retry; it doubles with
	// each further one.
	Backoff time.Duration

	// WaveServers and WaveShare say how many backend servers, and what part of
	// them, have to fail within WaveWindow to make a wave. In one, also the
	// first retry waits, for up to WaveSpread.
	WaveServers int
	WaveShare   float64 // 0 to 1
	WaveWindow  time.Duration
	WaveSpread  time.Duration

	// HedgeAfter is after how many times the usual time to the first token an
	// attempt counts as slow.
	HedgeAfter float64 // at least 1

	// MaxHedgeLoad is the load, as a part of all slots in use, from which on
	// nothing is hedged.
	MaxHedgeLoad float64 // 0 to 1
}

// DefaultConfig returns the values in use; docs/DECISIONS.md has the reasons.
//
// A Ratio of a tenth is the bound that the project promises. Where one attempt
// in ten fails at random, one request in a thousand fails three, and more
// attempts would only add load. A wave is two servers and a twentieth of them
// within 5 s: single failures are days apart at the size to design for, six a
// day, so two at once have a common cause. A spread of 1 s lets the load
// reports of the surviving servers show what they have taken over. Above seven
// tenths of the slots in use, a hedge takes the slot of a first attempt in the
// next burst.
func DefaultConfig() Config {
	return Config{
		Ratio:        0.1,
		MinBudget:    10,
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
		policy.Require("MinBudget", c.MinBudget >= 1, "at least 1"),
		policy.Require("Start", c.Start >= 0, "at least 0"),
		policy.Require("Window", c.Window > 0, "above 0"),
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
