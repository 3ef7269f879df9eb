package scale

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/zone"
)

// Option is a combination of zone, machine class and market.
type Option struct {
	Zone   string      `msgpack:"zone"`
	Class  string      `msgpack:"class"`
	Market zone.Market `msgpack:"market"`
}

// State carries data from one Decide call to the next. The zero State is that of a
// new fleet. It must be stored in the replicated log: a leader without the previous
// State would use new tokens for pending starts, and the cloud would run each twice.
type State struct {
	Capacity float64   `msgpack:"cap"`   // target, in work per second
	Demand   float64   `msgpack:"dem"`   // at the last decision
	Slope    float64   `msgpack:"slope"` // of the demand, in work per second per second
	At       time.Time `msgpack:"at"`    // time of the last decision
	LowSince time.Time `msgpack:"low"`   // since when the target is below DownBelow of Capacity; zero if it is not
	LastDown time.Time `msgpack:"down"`
	LastSwap time.Time `msgpack:"swap"`

	// Day is the peak demand of each dayBucketLength of the last 24 hours, by time of day.
	Day []float64 `msgpack:"day"`

	Backoffs []Backoff `msgpack:"backoffs"`
	Ordinals []Ordinal `msgpack:"ordinals"`
}

// Backoff is the backoff of an option whose starts were refused.
type Backoff struct {
	Option   Option    `msgpack:"opt"`
	Refusals int       `msgpack:"n"` // consecutive
	Until    time.Time `msgpack:"until"`
}

// Ordinal counts the accepted starts of an option.
type Ordinal struct {
	Option Option `msgpack:"opt"`
	Next   uint64 `msgpack:"next"`
}

// Refused returns the state after the cloud refused a start of the option.
func (s *Scaler) Refused(state State, option Option, now time.Time) State {
	state.Backoffs = slices.Clone(state.Backoffs)
	i := slices.IndexFunc(state.Backoffs, func(b Backoff) bool { return b.Option == option })
	if i < 0 {
		i = len(state.Backoffs)
		state.Backoffs = append(state.Backoffs, Backoff{Option: option})
	}
	b := &state.Backoffs[i]
	if now.Before(b.Until) {
		return state // further refusals of the same plan count once
	}
	b.Refusals++
	wait := s.cfg.BackoffMin << min(b.Refusals-1, 16)
	b.Until = now.Add(min(wait, s.cfg.BackoffMax))
	return state
}

// Accepted returns the state after the cloud accepted the start. Until then Decide
// repeats the start with the same token.
func (s *Scaler) Accepted(state State, start Start) State {
	state.Backoffs = slices.DeleteFunc(slices.Clone(state.Backoffs), func(b Backoff) bool { return b.Option == start.Option })
	state.Ordinals = slices.Clone(state.Ordinals)
	for i := range state.Ordinals {
		if o := &state.Ordinals[i]; o.Option == start.Option {
			o.Next = max(o.Next, start.Ordinal+1)
			return state
		}
	}
	state.Ordinals = append(state.Ordinals, Ordinal{start.Option, start.Ordinal + 1})
	return state
}

// startable reports whether the option is not in backoff.
func (s *State) startable(option Option, now time.Time) bool {
	return !slices.ContainsFunc(s.Backoffs, func(b Backoff) bool {
		return b.Option == option && now.Before(b.Until)
	})
}

func (s *State) nextOrdinal(option Option) uint64 {
	for _, o := range s.Ordinals {
		if o.Option == option {
			return o.Next
		}
	}
	return 0
}

// updateTarget moves the target capacity towards the demand: up immediately, down in
// steps after a delay.
func (c *Config) updateTarget(s *State, demand float64, now time.Time) Reason {
	if elapsed := now.Sub(s.At).Seconds(); !s.At.IsZero() && elapsed > 0 {
		s.Slope += slopeWeight * ((demand-s.Demand)/elapsed - s.Slope)
	}
	s.recordDemand(demand, now)
	s.Demand = demand
	s.At = now
	extrapolated := demand + max(s.Slope, 0)*c.Lead.Seconds()
	target := max(extrapolated, s.forecast(now, c.Lead)) * c.Headroom
	if target >= s.Capacity {
		s.Capacity = target
		s.LowSince = time.Time{}
		return ReasonUp
	}
	if target >= s.Capacity*c.DownBelow {
		s.LowSince = time.Time{}
		return ReasonHold
	}
	if s.LowSince.IsZero() {
		s.LowSince = now
	}
	if now.Sub(s.LowSince) < c.DownAfter || now.Sub(s.LastDown) < c.DownEvery {
		return ReasonHold
	}
	s.Capacity = max(target, s.Capacity*(1-c.DownStep))
	s.LastDown = now
	return ReasonDown
}

// slopeWeight is the weight of the newest sample in the moving average of the slope.
const slopeWeight = 0.5

// dayBucketLength is the resolution of State.Day.
const dayBucketLength = 5 * time.Minute

const bucketsPerDay = int(24 * time.Hour / dayBucketLength)

func dayBucketIndex(t time.Time) int {
	return int(t.Unix()/int64(dayBucketLength.Seconds())) % bucketsPerDay
}

// recordDemand updates the peak of the current bucket of Day. It clears all buckets
// after a gap of 24 hours or more.
func (s *State) recordDemand(demand float64, now time.Time) {
	if len(s.Day) != bucketsPerDay || now.Sub(s.At) >= 24*time.Hour {
		s.Day = make([]float64, bucketsPerDay)
	} else {
		s.Day = slices.Clone(s.Day)
	}
	i := dayBucketIndex(now)
	if i != dayBucketIndex(s.At) {
		s.Day[i] = 0
	}
	s.Day[i] = max(s.Day[i], demand)
}

// forecast returns the peak demand of 24 hours ago within the next lead. A recurring
// surge grows faster than instances start, so starting on the current demand would be
// too late.
func (s *State) forecast(now time.Time, lead time.Duration) float64 {
	peak := 0.0
	for offset := dayBucketLength; offset <= lead+dayBucketLength; offset += dayBucketLength {
		peak = max(peak, s.Day[dayBucketIndex(now.Add(offset))])
	}
	return peak
}
