package shift

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the parameters of a Shifter. DefaultConfig returns the usual ones.
type Config struct {
	FirstStep   float64       // share after the first step
	MaxStep     float64       // largest increase of the share in a step
	StepEvery   time.Duration // minimum time between steps forward
	MaxBack     float64       // largest decrease of the share in a step of a rollback
	BackEvery   time.Duration // minimum time between steps of a rollback
	MinRequests int           // answers of the new version since the last step that a further step needs
	Tolerance   float64       // accepted difference between the rates of bad answers of the two versions
	Confidence  float64       // standard deviations above which a difference is significant
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		FirstStep:   0.02,
		MaxStep:     0.1,
		StepEvery:   30 * time.Second,
		MaxBack:     0.25,
		BackEvery:   5 * time.Second,
		MinRequests: 50,
		Tolerance:   0.01,
		Confidence:  3,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("shift",
		policy.Require("FirstStep", c.FirstStep > 0 && c.FirstStep <= 1, "in (0, 1]"),
		policy.Require("MaxStep", c.MaxStep > 0 && c.MaxStep <= 1, "in (0, 1]"),
		policy.Require("StepEvery", c.StepEvery > 0, "above 0"),
		policy.Require("MaxBack", c.MaxBack > 0 && c.MaxBack <= 1, "in (0, 1]"),
		policy.Require("BackEvery", c.BackEvery > 0, "above 0"),
		policy.Require("MinRequests", c.MinRequests >= 1, "at least 1"),
		policy.Require("Tolerance", c.Tolerance >= 0 && c.Tolerance < 1, "in [0, 1)"),
		policy.Require("Confidence", c.Confidence > 0, "above 0"),
	)
}

// Answers counts the answers of one version.
type Answers struct {
	All    int `msgpack:"all"`
	Errors int `msgpack:"err"`
	Late   int `msgpack:"late"` // first token after the service's target
}

func (a Answers) minus(b Answers) Answers {
	return Answers{a.All - b.All, a.Errors - b.Errors, a.Late - b.Late}
}

// State holds the progress of a shift. The zero State is a shift that has not started.
type State struct {
	Share      float64   `msgpack:"share"`
	RolledBack bool      `msgpack:"back"` // permanent: a new shift needs a new State
	LastStep   time.Time `msgpack:"moved"`
	// Totals at the last step. Answers are compared since that step.
	OldAtLastStep Answers `msgpack:"old"`
	NewAtLastStep Answers `msgpack:"new"`
}

// Input holds the inputs of Decide. The counts are totals since the start of the shift.
// Capacities are in requests per second within the latency target, of the servers that
// serve now.
type Input struct {
	Now         time.Time
	Old, New    Answers
	Rate        float64 // requests per second of the service
	OldCapacity float64
	NewCapacity float64
}

// Reason explains a Verdict.
type Reason uint8

