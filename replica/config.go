package replica

import (
	"cmp"
	"fmt"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes = 256 << 10
	DefaultMaxInflight     = 64
	DefaultMaxDriftPercent = 10
)

// Config configures a Core. Durations are measured on the replica's own monotonic
// clock.
type Config struct {
	ID uint64

	// ElectionTimeout is how long after the last message from a leader a replica
	// ignores vote requests. A follower starts an election after one to two
	// election timeouts without such a message.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration

	// MaxDriftPercent bounds the difference in rate between two replicas' clocks.
	// A lease is shorter than the election timeout by this percentage.
	MaxDriftPercent int

	MaxMessageBytes int // limit on entries or snapshot data in one message
	MaxInflight     int // limit on unacknowledged MsgAppend messages to one replica

	// Rand returns a number in [0, n). A run is reproducible if Rand returns the
	// same sequence.
	Rand func(n int64) int64
}

func (c Config) withDefaults() Config {
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, DefaultMaxInflight)
	c.MaxDriftPercent = cmp.Or(c.MaxDriftPercent, DefaultMaxDriftPercent)
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return fmt.Errorf("%w: id must not be 0", ErrBadConfig)
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval:
		return fmt.Errorf("%w: election timeout %v must be at least twice the heartbeat interval %v, and both positive", ErrBadConfig, c.ElectionTimeout, c.HeartbeatInterval)
	case c.MaxDriftPercent < 0 || c.MaxDriftPercent > 50:
		return fmt.Errorf("%w: maximum clock drift %d%% is not between 0 and 50", ErrBadConfig, c.MaxDriftPercent)
	case c.Rand == nil:
		return fmt.Errorf("%w: Rand is not set", ErrBadConfig)
	}
	return nil
}

// leaseDuration returns the length of a lease, counted from the sending of a
// heartbeat that a majority has acknowledged.
func (c Config) leaseDuration() time.Duration {
	return c.ElectionTimeout * time.Duration(100-c.MaxDriftPercent) / 100
}
