package queue

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config bounds a Queue and sets how waiting time counts. The zero value is
// not valid; start from DefaultConfig.
type Config struct {
	// MaxItems bounds all items together. What goes wrong without it: memory
	// and waiting time grow without end under load above capacity, and every
	// answer comes too late.
	MaxItems int

	// MaxPerWorkspace bounds the items of one workspace.
	MaxPerWorkspace int

	// Horizon caps how far off a deadline counts. An item with a later
	// deadline, or with none, takes the place of one with a deadline Horizon
	// after it was enqueued, so that a stream of nearer deadlines cannot pass
	// it for ever.
	Horizon time.Duration

	// LongRate and LongMax set how short work passes long work of the same
	// workspace and class: an item of Cost tokens takes the place of one with
	// a deadline later by Cost/LongRate seconds, and by LongMax at most. So
	// short work passes long work that came up to LongMax earlier, and no
	// long work is passed by anything that came later than that.
	LongRate float64 // tokens a second
	LongMax  time.Duration

	// AgeAfter is the wait after which an item may start before more urgent
	// classes of its workspace, and AgedShare the part of the workspace's
	// tokens that such items get while more urgent items wait. Without them a
	// steady interactive load keeps a batch from ever starting; without the
	// bound an old backlog of batch work would hold up interactive work.
	AgeAfter  time.Duration
	AgedShare float64 // above 0, at most 0.5

	// MaxCredit bounds, in tokens for a workspace of weight 1, what a
	// workspace can catch up on after its items could not run for a while.
	// Without it, one whose only backend servers come back after an hour
	// would take the whole fleet until it had made up for that hour.
	MaxCredit int64
}

// DefaultConfig returns the values in use; docs/DECISIONS.md has the reasons.
//
// MaxItems is three seconds of the arrival rate of 3,500 requests a second that
// the system is designed for: what waits longer misses the first-token target
// of 0.72 s several times over. Horizon is the usual timeout of HTTP clients.
// LongRate makes a request of 8,000 tokens wait for up to eight seconds of
// short work. AgedShare of an eighth leaves interactive work seven eighths.
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

// effectiveDeadline is the instant by which an item is ordered within its class: its
// deadline, no further off than Horizon, put back by its length. Every effectiveDeadline
// lies within Horizon+LongMax of the item's arrival, hence anything that
// arrives later than that sorts behind it: no item of the class starves.
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
