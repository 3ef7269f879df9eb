package quarantine

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Set. Start from DefaultConfig.
type Config struct {
	// AskOwner requires a grant of the owner for every fingerprint that is not known to be
	// good. The package comment describes what is guaranteed without it.
	AskOwner bool
	// Keep is how long crashes, clearings and quarantines are stored.
	Keep time.Duration
	// TrialKeep is how long a grant counts as running if its end is not reported. It must
	// exceed the longest run.
	TrialKeep time.Duration
	// Settle is the delay between a crash and the first trial of a suspect. It must exceed
	// the time in which records reach all entries. Otherwise a harmless suspect may be tried on
	// a server that runs the cause of the crash, and be quarantined when that server crashes.
	Settle time.Duration
	// MaxRecords is the maximum number of records; one takes about 200 bytes.
	MaxRecords int
}

// DefaultConfig returns the default thresholds.
//
// Keep far outlasts a caller's retries, and lets a repaired model run the request again the
// same day. TrialKeep is longer than any request runs. Settle exceeds the 211 ms after which
// a record is known everywhere at 370 nodes (docs/CAPACITY.md). MaxRecords is 128 servers
// with 128 requests each that crash within Keep.
func DefaultConfig() Config {
	return Config{
		AskOwner:   true,
		Keep:       time.Hour,
		TrialKeep:  10 * time.Minute,
		Settle:     500 * time.Millisecond,
		MaxRecords: 16384,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("quarantine",
		policy.Require("TrialKeep", c.TrialKeep > 0, "above 0"),
		policy.Require("Keep", c.Keep >= c.TrialKeep, "at least TrialKeep"),
		policy.Require("Settle", c.Settle >= 0, "at least 0"),
		policy.Require("MaxRecords", c.MaxRecords >= 1, "at least 1"),
	)
}
