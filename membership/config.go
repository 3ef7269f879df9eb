package membership

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Config sets up a Node. Durations that are zero take the default in brackets.
type Config struct {
	Self  instance.Member // State defaults to serving
	Seeds []string        // link addresses to join through; its own may be among them

	Tick          time.Duration // shortest time between two pushes of urgent news [50 ms]
	PushEvery     time.Duration // between pushes of other news [200 ms]
	LoadEvery     time.Duration // between pushes of load reports [500 ms]
	Heartbeat     time.Duration // between pushes on a quiet edge [1 s]
	MemberSilence time.Duration // without a push from a neighbour before it is probed [2 s]
	ProbeTimeout  time.Duration // for each of the direct and the indirect probe [700 ms]
	SuspectFor    time.Duration // for a suspected member to refute [2 s]
	RefuteGrace   time.Duration // between hearing that a member is gone and believing it [1 s]
	ServerSilence time.Duration // without an announcement before a backend server is gone [3 s]
	FreezeBound   time.Duration // between two ticks before this process takes itself for frozen [1 s]
	AntiEntropy   time.Duration // between comparisons of digests [5 s]
	Forget        time.Duration // for which an instance that is gone stays known [30 min]

	LoadInterval  time.Duration // least time between load reports of one instance [2 s]
	LoadPerSecond float64       // load reports a second in a region; the interval grows to keep it [120]
	MaxMessage    int           // bytes of one message [8 KiB]
	Budget        float64       // bytes a second for all that isn't urgent [8 KiB]
	BudgetBurst   float64       // bytes [48 KiB]

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
		{&c.PushEvery, 200 * time.Millisecond},
		{&c.LoadEvery, 500 * time.Millisecond},
		{&c.Heartbeat, time.Second},
		{&c.MemberSilence, 2 * time.Second},
		{&c.ProbeTimeout, 700 * time.Millisecond},
		{&c.SuspectFor, 2 * time.Second},
		{&c.RefuteGrace, time.Second},
		{&c.ServerSilence, 3 * time.Second},
		{&c.FreezeBound, time.Second},
		{&c.AntiEntropy, 5 * time.Second},
		{&c.Forget, 30 * time.Minute},
		{&c.LoadInterval, 2 * time.Second},
	}
	for _, d := range durations {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.LoadPerSecond <= 0 {
		c.LoadPerSecond = 120
	}
	if c.MaxMessage <= 0 {
		c.MaxMessage = 8 << 10
	}
	if c.Budget <= 0 {
		c.Budget = 8 << 10
	}
	if c.BudgetBurst <= 0 {
		c.BudgetBurst = 48 << 10
	}
	if c.Self.State == "" {
		c.Self.State = instance.StateServing
	}
	return c
}
