package policytest

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// Latency targets of interactive requests.
const (
	firstTokenTarget    = 720 * time.Millisecond
	tokenIntervalTarget = 46 * time.Millisecond
)

// meanAnswerTokens is the mean length of an answer at the design load of 770,000
// tokens and 3,500 requests a second.
const meanAnswerTokens = 220

// smallSite returns the fleet of a site with 12 servers in three zones. Prefill
// rate and token interval assume a mid-sized model on one server.
func smallSite() Fleet {
	return Fleet{
		Servers: 12, Zones: 3, Slots: 64,
		PrefillRate: 8_000, TokenInterval: 25 * time.Millisecond, FullSlowdown: 0.3, CacheTokens: 40_000,
		ReportInterval: 500 * time.Millisecond, ReportDelay: 100 * time.Millisecond,
	}
}

// requestCapacity returns how many requests of mean length a fleet answers per
// second with all slots taken and the shared prefixes cached.
func requestCapacity(f Fleet) float64 {
	return float64(f.Servers*f.Slots) / f.slotTime(meanPromptTokens-prefixTokens, meanAnswerTokens).Seconds()
}

const (
	meanPromptTokens = 800
	prefixTokens     = 400
)

// workspaceSources returns five workspaces, two of them large, whose rates add up
// to load times the capacity of smallSite.
func workspaceSources(load float64) []Source {
	shares := []struct {
		name         string
		weight       int
		loadFraction float64
	}{
		{"large-a", 3, 0.3}, {"large-b", 3, 0.3}, {"medium", 2, 0.2}, {"small", 1, 0.1}, {"quiet", 1, 0.1},
	}
	var sources []Source
	for _, p := range shares {
		sources = append(sources, Source{
			Workspace: p.name, Class: contract.ClassInteractive, Weight: p.weight, Rate: load * requestCapacity(smallSite()) * p.loadFraction,
			Callers: 1_000, MeanPromptTokens: meanPromptTokens, PrefixTokens: prefixTokens, Prefixes: 60, MeanAnswerTokens: meanAnswerTokens,
			FirstTokenTarget: firstTokenTarget, TokenIntervalTarget: tokenIntervalTarget, CallerTimeout: 30 * time.Second,
		})
	}
	return sources
}

// newScenario returns a scenario of one minute on smallSite with seven entries.
func newScenario(name string, sources []Source) *Scenario {
	return &Scenario{
		Name: name, Duration: 60 * time.Second, Warmup: 20 * time.Second, Entries: 7, Fleet: smallSite(), Sources: sources,
	}
}

// Steady is a constant load of half the capacity.
func Steady() *Scenario { return newScenario("steady, half of capacity", workspaceSources(0.5)) }

// SurgeOfOneWorkspace is Steady with one workspace at 20 times its rate from 15 s
// on.
func SurgeOfOneWorkspace() *Scenario {
	sources := workspaceSources(0.5)
	sources[2].Surge = Surge{From: 15 * time.Second, To: 60 * time.Second, Factor: 20}
	return newScenario("surge of one workspace, 20x", sources)
}

// Burst is Steady with all workspaces at six times their rate for one second.
func Burst() *Scenario {
	sources := workspaceSources(0.5)
	for i := range sources {
		sources[i].Surge = Surge{From: 30 * time.Second, To: 31 * time.Second, Factor: 6}
	}
	return newScenario("burst of all workspaces, 6x for 1 s", sources)
}

// Overload is Steady with a total load of three times the capacity for ten
// seconds, and callers that wait for a minute.
func Overload() *Scenario {
	sources := workspaceSources(0.5)
	for i := range sources {
		sources[i].Surge = Surge{From: 25 * time.Second, To: 35 * time.Second, Factor: 6}
		sources[i].CallerTimeout = 60 * time.Second
	}
	s := newScenario("three times the capacity for 10 s", sources)
	s.Duration = 100 * time.Second
	return s
}

