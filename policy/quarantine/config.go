package quarantine

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Set. Start from DefaultConfig.
type Config struct {
	// AskOwner makes every fingerprint that is not known to be good ask its
	// owner before it runs. See the package comment for what holds without it.
	AskOwner bool
	// Keep is how long a crash, a clearing and a quarantine are remembered.
	Keep time.Duration
	// TrialKeep is how long a grant counts as running without news of its end.
	TrialKeep time.Duration
	// Settle is how long after a crash the first trial of a suspect waits. By then
	// the owner has heard what else ran on the server and is suspect too, and where
	// those run now. Without it a bystander may be tried on a server that runs the
	// cause of the crash; that server crashes as well, and the bystander is
	// quarantined although it did nothing.
	Settle time.Duration
	// MaxRecords bounds the fingerprints remembered.
	MaxRecords int
}

// DefaultConfig returns the thresholds. Keep 1 h outlasts a caller's resends by
// far and lets a mended model serve the request again the same day. TrialKeep
// 10 min is longer than any request runs. Settle 500 ms is above the 211 ms in which
// news is everywhere at 370 nodes (docs/CAPACITY.md). MaxRecords 16384 is 128 servers with
// 128 requests each crashing within Keep; a record takes about 200 bytes.
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
