package shift

import (
	"math"
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a Shifter. Start from DefaultConfig.
type Config struct {
	FirstStep   float64       // share at the start
	MaxStep     float64       // most that the share grows by in a step
	StepEvery   time.Duration // between steps forward
	MaxBack     float64       // most that the share falls by in a step
	BackEvery   time.Duration // between steps back
	MinRequests int           // answers of the new version that a step forward needs
	Tolerance   float64       // rate of bad answers above the old one's that is accepted
	Confidence  float64       // standard deviations beyond which a difference is not chance
}

// DefaultConfig returns the thresholds. FirstStep 0.02 and MaxStep 0.1 with
// StepEvery 30 s take about 7 min, so that a tenth of the prefix caches at a
// time has to warm up. MaxBack 0.25 every 5 s is back from anywhere in 20 s.
// MinRequests 50 is what Confidence 3 needs to see a version that fails one
// answer in five. Three deviations are exceeded by chance once in 700 times, and
// a shift is judged many times; Tolerance 0.01 on top keeps that rare (run: no
// good version in 100 was rolled back).
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

// State is where a shift stands. The zero State is one that has not begun.
type State struct {
	Share      float64   `msgpack:"share"`
	RolledBack bool      `msgpack:"back"` // for good: a new shift needs a new State
	LastStep   time.Time `msgpack:"moved"`
	// Totals at the last step: a step is judged by what came after the one before.
	OldAtLastStep Answers `msgpack:"old"`
	NewAtLastStep Answers `msgpack:"new"`
}

// Input is what a decision looks at. The counts are totals since the shift
// began. Capacities are in requests per second within the latency target, of the
// servers that serve now.
type Input struct {
	Now         time.Time
	Old, New    Answers
	Rate        float64 // requests per second of the service
	OldCapacity float64
	NewCapacity float64
}

// Reason says why the share is as it is.
type Reason uint8

// The reasons.
const (
	ReasonAdvance     Reason = iota // a step forward
	ReasonWait                      // not yet time, or too few answers to judge by
	ReasonCapacity                  // the new servers cannot take more
	ReasonErrors                    // back: more errors than the old version
	ReasonLate                      // back: more late first tokens than the old version
	ReasonRollingBack               // going on back
	ReasonDone                      // all traffic is on the new version, or all is back
)

// String returns the reason in lower case, for logs.
func (r Reason) String() string {
	names := [...]string{"advance", "wait", "capacity", "errors", "late", "back", "done"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Verdict is the share of the new version, with the reason.
type Verdict struct {
	Share  float64
	Reason Reason
}

// Shifter decides on shifts.
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

// Decide returns the share to use from now on and the State for the next call.
// Call it every second or so.
func (s *Shifter) Decide(state State, in Input) (State, Verdict) {
	if state.RolledBack {
		return s.rollBack(state, in, ReasonRollingBack)
	}
	if reason, regressed := s.detectRegression(state, in); regressed {
		state.RolledBack = true
		state.LastStep = time.Time{} // the first step back is at once
		return s.rollBack(state, in, reason)
	}
	return s.advance(state, in)
}

// minAnswersForRollback is the fewest answers by which a version is judged bad. The test
// allows for chance in small numbers by itself: of five answers, four must fail.
const minAnswersForRollback = 5

// detectRegression compares what the two versions answered since the last step, and also
// since the beginning, which finds a small difference that no single step shows.
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

// significantlyWorse reports whether the rate of bad answers after exceeds the one before by
// more than Tolerance and chance. One answer is added to each side's bad ones,
// as with few answers and no bad one the deviation would come out as 0.
func (s *Shifter) significantlyWorse(oldAll, oldBad, newAll, newBad int) bool {
	n, m := float64(oldAll)+2, float64(newAll)+2
	oldRate, newRate := (float64(oldBad)+1)/n, (float64(newBad)+1)/m
	stdDev := math.Sqrt(oldRate*(1-oldRate)/n + newRate*(1-newRate)/m)
	return newRate-oldRate > s.cfg.Tolerance+s.cfg.Confidence*stdDev
}

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

// rollBack takes the share down a step, no further than the old servers can take.
// They may have been stopped when the new version seemed good; sent all traffic
// at once, they would fail where the new version merely fails in part.
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

func (s *Shifter) recordStep(state State, in Input, share float64) State {
	state.Share = share
	state.LastStep = in.Now
	state.OldAtLastStep = in.Old
	state.NewAtLastStep = in.New
	return state
}

// capacityShare is the share of the rate that a capacity can take, at most 1.
func capacityShare(capacity, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	return min(capacity/rate, 1)
}

// UsesNewVersion reports whether a request goes to the new version at the given share.
// key is what related requests have in common, a hash: a conversation stays on
// one version and so with its cached prefix, and as the share grows each key
// changes over once.
func UsesNewVersion(key uint64, share float64) bool {
	key ^= key >> 33 // finalizer of MurmurHash3, in case the key is no good hash
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	key ^= key >> 33
	return float64(key>>11)/(1<<53) < share
}
