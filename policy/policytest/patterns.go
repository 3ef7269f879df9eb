package policytest

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Target is the latency target of the size that the project designs for: first
// token within 0.72 s and 46 ms between tokens.
const (
	firstTarget = 720 * time.Millisecond
	gapTarget   = 46 * time.Millisecond
)

// answerTokens is the mean answer: the size to design for is 770,000 tokens and
// 3,500 requests a second.
const answerTokens = 220

// site is the fleet of the smaller of today's sites: 12 model servers in three
// zones. The size to design for has each server generate 1,283 tokens a second
// at 46 ms between tokens at most, hence for 59 requests side by side; here 64
// slots. Prefill and generation are those of a mid-sized model on one server, an
// assumption that no run here can check.
func site() Fleet {
	return Fleet{
		Servers: 12, Zones: 3, Slots: 64,
		PrefillRate: 8_000, Gap: 25 * time.Millisecond, Slowdown: 0.3, CacheTokens: 40_000,
		ReportEvery: 500 * time.Millisecond, ReportLag: 100 * time.Millisecond,
	}
}

// capacity is how many of the usual requests a fleet answers in a second, all
// slots taken, with half of the prompts cached.
func capacity(f Fleet) float64 {
	return float64(f.Servers*f.Slots) / f.slotTime(promptTokens-prefixTokens, answerTokens).Seconds()
}

const (
	promptTokens = 800
	prefixTokens = 400
)

// workspaces are five, two of them large; their rates add up to load times the
// site's capacity.
func workspaces(load float64) []Source {
	parts := []struct {
		name   string
		weight int
		part   float64
	}{
		{"large-a", 3, 0.3}, {"large-b", 3, 0.3}, {"medium", 2, 0.2}, {"small", 1, 0.1}, {"quiet", 1, 0.1},
	}
	var sources []Source
	for _, p := range parts {
		sources = append(sources, Source{
			Workspace: p.name, Class: contract.ClassInteractive, Weight: p.weight, Rate: load * capacity(site()) * p.part,
			Callers: 1_000, Prompt: promptTokens, PrefixLen: prefixTokens, Prefixes: 60, Answer: answerTokens,
			Target: firstTarget, GapTarget: gapTarget, Patience: 30 * time.Second,
		})
	}
	return sources
}

func scenario(name string, sources []Source) *Scenario {
	return &Scenario{
		Name: name, Length: 60 * time.Second, Warmup: 20 * time.Second, Entries: 7, Fleet: site(), Sources: sources,
	}
}

// Steady is half of the capacity, evenly over time.
func Steady() *Scenario { return scenario("steady, half of capacity", workspaces(0.5)) }

// SurgeOfOne is Steady, with one workspace at twenty times its rate.
func SurgeOfOne() *Scenario {
	sources := workspaces(0.5)
	sources[2].Surge = Surge{From: 15 * time.Second, To: 60 * time.Second, Factor: 20}
	return scenario("surge of one workspace, 20x", sources)
}

// Burst is Steady, with all workspaces at six times their rate for a second.
func Burst() *Scenario {
	sources := workspaces(0.5)
	for i := range sources {
		sources[i].Surge = Surge{From: 30 * time.Second, To: 31 * time.Second, Factor: 6}
	}
	return scenario("burst of all workspaces, 6x for 1 s", sources)
}

// Overload is Steady, with all workspaces at three times the capacity for ten
// seconds.
func Overload() *Scenario {
	sources := workspaces(0.5)
	for i := range sources {
		sources[i].Surge = Surge{From: 25 * time.Second, To: 35 * time.Second, Factor: 6}
		sources[i].Patience = 60 * time.Second
	}
	s := scenario("three times the capacity for 10 s", sources)
	s.Length = 100 * time.Second
	return s
}

// FewCallers is one workspace of two callers that asks for the whole capacity
// and has a limit of 40% of it.
func FewCallers() *Scenario {
	sources := workspaces(0.5)
	sources[0].Callers = 2
	sources[0].Rate = capacity(site())
	sources[0].Limits = contract.Limits{RequestsPerSecond: 0.4 * capacity(site())}
	return scenario("few callers with most of the load", sources)
}

// OneSlow is a load of 0.7 with one server five times slower.
func OneSlow() *Scenario {
	s := scenario("one slow server", workspaces(0.7))
	s.Faults = []Fault{{Kind: SlowServer, At: 10 * time.Second, Until: s.Length, Servers: []int{0}, Factor: 5}}
	return s
}

// LongAmongShort is Steady with answers of 2,500 tokens that would take more
// than the rest of the slots.
func LongAmongShort() *Scenario {
	sources := workspaces(0.5)
	sources[1].Rate /= 2
	sources = append(sources, Source{
		Workspace: "large-b", Class: contract.ClassStandard, Weight: 3, Rate: 8, Callers: 1_000,
		Prompt: 2_000, Answer: 2_500, Patience: 10 * time.Minute,
	})
	s := scenario("long among short", sources)
	s.Length, s.Warmup = 200*time.Second, 80*time.Second
	return s
}

// Saturation is all workspaces at load times the capacity.
func Saturation(name string, load float64) *Scenario {
	return scenario(name, workspaces(load))
}

// SmallServers is five times the capacity of a site whose servers run 8 requests
// side by side.
func SmallServers() *Scenario {
	s := Saturation("saturation 5x, 8 slots a server", 5)
	small := site()
	small.Slots = 8
	for i := range s.Sources {
		s.Sources[i].Rate *= capacity(small) / capacity(s.Fleet)
	}
	s.Fleet = small
	return s
}

// ZoneReclaimed is a load of 0.6 from which a third of the servers goes.
func ZoneReclaimed() *Scenario {
	s := scenario("a zone reclaimed", workspaces(0.6))
	s.Faults = []Fault{{Kind: Reclaim, At: 40 * time.Second, Servers: []int{0, 3, 6, 9}}}
	return s
}

// TwoFailing is Steady with two servers that fail every attempt for five
// seconds.
func TwoFailing() *Scenario {
	s := scenario("two servers fail all attempts", workspaces(0.5))
	s.Faults = []Fault{{Kind: FailingServer, At: 30 * time.Second, Until: 35 * time.Second, Servers: []int{0, 1}}}
	return s
}

// FourFailing is Steady with four servers that fail every attempt for fifteen
// seconds, and half of each workspace's requests of class batch.
func FourFailing() *Scenario {
	s := scenario("four servers fail all attempts", workspaces(0.5))
	for i := range s.Sources {
		s.Sources[i].Rate /= 2
		batch := s.Sources[i]
		batch.Class = contract.ClassBatch
		batch.Target, batch.GapTarget = 0, 0
		s.Sources = append(s.Sources, batch)
	}
	s.Faults = []Fault{{Kind: FailingServer, At: 30 * time.Second, Until: 45 * time.Second, Servers: []int{0, 1, 2, 3}}}
	return s
}

// Patterns are all scenarios of the table in docs/DECISIONS.md.
func Patterns() []*Scenario {
	return []*Scenario{
		Steady(), Burst(), SurgeOfOne(), FewCallers(), OneSlow(), LongAmongShort(),
		Saturation("saturation 1x", 1), Saturation("saturation 2x", 2), Saturation("saturation 5x", 5),
		SmallServers(), ZoneReclaimed(), TwoFailing(),
	}
}
