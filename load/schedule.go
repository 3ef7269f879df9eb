package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	at    time.Duration // intended start, since the start of the run
	part  int           // index into Config.Parts
	index int           // of the request within its part
}

// newSchedule returns the arrivals of a run, sorted by intended start. The same
// configuration and seed give the same schedule.
func newSchedule(cfg Config) []arrival {
	totalWeight := 0.0
	for _, p := range cfg.Parts {
		totalWeight += p.Weight
	}
	var schedule []arrival
	for i, p := range cfg.Parts {
		schedule = append(schedule, partSchedule(cfg, i, cfg.Rate*p.Weight/totalWeight)...)
	}
	slices.SortStableFunc(schedule, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return schedule
}

// partSchedule samples a Poisson process whose rate changes with the surges: it
// thins a process of the highest rate (Lewis and Shedler 1979). The rate is in
// requests per second without surges.
func partSchedule(cfg Config, part int, rate float64) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(part)))
	maxFactor := maxSurgeFactor(cfg, cfg.Parts[part].Name)
	if maxFactor == 0 {
		return nil
	}
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * maxFactor) * float64(time.Second))
		if at >= cfg.Duration {
			return arrivals
		}
		if rng.Float64()*maxFactor < surgeFactor(cfg, cfg.Parts[part].Name, at) {
			arrivals = append(arrivals, arrival{at: at, part: part, index: len(arrivals)})
		}
	}
}

// surgeFactor returns the product of the factors of a part's surges that are active at a time.
func surgeFactor(cfg Config, part string, at time.Duration) float64 {
	factor := 1.0
	for _, s := range cfg.Surges {
		if s.Part == part && at >= s.From && at < s.From+s.For {
			factor *= s.Factor
		}
	}
	return factor
}

// maxSurgeFactor returns the highest surge factor of a part during the run.
func maxSurgeFactor(cfg Config, part string) float64 {
	maxFactor := surgeFactor(cfg, part, 0)
	for _, s := range cfg.Surges {
		maxFactor = max(maxFactor, surgeFactor(cfg, part, s.From), surgeFactor(cfg, part, s.From+s.For))
	}
	return maxFactor
}
