package pick

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Picker. Start from DefaultConfig.
type Config struct {
	// ListLength is the most entries that an answer names.
	ListLength int
	// Validity is how long a small caller may keep its answer, HeavyValidity a
	// large one.
	Validity      time.Duration
	HeavyValidity time.Duration
	// HeavyPart is the part of an entry's fair share of all requests from which
	// on a caller counts as large.
	HeavyPart float64
	// MinWeight is the weight of an entry under full load; an idle one has 1.
	MinWeight float64
	// SpillFactor is how far above the mean load an entry of the caller's zone
	// may be and still come first for being near.
	SpillFactor float64
	// Spread is how long it takes until all entries know that one leaves.
	Spread time.Duration
	// Slack is added to the end of an answer's life, for the time on the wire
	// and the caller's own rounding.
	Slack time.Duration
}

// DefaultConfig returns the thresholds. Validity 30 s keeps questions below one
// in a hundred requests for a caller of 3 requests a second, and bounds the
// time that a leaving entry must wait. HeavyValidity 5 s lets a large caller go
// round seven entries in 35 s. HeavyPart 0.25: callers below it are at most
// 1/28 of all load at seven entries, and chance spreads them. SpillFactor 1.25
// is the bound that package route uses between servers. Spread 3 s is the
// users' bound for a leaving instance to be known everywhere.
func DefaultConfig() Config {
	return Config{
		ListLength:    3,
		Validity:      30 * time.Second,
		HeavyValidity: 5 * time.Second,
		HeavyPart:     0.25,
		MinWeight:     0.2,
		SpillFactor:   1.25,
		Spread:        3 * time.Second,
		Slack:         time.Second,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("pick",
		policy.Require("ListLength", c.ListLength >= 2, "at least 2, so that a caller can go on when one is lost"),
		policy.Require("Validity", c.Validity >= time.Second, "at least 1 s"),
		policy.Require("HeavyValidity", c.HeavyValidity >= time.Second && c.HeavyValidity <= c.Validity, "between 1 s and Validity"),
		policy.Require("HeavyPart", c.HeavyPart > 0 && c.HeavyPart <= 1, "in (0, 1]"),
		policy.Require("MinWeight", c.MinWeight > 0 && c.MinWeight <= 1, "in (0, 1]"),
		policy.Require("SpillFactor", c.SpillFactor >= 1, "at least 1"),
		policy.Require("Spread", c.Spread >= 0, "at least 0"),
		policy.Require("Slack", c.Slack >= 0, "at least 0"),
	)
}
