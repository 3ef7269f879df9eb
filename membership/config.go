package membership

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Config sets up a Node. Durations that are zero take the default in brackets.
type Config struct {
	Self  instance.Member // State defaults to serving
	Seeds []string        // link addresses to join through; its own may be among them

	Tick                time.Duration // shortest time between two pushes of urgent news [50 ms]
	PushInterval        time.Duration // between pushes of other news [200 ms]
	LoadPushInterval    time.Duration // between pushes of load reports [500 ms]
	HeartbeatInterval   time.Duration // between pushes on a quiet edge [1 s]
	MemberTimeout       time.Duration // without a push from a neighbour before it is probed [2 s]
	ProbeTimeout        time.Duration // for each of the direct and the indirect probe [700 ms]
	SuspicionTimeout    time.Duration // for a suspected member to refute [2 s]
	RefuteGrace         time.Duration // between hearing that a member is gone and believing it [1 s]
	ServerTimeout       time.Duration // without an announcement before a backend server is gone [3 s]
	FreezeThreshold     time.Duration // between two ticks before this process takes itself for frozen [1 s]
	AntiEntropyInterval time.Duration // between comparisons of digests [5 s]
	GoneTTL             time.Duration // for which an instance that is gone stays known [30 min]

	MinLoadInterval      time.Duration // least time between load reports of one instance [2 s]
	LoadReportsPerSecond float64       // load reports a second in a region; the interval grows to keep it [120]
	MaxMessageBytes      int           // bytes of one message [8 KiB]
	BudgetBytesPerSecond float64       // bytes a second for all that isn't urgent [8 KiB]
	BudgetBurstBytes     float64       // bytes [48 KiB]

	// Merge joins two bodies of one shared record. It must be commutative,
	// associative and idempotent. Nil: the higher version wins, of equal
	// versions the body that sorts higher.
	Merge func(key string, a, b []byte) []byte
}

// Rings along which changes travel. Two rings over the region carry its load
// reports; with two more over all instances, a piece of news has four ways in.
const (
	regionRings = 2
	globalRings = 2
)

func (c Config) withDefaults() Config {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Tick, 50 * time.Millisecond},
		{&c.PushInterval, 200 * time.Millisecond},
		{&c.LoadPushInterval, 500 * time.Millisecond},
		{&c.HeartbeatInterval, time.Second},
		{&c.MemberTimeout, 2 * time.Second},
		{&c.ProbeTimeout, 700 * time.Millisecond},
		{&c.SuspicionTimeout, 2 * time.Second},
		{&c.RefuteGrace, time.Second},
		{&c.ServerTimeout, 3 * time.Second},
		{&c.FreezeThreshold, time.Second},
		{&c.AntiEntropyInterval, 5 * time.Second},
		{&c.GoneTTL, 30 * time.Minute},
		{&c.MinLoadInterval, 2 * time.Second},
	}
	for _, d := range durations {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.LoadReportsPerSecond <= 0 {
		c.LoadReportsPerSecond = 120
	}
	if c.MaxMessageBytes <= 0 {
		c.MaxMessageBytes = 8 << 10
	}
	if c.BudgetBytesPerSecond <= 0 {
		c.BudgetBytesPerSecond = 8 << 10
	}
	if c.BudgetBurstBytes <= 0 {
		c.BudgetBurstBytes = 48 << 10
	}
	if c.Self.State == "" {
		c.Self.State = instance.StateServing
	}
	return c
}
