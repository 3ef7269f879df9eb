package membership

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Config configures a Node. Zero values take the default in brackets.
type Config struct {
	Self  instance.Member // this member; State defaults to serving
	Seeds []string        // link addresses to join through; may include the own address

	Tick                time.Duration // interval of the state machine, and of pushes of urgent changes [50 ms]
	PushInterval        time.Duration // interval of pushes of other changes [200 ms]
	LoadPushInterval    time.Duration // interval of pushes of load reports [500 ms]
	HeartbeatInterval   time.Duration // a neighbour without a push for this long gets an empty one [1 s]
	MemberTimeout       time.Duration // a neighbour that pushes nothing for this long is probed [2 s]
	ProbeTimeout        time.Duration // timeout of the direct and of the indirect probe [700 ms]
	SuspicionTimeout    time.Duration // a suspected member that doesn't refute within it is marked gone [2 s]
	RefuteGrace         time.Duration // delay between receiving that a member is gone and reporting it [1 s]
	ServerTimeout       time.Duration // a backend server without an announcement for this long is gone [3 s]
	FreezeThreshold     time.Duration // a longer gap between two ticks means that this process was stopped [1 s]
	AntiEntropyInterval time.Duration // mean interval of digest comparisons [5 s]
	GoneTTL             time.Duration // how long the record of a gone instance is kept [30 min]

	MinLoadInterval      time.Duration // minimum interval of load reports of one instance [2 s]
	LoadReportsPerSecond float64       // maximum rate of load reports of a region; the interval grows to keep it [120]
	MaxMessageBytes      int           // maximum size of one message before compression [8 KiB]
	BudgetBytesPerSecond float64       // bandwidth for pushes that aren't urgent [8 KiB]
	BudgetBurstBytes     float64       // token bucket size of the bandwidth budget [48 KiB]

	// Merge merges two bodies of one shared record. It must be commutative,
	// associative and idempotent. If nil, the higher version wins, and of equal
	// versions the body that sorts higher.
	Merge func(key string, a, b []byte) []byte
}

// Number of rings along which changes travel. The rings over the region carry its
// load reports; other changes travel along all four.
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
