package pick

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the parameters of a Picker. DefaultConfig returns the usual ones.
type Config struct {
	// ListLength is the maximum number of entries in a list.
	ListLength int
	// Validity is how long a small caller may cache its list, HeavyValidity a large
	// caller.
	Validity      time.Duration
	HeavyValidity time.Duration
	// HeavyPart is the fraction of an entry's fair share of all requests from which on a
	// caller counts as large.
	HeavyPart float64
	// MinWeight is the rendezvous weight of a fully loaded entry; an idle one has 1.
	MinWeight float64
	// SpillFactor bounds the load, as a multiple of the region's mean load, up to which an
	// entry of the caller's zone is preferred.
	SpillFactor float64
	// Spread is how long it takes until all entries have learned that one leaves.
	Spread time.Duration
	// Slack extends the accept time of a leaving entry, for network delay and rounding by
	// the caller.
	Slack time.Duration
}

// DefaultConfig returns the default parameters.
//
// Validity keeps the list requests of a caller with 3 requests per second below 1% of its
// requests, and bounds the time that a leaving entry must wait. HeavyValidity lets a large
// caller use seven entries in turn within 35 s. SpillFactor is the bound that package route
// uses between servers. Spread is the users' bound for a leaving instance to be known
// everywhere.
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
		policy.Require("ListLength", c.ListLength >= 2, "at least 2, so that a caller has another entry when one is lost"),
		policy.Require("Validity", c.Validity >= time.Second, "at least 1 s"),
		policy.Require("HeavyValidity", c.HeavyValidity >= time.Second && c.HeavyValidity <= c.Validity, "between 1 s and Validity"),
		policy.Require("HeavyPart", c.HeavyPart > 0 && c.HeavyPart <= 1, "in (0, 1]"),
		policy.Require("MinWeight", c.MinWeight > 0 && c.MinWeight <= 1, "in (0, 1]"),
		policy.Require("SpillFactor", c.SpillFactor >= 1, "at least 1"),
		policy.Require("Spread", c.Spread >= 0, "at least 0"),
		policy.Require("Slack", c.Slack >= 0, "at least 0"),
	)
}