const (
	ReasonAdvance     Reason = iota // a step forward
	ReasonWait                      // the step interval has not elapsed, or there are too few answers
	ReasonCapacity                  // the servers that the traffic moves to have no capacity for more
	ReasonErrors                    // rollback: more errors than the old version
	ReasonLate                      // rollback: more late first tokens than the old version
	ReasonRollingBack               // a rollback continues
	ReasonDone                      // all traffic is on the new version, or all is back on the old one
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	names := [...]string{"advance", "wait", "capacity", "errors", "late", "back", "done"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Verdict holds the share of the new version and the reason for it.
type Verdict struct {
	Share  float64
	Reason Reason
}

// Shifter decides on shifts. It is safe for concurrent use.
type Shifter struct {
	cfg Config
}

// New returns a Shifter. The error is a *policy.ConfigError.
func New(cfg Config) (*Shifter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Shifter{cfg: cfg}, nil
}

// Decide returns the share to use from now on and the State for the next call. Call it
// about once per second.
func (s *Shifter) Decide(state State, in Input) (State, Verdict) {
	if state.RolledBack {
		return s.rollBack(state, in, ReasonRollingBack)
	}
	if reason, regressed := s.detectRegression(state, in); regressed {
		state.RolledBack = true
		state.LastStep = time.Time{} // lets the first step of the rollback happen at once
		return s.rollBack(state, in, reason)
	}
	return s.advance(state, in)
}

// minAnswersForRollback is the number of answers below which a version is not judged.
// significantlyWorse allows for chance by itself: with the default parameters, four of
// five answers must be bad.
const minAnswersForRollback = 5

// detectRegression compares the answers of both versions since the last step, and since
// the start of the shift: the longer window reveals a small difference that no single step
// shows.
func (s *Shifter) detectRegression(state State, in Input) (Reason, bool) {
	windows := [2][2]Answers{
		{in.Old.minus(state.OldAtLastStep), in.New.minus(state.NewAtLastStep)},
		{in.Old, in.New},
	}
	for _, w := range windows {
		oldAnswers, newAnswers := w[0], w[1]
		if newAnswers.All < minAnswersForRollback {
			continue
		}
		if s.significantlyWorse(oldAnswers.All, oldAnswers.Errors, newAnswers.All, newAnswers.Errors) {
			return ReasonErrors, true
		}
		if s.significantlyWorse(oldAnswers.All, oldAnswers.Late, newAnswers.All, newAnswers.Late) {
			return ReasonLate, true
		}
	}
	return ReasonWait, false
}

// significantlyWorse reports whether the new version's rate of bad answers exceeds the old
// one's by more than Tolerance and chance. Each side gets one bad and one good answer
// added: without them the standard deviation would be 0 when there are no bad answers.
func (s *Shifter) significantlyWorse(oldAll, oldBad, newAll, newBad int) bool {
	n, m := float64(oldAll)+2, float64(newAll)+2
	oldRate, newRate := (float64(oldBad)+1)/n, (float64(newBad)+1)/m
	stdDev := math.Sqrt(oldRate*(1-oldRate)/n + newRate*(1-newRate)/m)
	return newRate-oldRate > s.cfg.Tolerance+s.cfg.Confidence*stdDev
}

// advance takes a step forward if the step interval has elapsed, there are enough answers
// and the new servers have capacity.
func (s *Shifter) advance(state State, in Input) (State, Verdict) {
	if state.Share >= 1 {
		return state, Verdict{state.Share, ReasonDone}
	}
	started := state.Share > 0
	enoughAnswers := in.New.minus(state.NewAtLastStep).All >= s.cfg.MinRequests
	if started && (in.Now.Sub(state.LastStep) < s.cfg.StepEvery || !enoughAnswers) {
		return state, Verdict{state.Share, ReasonWait}
	}
	step := min(max(state.Share, s.cfg.FirstStep), s.cfg.MaxStep)
	next := min(state.Share+step, 1)
	if maxShare := capacityShare(in.NewCapacity, in.Rate); next > maxShare {
		next = max(maxShare, state.Share)
	}
	if next <= state.Share {
		return state, Verdict{state.Share, ReasonCapacity}
	}
	return s.recordStep(state, in, next), Verdict{next, ReasonAdvance}
}

// rollBack lowers the share by a step, within the capacity of the old servers. Some of
// them may have been stopped; all traffic at once would overload the rest, while the new
// version fails only in part.
func (s *Shifter) rollBack(state State, in Input, reason Reason) (State, Verdict) {
	if state.Share <= 0 {
		return state, Verdict{0, ReasonDone}
	}
	if in.Now.Sub(state.LastStep) < s.cfg.BackEvery {
		return state, Verdict{state.Share, reason}
	}
	minShare := 1 - capacityShare(in.OldCapacity, in.Rate)
	next := max(state.Share-s.cfg.MaxBack, 0, min(minShare, state.Share))
	if next == state.Share {
		return state, Verdict{next, ReasonCapacity}
	}
	return s.recordStep(state, in, next), Verdict{next, reason}
}

// recordStep sets the share, and the time and the totals of the step.
func (s *Shifter) recordStep(state State, in Input, share float64) State {
	state.Share = share
	state.LastStep = in.Now
	state.OldAtLastStep = in.Old
	state.NewAtLastStep = in.New
	return state
}

// capacityShare returns the fraction of the rate that a capacity can serve, at most 1.
func capacityShare(capacity, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	return min(capacity/rate, 1)
}

// UsesNewVersion reports whether a request goes to the new version at the given share. key
// is a hash that related requests have in common: a conversation stays on one version,
// which has its prefix cached, and changes version at most once while the share grows.
func UsesNewVersion(key uint64, share float64) bool {
	key ^= key >> 33 // finalizer of MurmurHash3, in case the key is not uniformly distributed
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	key ^= key >> 33
	return float64(key>>11)/(1<<53) < share
}