// FewCallers is Steady with one workspace whose two callers send as many requests
// as the fleet can answer, with a rate limit of 40% of that.
func FewCallers() *Scenario {
	sources := workspaceSources(0.5)
	sources[0].Callers = 2
	sources[0].Rate = requestCapacity(smallSite())
	sources[0].Limits = contract.Limits{RequestsPerSecond: 0.4 * requestCapacity(smallSite())}
	return newScenario("few callers with most of the load", sources)
}

// OneSlowServer is a load of 0.7 of the capacity with one server five times slower.
func OneSlowServer() *Scenario {
	s := newScenario("one slow server", workspaceSources(0.7))
	s.Faults = []Fault{{Kind: SlowServer, At: 10 * time.Second, Until: s.Duration, Servers: []int{0}, Factor: 5}}
	return s
}

// LongAnswersAmongShort is Steady with half of the rate of large-b, which also
// requests answers of 2,500 tokens. These need more slots than the short answers
// leave free.
func LongAnswersAmongShort() *Scenario {
	sources := workspaceSources(0.5)
	sources[1].Rate /= 2
	sources = append(sources, Source{
		Workspace: "large-b", Class: contract.ClassStandard, Weight: 3, Rate: 8, Callers: 1_000,
		MeanPromptTokens: 2_000, MeanAnswerTokens: 2_500, CallerTimeout: 10 * time.Minute,
	})
	s := newScenario("long among short", sources)
	s.Duration, s.Warmup = 200*time.Second, 80*time.Second
	return s
}

// Saturation is a constant load of load times the capacity.
func Saturation(name string, load float64) *Scenario {
	return newScenario(name, workspaceSources(load))
}

// SmallServers is a load of five times the capacity on servers of 8 slots.
func SmallServers() *Scenario {
	s := Saturation("saturation 5x, 8 slots a server", 5)
	small := smallSite()
	small.Slots = 8
	for i := range s.Sources {
		s.Sources[i].Rate *= requestCapacity(small) / requestCapacity(s.Fleet)
	}
	s.Fleet = small
	return s
}

// ZoneReclaimed is a load of 0.6 of the capacity; all servers of one of the three
// zones are reclaimed at 40 s.
func ZoneReclaimed() *Scenario {
	s := newScenario("a zone reclaimed", workspaceSources(0.6))
	s.Faults = []Fault{{Kind: Reclaim, At: 40 * time.Second, Servers: []int{0, 3, 6, 9}}}
	return s
}

// TwoFailingServers is Steady with two servers that fail every attempt for five
// seconds.
func TwoFailingServers() *Scenario {
	s := newScenario("two servers fail all attempts", workspaceSources(0.5))
	s.Faults = []Fault{{Kind: FailingServer, At: 30 * time.Second, Until: 35 * time.Second, Servers: []int{0, 1}}}
	return s
}

// FourFailingServers is Steady with four servers that fail every attempt for 15
// seconds. Half of each workspace's requests are of class batch, without targets.
func FourFailingServers() *Scenario {
	s := newScenario("four servers fail all attempts", workspaceSources(0.5))
	for i := range s.Sources {
		s.Sources[i].Rate /= 2
		batch := s.Sources[i]
		batch.Class = contract.ClassBatch
		batch.FirstTokenTarget, batch.TokenIntervalTarget = 0, 0
		s.Sources = append(s.Sources, batch)
	}
	s.Faults = []Fault{{Kind: FailingServer, At: 30 * time.Second, Until: 45 * time.Second, Servers: []int{0, 1, 2, 3}}}
	return s
}

// TableScenarios returns the scenarios of the table in docs/DECISIONS.md.
func TableScenarios() []*Scenario {
	return []*Scenario{
		Steady(), Burst(), SurgeOfOneWorkspace(), FewCallers(), OneSlowServer(), LongAnswersAmongShort(),
		Saturation("saturation 1x", 1), Saturation("saturation 2x", 2), Saturation("saturation 5x", 5),
		SmallServers(), ZoneReclaimed(), TwoFailingServers(),
	}
}
