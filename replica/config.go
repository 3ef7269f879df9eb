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

// Config is the settings of a Core. Durations are on the replica's own
// monotonic clock.
type Config struct {
	ID uint64

	// ElectionTimeout is how long a replica that has heard from a leader helps to
	// elect no other one. Candidates wait between one and two of it.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration

	// MaxDriftPercent bounds by how much two replicas' clocks may differ in rate;
	// a lease is that much shorter than the election timeout.
	MaxDriftPercent int

	MaxMessageBytes int // of entries or snapshot data in one message
	MaxInflight     int // unacknowledged append messages to one replica

	// Rand returns a number in [0, n). The same sequence gives the same run.
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
		return fmt.Errorf("%w: id 0 stands for no replica", ErrBadConfig)
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval:
		return fmt.Errorf("%w: election timeout %v needs two heartbeats of %v", ErrBadConfig, c.ElectionTimeout, c.HeartbeatInterval)
	case c.MaxDriftPercent < 0 || c.MaxDriftPercent > 50:
		return fmt.Errorf("%w: drift of %d%%, want 0 to 50", ErrBadConfig, c.MaxDriftPercent)
	case c.Rand == nil:
		return fmt.Errorf("%w: no source of randomness", ErrBadConfig)
	}
	return nil
}

// leaseDuration is how long after a heartbeat was sent its acknowledgement
// still proves that no other leader is elected.
func (c Config) leaseDuration() time.Duration {
	return c.ElectionTimeout * time.Duration(100-c.MaxDriftPercent) / 100
}
