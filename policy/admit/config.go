package admit

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// ShareConfig configures Shares. All control replicas and entries must use the
// same values.
type ShareConfig struct {
	// TTL is the duration of a lease. The grant of an entry that has failed
	// stays unused until its lease expires.
	TTL time.Duration

	// FloorTTL is how long a disconnected entry may use its floor, counted
	// from the same instant as TTL.
	FloorTTL time.Duration

	// Margin is added to TTL and FloorTTL on the leader, in case its clock
	// runs faster than an entry's.
	Margin time.Duration

	// LongestAnswer is the maximum duration of a request. Unless the entry
	// reports, the concurrency of its lease counts as used for this long after
	// the lease has expired.
	LongestAnswer time.Duration

	// Settle is how long, once the previous leader's leases have expired, a
	// new leader withholds the concurrency that entries which have not
	// reported may still be using. With Settle equal to LongestAnswer the
	// limit always holds. A shorter time lets a site that restarts as a whole
	// serve sooner, but the limit may be exceeded by requests still running on
	// entries that were disconnected before the leader changed.
	Settle time.Duration

	// FloorShare is the fraction of each limit that is reserved for the floors
	// of disconnected entries. It is divided into Entries equal floors.
	FloorShare float64 // 0 to 0.5
	Entries    int     // maximum number of entries that hold a floor
}

// DefaultShareConfig returns the configuration for a site of at most entries
// entries that report once a second.
func DefaultShareConfig(entries int) ShareConfig {
	return ShareConfig{
		TTL:           5 * time.Second,
		FloorTTL:      10 * time.Minute,
		Margin:        250 * time.Millisecond,
		LongestAnswer: 10 * time.Minute,
		Settle:        30 * time.Second,
		FloorShare:    0.1,
		Entries:       entries,
	}
}

// Validate returns a *policy.ConfigError for the first invalid field, or nil.
func (c ShareConfig) Validate() error {
	return policy.Check("admit",
		policy.Require("TTL", c.TTL > 0, "above 0"),
		policy.Require("FloorTTL", c.FloorTTL >= c.TTL, "at least TTL"),
		policy.Require("Margin", c.Margin >= 0, "at least 0"),
		policy.Require("LongestAnswer", c.LongestAnswer > 0, "above 0"),
		policy.Require("Settle", c.Settle >= 0, "at least 0"),
		policy.Require("FloorShare", c.FloorShare >= 0 && c.FloorShare <= 0.5, "between 0 and 0.5"),
		policy.Require("Entries", c.Entries >= 1, "at least 1"),
	)
}

// Config configures an Admitter.
type Config struct {
	// Window sets the burst of a leased rate: the amount that the rate allows
	// in this time.
	Window time.Duration

	// Memory is the time constant of the exponentially decayed averages of
	// demand and drain rate.
	Memory time.Duration

	// MaxWait is the maximum estimated wait in the queue, by class. A request
	// whose deadline is earlier may wait less.
	MaxWait ClassWaits

	// Standing is how long the estimated wait of interactive requests must
	// stay above a fraction of their first-token target (see
	// standingTargetDivisor) before the queue counts as standing. Until then,
	// the wait may reach Burst times the target; afterwards, only requests
	// that meet the target are admitted.
	Standing time.Duration
	Burst    float64

	// MinRetryAfter and MaxRetryAfter bound RetryAfter. Jitter is the fraction
	// of RetryAfter by which it is randomly extended.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	Jitter        float64 // 0 to 1
}

// ClassWaits holds a wait for each class.
type ClassWaits struct {
	Interactive time.Duration
	Standard    time.Duration
	Batch       time.Duration
}

// DefaultConfig returns the default configuration; docs/DECISIONS.md gives the
// reasons for its values.
//
// Memory follows a fleet that loses a zone within a few seconds. MaxWait holds the usual
// timeouts of a person, an HTTP client and a job. Standing lets a page's worth of requests
// through; a load above capacity lasts longer.
func DefaultConfig() Config {
	return Config{
		Window: time.Second,
		Memory: 2 * time.Second,
		MaxWait: ClassWaits{
			Interactive: 10 * time.Second,
			Standard:    30 * time.Second,
			Batch:       10 * time.Minute,
		},
		Standing:      2 * time.Second,
		Burst:         4,
		MinRetryAfter: time.Second,
		MaxRetryAfter: time.Minute,
		Jitter:        0.5,
	}
}

// Validate returns a *policy.ConfigError for the first invalid field, or nil.
func (c Config) Validate() error {
	return policy.Check("admit",
		policy.Require("Window", c.Window > 0, "above 0"),
		policy.Require("Memory", c.Memory > 0, "above 0"),
		policy.Require("MaxWait.Interactive", c.MaxWait.Interactive > 0, "above 0"),
		policy.Require("MaxWait.Standard", c.MaxWait.Standard > 0, "above 0"),
		policy.Require("MaxWait.Batch", c.MaxWait.Batch > 0, "above 0"),
		policy.Require("Standing", c.Standing > 0, "above 0"),
		policy.Require("Burst", c.Burst >= 1, "at least 1"),
		policy.Require("MinRetryAfter", c.MinRetryAfter >= time.Second, "at least 1 s"),
		policy.Require("MaxRetryAfter", c.MaxRetryAfter >= c.MinRetryAfter, "at least MinRetryAfter"),
		policy.Require("Jitter", c.Jitter >= 0 && c.Jitter <= 1, "between 0 and 1"),
	)
}
