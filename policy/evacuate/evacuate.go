package evacuate

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the parameters of a Planner. DefaultConfig returns the usual ones.
type Config struct {
	// Reserve is the time at the end of the notice that the plan leaves unused.
	Reserve time.Duration
	// Setup is the fixed time of an export, added to its transfer time.
	Setup time.Duration
	// MaxSlowdown bounds the transfer time of an export, as a multiple of the time to
	// prefill the request again.
	MaxSlowdown float64
	// FinishPart is the fraction of the usable notice within which a request must be
	// expected to finish to be left running.
	FinishPart float64
}

// DefaultConfig returns the default parameters.
//
// Reserve covers the time until the notice is received and the last hand-over. MaxSlowdown
// is above 1 since tokens that are prefilled again are paid for, while a stalled answer is
// only waited for. FinishPart is below 1 since lengths of answers are guesses, and a wrong
// one costs all tokens of the request.
func DefaultConfig() Config {
	return Config{
		Reserve:     2 * time.Second,
		Setup:       20 * time.Millisecond,
		MaxSlowdown: 4,
		FinishPart:  0.7,
	}
}

// Validate returns a *policy.ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	return policy.Check("evacuate",
		policy.Require("Reserve", c.Reserve >= 0, "at least 0"),
		policy.Require("Setup", c.Setup >= 0, "at least 0"),
		policy.Require("MaxSlowdown", c.MaxSlowdown > 0, "above 0"),
		policy.Require("FinishPart", c.FinishPart >= 0 && c.FinishPart <= 1, "in [0, 1]"),
	)
}

// Request is a request that runs on the server.
type Request struct {
	ID        string
	Tokens    int           // of the prompt and the answer so far: recomputing prefills them again
	Bytes     int64         // size of the KV cache
	Remaining time.Duration // expected time until the last token; 0 if unknown
}

// Input holds the inputs of Decide.
type Input struct {
	Notice      time.Duration // time until the server is reclaimed
	Bandwidth   float64       // bytes per second available to this server's exports
	PrefillRate float64       // tokens per second of the servers that recompute
	Requests    []Request
}

// Method is how a request leaves the server.
type Method uint8

const (
	MethodExport    Method = iota // export the KV cache, import it on another server and resume there
	MethodRecompute               // resume on another server by prefilling the prompt and the answer so far
	MethodFinish                  // let it finish; recompute at Move.Start if it is still running
)

// String returns the method as it appears in logs.
func (m Method) String() string {
	switch m {
	case MethodExport:
		return "export"
	case MethodRecompute:
		return "recompute"
	case MethodFinish:
		return "finish"
	default:
		return "unknown"
	}
}

// Reason explains the method of a Move.
type Reason uint8

const (
	ReasonSavesMost     Reason = iota // export: saves the most tokens per second, or the most tokens alone
	ReasonNoTime                      // recompute: the transfer does not fit the notice after the other exports
	ReasonPrefillFaster               // recompute: the transfer exceeds MaxSlowdown
	ReasonEndsInTime                  // finish: expected to end within FinishPart of the usable notice
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	names := [...]string{"saves_most", "no_time", "prefill_faster", "ends_in_time"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Move is the planned move of one request.
type Move struct {
	ID       string
	Method   Method
	Reason   Reason
	Start    time.Duration // counted from the decision
	Duration time.Duration // time of the transfer or of prefilling again
}

// Plan lists the moves in order of Start. A request runs on the server until its move
// starts.
type Plan struct {
	Moves            []Move
	RecomputedTokens int // tokens that will be prefilled again if the estimates hold
}

// Planner plans evacuations. It is safe for concurrent use.
type Planner struct {
	cfg Config
}

// New returns a Planner. The error is a *policy.ConfigError.
func New(cfg Config) (*Planner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Planner{cfg: cfg}, nil
}

// Decide plans the evacuation of one server. Call it again when the notice is shortened or
// a transfer takes longer than planned.
func (p *Planner) Decide(in Input) Plan {
	usable := max(in.Notice-p.cfg.Reserve, 0)
	var plan Plan
	var exports, recomputes []candidate
	for _, r := range in.Requests {
		c := p.candidate(r, in)
		switch {
		case r.Remaining > 0 && r.Remaining.Seconds() <= p.cfg.FinishPart*usable.Seconds():
			plan.Moves = append(plan.Moves, Move{r.ID, MethodFinish, ReasonEndsInTime, usable, c.prefill})
		case c.transfer.Seconds() > p.cfg.MaxSlowdown*c.prefill.Seconds():
			c.reason = ReasonPrefillFaster
			recomputes = append(recomputes, c)
		default:
			exports = append(exports, c)
		}
	}
	exports, rest := selectExports(exports, usable)
	recomputes = append(recomputes, rest...)
	plan.addExports(exports)
	plan.addRecomputes(recomputes, usable)
	slices.SortStableFunc(plan.Moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return plan
}

// candidate is a request with its estimated costs.
type candidate struct {
	Request
	transfer time.Duration
	prefill  time.Duration
	reason   Reason // used if the request is recomputed
}

func (p *Planner) candidate(r Request, in Input) candidate {
	return candidate{
		Request:  r,
		transfer: p.cfg.Setup + timeToProcess(float64(r.Bytes), in.Bandwidth),
		prefill:  timeToProcess(float64(r.Tokens), in.PrefillRate),
		reason:   ReasonNoTime,
	}
}

// timeToProcess returns how long an amount takes at a rate per second. It is limited to an
// hour, also for a rate of 0, so that sums do not overflow.
func timeToProcess(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// selectExports splits the candidates into those to export, in order, and the rest. It
// sorts candidates.
func selectExports(candidates []candidate, usable time.Duration) (exports, rest []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.savedPerSecond(), b.savedPerSecond()), cmp.Compare(a.ID, b.ID))
	})
	largest, savedTokens := -1, 0
	transferTotal := time.Duration(0)
	for i, c := range candidates {
		if c.transfer <= usable && (largest < 0 || c.Tokens > candidates[largest].Tokens) {
			largest = i
		}
		if transferTotal+c.transfer > usable {
			rest = append(rest, c)
			continue
		}
		transferTotal += c.transfer
		savedTokens += c.Tokens
		exports = append(exports, c)
	}
	if largest < 0 || candidates[largest].Tokens <= savedTokens {
		return exports, rest
	}
	return candidates[largest : largest+1 : largest+1], slices.Concat(candidates[:largest], candidates[largest+1:])
}

// savedPerSecond returns the tokens saved per second of transfer.
func (c *candidate) savedPerSecond() float64 {
	return float64(c.Tokens) / max(c.transfer.Seconds(), 1e-9)
}

// addExports schedules the transfers one after another. Concurrent transfers would share
// the bandwidth, and all of them would complete late.
func (p *Plan) addExports(exports []candidate) {
	start := time.Duration(0)
	for _, c := range exports {
		p.Moves = append(p.Moves, Move{c.ID, MethodExport, ReasonSavesMost, start, c.transfer})
		start += c.transfer
	}
}

// addRecomputes spreads the other requests evenly over the notice, shortest first. Moved
// together they would cause a burst of prefills on the remaining servers that delays every
// first token there.
func (p *Plan) addRecomputes(candidates []candidate, usable time.Duration) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	for i, c := range candidates {
		start := usable * time.Duration(i) / time.Duration(len(candidates))
		p.Moves = append(p.Moves, Move{c.ID, MethodRecompute, c.reason, start, c.prefill})
		p.RecomputedTokens += c.Tokens
	}
}
