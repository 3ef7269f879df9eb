package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the schedule.
type arrival struct {
	at    time.Duration // intended start, from the start of the run
	part  int
	index int // within the part
}

// newSchedule returns the arrivals of a run by intended start. It is a pure
// function of the configuration: the same seed gives the same schedule.
func newSchedule(cfg Config) []arrival {
	total := 0.0
	for _, p := range cfg.Parts {
		total += p.Weight
	}
	var schedule []arrival
	for i, p := range cfg.Parts {
		schedule = append(schedule, partSchedule(cfg, i, cfg.Rate*p.Weight/total)...)
	}
	slices.SortStableFunc(schedule, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return schedule
}

// partSchedule draws a Poisson process whose rate steps with the surges, by
// thinning one of the highest rate (Lewis and Shedler 1979).
func partSchedule(cfg Config, part int, rate float64) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(part)))
	peak := peakFactor(cfg, cfg.Parts[part].Name)
	if peak == 0 {
		return nil
	}
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * peak) * float64(time.Second))
		if at >= cfg.Duration {
			return arrivals
		}
		if rng.Float64()*peak < factorAt(cfg, cfg.Parts[part].Name, at) {
			arrivals = append(arrivals, arrival{at: at, part: part, index: len(arrivals)})
		}
	}
}

// factorAt returns the product of the surges in force at a time.
func factorAt(cfg Config, part string, at time.Duration) float64 {
	factor := 1.0
	for _, s := range cfg.Surges {
		if s.Part == part && at >= s.From && at < s.From+s.For {
			factor *= s.Factor
		}
	}
	return factor
}

func peakFactor(cfg Config, part string) float64 {
	peak := factorAt(cfg, part, 0)
	for _, s := range cfg.Surges {
		peak = max(peak, factorAt(cfg, part, s.From), factorAt(cfg, part, s.From+s.For))
	}
	return peak
}
