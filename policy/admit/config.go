package admit

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// ShareConfig sets how Shares gives out leases. All replicas of control and
// all entries need the same values.
type ShareConfig struct {
	// TTL is how long a lease lasts, and so how long the part of an entry that
	// has died stays unused.
	TTL time.Duration

	// FloorTTL is how long an entry that was cut off may go on with its floor.
	FloorTTL time.Duration

	// Margin is what the leader adds to both before it counts a lease as
	// ended, for clocks that run at different rates.
	Margin time.Duration

	// LongestAnswer bounds how long a request runs. A lease's concurrency
	// counts as used for this long after its end, unless the entry reports.
	LongestAnswer time.Duration

	// Settle is how long after a change of leader the concurrency is held back
	// that entries which have not reported may have been given before. At
	// LongestAnswer the limit holds whatever happens. A shorter time lets a
	// site that restarts as a whole serve again sooner; the limit may then be
	// exceeded by the requests that run on at an entry which was cut off
	// before the leader changed.
	Settle time.Duration

	// FloorShare is the part of each limit that is set aside for the floors of
	// cut-off entries, split into Entries equal parts.
	FloorShare float64 // 0 to 0.5
	Entries    int     // how many entries may hold a floor at a time
}

// DefaultShareConfig returns the values for a site of up to entries entries.
//
// With reports once a second, a TTL of 5 s outlasts four lost ones, and keeps
// to the 6 s within which a changed limit has to be in force everywhere. A tenth
// is set aside for floors: callers lose little by it on every ordinary day.
// Settle of 30 s outlasts the usual answer, of a few hundred tokens.
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

// Validate returns a *policy.ConfigError for the first field that is out of range.
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

// Config sets how an entry admits.
type Config struct {
	// Window is the burst that a leased rate allows, in seconds' worth of it.
	Window time.Duration

	// Memory is the time constant of the averages of demand and of drain.
	Memory time.Duration

	// MaxWait bounds the wait of a request that has no nearer deadline, by
	// class.
	MaxWait ClassWaits

	// Standing is how long the queue may hold a request longer than its
	// first-token target allows before only those that meet it are let in, and
	// Burst is how many times the target the wait may be until then.
	Standing time.Duration
	Burst    float64

	// MinRetryAfter, MaxRetryAfter and Jitter bound what a refused caller is
	// told: at least MinRetryAfter, at most MaxRetryAfter, and spread over
	// Jitter of its length.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	Jitter        float64 // 0 to 1
}

// ClassWaits is a wait for each class.
type ClassWaits struct {
	Interactive time.Duration
	Standard    time.Duration
	Batch       time.Duration
}

// DefaultConfig returns the values in use; docs/DECISIONS.md has the reasons.
//
// Memory of 2 s follows a fleet that loses a zone within a few seconds and
// averages over some hundred starts at the small sites of today. MaxWait are the usual
// timeouts of a person, an HTTP client and a job. Standing of 2 s lets a page's
// worth of requests through; a load above capacity lasts longer.
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

// Validate returns a *policy.ConfigError for the first field that is out of range.
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
