package route

import (
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the parameters of a Router. Start from DefaultConfig.
type Config struct {
	// Entries is the number of entries that send to the same servers, at least 1. An
	// entry sees only its own requests since the last load report and may use only
	// its share of a server's headroom. Router.SetEntries changes it.
	Entries int

	// PrefillRate is the prefill speed of a server, in tokens per second.
	PrefillRate float64
	// LearnPrefill adjusts the rate to measured times to first token, starting at
	// PrefillRate.
	LearnPrefill bool
	// UrgentFirst says that servers admit requests that can meet their objective before all
	// others. The cost of a server then counts such work only.
	UrgentFirst bool
	// FillLevel draws among the candidates by the requests that each of them can take until its
	// cost is that of the others, where other entries may have sent as many since the last report.
	// Otherwise the cheapest candidate is chosen.
	FillLevel bool
	// Trust is the fraction of Request.SharedTokens that the first server in the
	// rendezvous order is assumed to cache, because other entries send the same shared
	// prefix there. Without it, an entry spreads prefixes that are new to it over all
	// servers, and each server prefills them. Set it to 0 where servers send cache events.
	Trust float64
	// CountSenders estimates from this entry's request rate how many other entries can
	// have sent to a server since its last report, instead of assuming all of them. It is
	// for many entries with few requests each. With few entries, or with one prefix as the
	// whole load, the load bound holds better without it.
	CountSenders bool
	// BusyCost is the delay of the first token on a server whose slots are all taken,
	// because requests share its batch. It is proportional to the used fraction of slots.
	BusyCost time.Duration
	// SlotTime is how long a request occupies a slot. Each queued request per slot adds
	// this much to the wait.
	SlotTime time.Duration
	// ZoneCost and RegionCost are added to the score of a server in another zone of the
	// region, and of one in another region.
	ZoneCost   time.Duration
	RegionCost time.Duration

	// LoadFactor bounds a server's load to this multiple of the fair load. It is above 1.
	LoadFactor float64
	// FreeLoad is the fraction of its slots that a server may fill with conversations that
	// it caches, even where that exceeds the load bound.
	FreeLoad float64

	// SlowStart is how long a new server takes to reach its full share of requests. Its
	// weight grows linearly with its age and is at least SlowStartShare.
	SlowStart      time.Duration
	SlowStartShare float64

	// SlowFactor is how many times the median of all servers, or 1 if that is greater, a
	// server's normalized time to first token may be before it counts as slow.
	SlowFactor float64
	// SlowSamples is the number of first tokens needed before a server can count as slow
	// by its latency.
	SlowSamples int
	// SilentAfter is the minimum time without a first token, while requests wait for
	// one, after which a server counts as slow.
	SilentAfter time.Duration
	// FailuresInRow is the number of consecutive failures that make a server slow.
	FailuresInRow int
	// AssessEvery is the minimum interval between assessments of the servers. Each
	// assessment with new evidence divides a slow server's weight by 4, down to MinShare.
	AssessEvery time.Duration
	MinShare    float64
	// ProbeEvery is the interval between single probe requests to a server with a reduced
	// weight, over all entries together. ProbeMax bounds the interval of one entry.
	ProbeEvery time.Duration
	ProbeMax   time.Duration
	// RecoverEvery is the minimum time between doublings of a weight that recovers.
	RecoverEvery time.Duration
}

// DefaultConfig returns the default parameters, for one entry.
//
//   - LoadFactor is the users' bound for a hot prefix.
//   - FreeLoad: with 0, random arrivals alone would move conversations away from the servers
//     that cache them, at a quarter of the capacity.
//   - ZoneCost is a round trip between data centres of one site. RegionCost keeps requests in
//     their region until its servers are worse by that.
//   - SlowFactor, SlowSamples and AssessEvery reduce a weight from 1 to MinShare in three
//     assessments. A lower SlowFactor takes queueing noise for a fault: at a load of 0.7,
//     waits differ by a factor of about 2 between servers.
//   - SilentAfter exceeds the users' target of 0.72 s for a first token.
//   - SlowStart covers the filling of an empty prefix cache and of the batch.
func DefaultConfig() Config {
	return Config{
		Entries:        1,
		PrefillRate:    8000,
		BusyCost:       200 * time.Millisecond,
		SlotTime:       4 * time.Second,
		ZoneCost:       time.Millisecond,
		RegionCost:     60 * time.Millisecond,
		LoadFactor:     1.25,
		FreeLoad:       0.5,
		SlowStart:      10 * time.Second,
		SlowStartShare: 0.1,
		SlowFactor:     2.5,
		SlowSamples:    3,
		SilentAfter:    time.Second,
		FailuresInRow:  3,
		AssessEvery:    250 * time.Millisecond,
		MinShare:       0.02,
		ProbeEvery:     5 * time.Second,
		ProbeMax:       time.Minute,
		RecoverEvery:   time.Second,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("route",
		policy.Require("Entries", c.Entries >= 1, "at least 1"),
		policy.Require("PrefillRate", c.PrefillRate > 0, "above 0"),
		policy.Require("Trust", c.Trust >= 0 && c.Trust <= 1, "in [0, 1]"),
		policy.Require("BusyCost", c.BusyCost >= 0, "at least 0"),
		policy.Require("SlotTime", c.SlotTime > 0, "above 0"),
		policy.Require("ZoneCost", c.ZoneCost >= 0, "at least 0"),
		policy.Require("RegionCost", c.RegionCost >= c.ZoneCost, "at least ZoneCost"),
		policy.Require("LoadFactor", c.LoadFactor > 1, "above 1"),
		policy.Require("FreeLoad", c.FreeLoad >= 0 && c.FreeLoad <= 1, "in [0, 1]"),
		policy.Require("SlowStart", c.SlowStart >= 0, "at least 0"),
		policy.Require("SlowStartShare", c.SlowStartShare > 0 && c.SlowStartShare <= 1, "in (0, 1]"),
		policy.Require("SlowFactor", c.SlowFactor > 1, "above 1"),
		policy.Require("SlowSamples", c.SlowSamples >= 1, "at least 1"),
		policy.Require("SilentAfter", c.SilentAfter > 0, "above 0"),
		policy.Require("FailuresInRow", c.FailuresInRow >= 1, "at least 1"),
		policy.Require("AssessEvery", c.AssessEvery > 0, "above 0"),
		policy.Require("MinShare", c.MinShare > 0 && c.MinShare < 1, "in (0, 1)"),
		policy.Require("ProbeEvery", c.ProbeEvery > 0, "above 0"),
		policy.Require("ProbeMax", c.ProbeMax >= c.ProbeEvery, "at least ProbeEvery"),
		policy.Require("RecoverEvery", c.RecoverEvery > 0, "above 0"),
	)
}
