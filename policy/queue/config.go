package queue

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config sets the bounds and the order of a Queue. The zero value is not
// valid; start from DefaultConfig.
type Config struct {
	// MaxItems bounds the number of items in the queue. Without it memory and
	// waiting time grow without limit under overload.
	MaxItems int

	// MaxPerWorkspace bounds the number of items of one workspace.
	MaxPerWorkspace int

	// Horizon caps the effective deadline of an item: one with a later deadline,
	// or with none, is ordered as if its deadline were Horizon after it was
	// enqueued. Otherwise a stream of earlier deadlines would starve it.
	Horizon time.Duration

	// LongRate and LongMax let short items pass long ones of the same workspace
	// and class: the effective deadline of an item of Cost tokens is put off by
	// Cost/LongRate seconds, but by at most LongMax, so that long items do not
	// starve.
	LongRate float64 // tokens per second
	LongMax  time.Duration

	// AgeAfter is the wait after which an item may start before items of more
	// urgent classes of its workspace, so that a steady interactive load does
	// not starve batch work. AgedShare is the fraction of the workspace's tokens
	// that such items get while more urgent ones wait, so that an old backlog
	// of batch work does not block interactive work.
	AgeAfter  time.Duration
	AgedShare float64 // above 0, at most 0.5

	// MaxCredit bounds, in tokens, how much a workspace catches up after its
	// items could not run. Without it, one whose backend servers return after an
	// hour would take the whole fleet until it had made up for that hour.
	MaxCredit int64
}

// DefaultConfig returns the default configuration.
//
// MaxItems is what arrives in 3 s at the design load of 3,500 requests per second: what waits
// longer misses the first-token target of 0.72 s several times over. Horizon is the usual
// timeout of HTTP clients. LongRate makes a request of 8,000 tokens wait for up to 8 s of
// short ones. AgedShare leaves interactive requests seven eighths.
func DefaultConfig() Config {
	return Config{
		MaxItems:        10_500,
		MaxPerWorkspace: 4_000,
		Horizon:         30 * time.Second,
		LongRate:        1_000,
		LongMax:         10 * time.Second,
		AgeAfter:        5 * time.Second,
		AgedShare:       0.125,
		MaxCredit:       2_000,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("queue",
		policy.Require("MaxItems", c.MaxItems >= 1, "at least 1"),
		policy.Require("MaxPerWorkspace", c.MaxPerWorkspace >= 1 && c.MaxPerWorkspace <= c.MaxItems, "between 1 and MaxItems"),
		policy.Require("Horizon", c.Horizon > 0, "above 0"),
		policy.Require("LongRate", c.LongRate > 0, "above 0"),
		policy.Require("LongMax", c.LongMax >= 0, "at least 0"),
		policy.Require("AgeAfter", c.AgeAfter > 0, "above 0"),
		policy.Require("AgedShare", c.AgedShare > 0 && c.AgedShare <= 0.5, "above 0 and at most 0.5"),
		policy.Require("MaxCredit", c.MaxCredit >= 0, "at least 0"),
	)
}

// effectiveDeadline returns the time by which an item is ordered within its
// class: its deadline, at most Horizon after its arrival, put off by its length.
// It is never later than Horizon+LongMax after the arrival, so no item starves
// within its class.
func (c *Config) effectiveDeadline(i *Item) time.Time {
	due := i.Enqueued.Add(c.Horizon)
	if !i.Deadline.IsZero() && i.Deadline.Before(due) {
		due = i.Deadline
	}
	lengthDelay := time.Duration(float64(i.Cost) / c.LongRate * float64(time.Second))
	if lengthDelay > c.LongMax || lengthDelay < 0 {
		lengthDelay = c.LongMax
	}
	return due.Add(lengthDelay)
}
