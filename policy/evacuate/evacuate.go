package evacuate

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy"
)

// Config holds the thresholds of a decision. Start from DefaultConfig.
type Config struct {
	// Reserve is kept free at the end of the notice.
	Reserve time.Duration
	// Setup is the time that each export takes beside the transfer.
	Setup time.Duration
	// MaxSlowdown is how many times the time to prefill again a transfer may take.
	MaxSlowdown float64
	// FinishPart is the part of the usable notice in which a request must be
	// expected to finish to be left alone.
	FinishPart float64
}

// DefaultConfig returns the thresholds. Reserve 2 s covers the time until the
// notice is heard (the users allow leaving "a few seconds") and the last
// hand-over. MaxSlowdown 4: tokens prefilled again are paid for, while a stalled
// answer is waited for; with 0 the caller's wait alone would count. FinishPart
// 0.7: lengths of answers are guesses, and a guess that fails costs all tokens of
// the request.
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

// Request is one that runs on the server.
type Request struct {
	ID        string
	Tokens    int           // prompt and answer so far: what prefilling again would compute
	Bytes     int64         // of its KV cache
	Remaining time.Duration // expected until its last token; 0: not known
}

// Input is what a decision looks at.
type Input struct {
	Notice      time.Duration // until the server is taken away
	Bandwidth   float64       // bytes per second that this server's exports may use
	PrefillRate float64       // tokens per second where requests are prefilled again
	Requests    []Request
}

// Method is how a request leaves.
type Method uint8

// The methods.
const (
	MethodExport    Method = iota // export the KV cache, import it elsewhere, resume
	MethodRecompute               // resume elsewhere from prompt and tokens so far
	MethodFinish                  // leave it alone; recompute at Move.Start if it is still running
)

// String returns the method in lower case, for logs.
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

// Reason says why the method was chosen.
type Reason uint8

// The reasons.
const (
	ReasonSavesMost     Reason = iota // export: among the most tokens saved per second
	ReasonNoTime                      // recompute: its transfer does not fit the notice beside the others
	ReasonPrefillFaster               // recompute: the transfer would take too much longer
	ReasonEndsInTime                  // finish: expected to end well within the notice
)

// String returns the reason in lower case with underscores, for logs.
func (r Reason) String() string {
	names := [...]string{"saves_most", "no_time", "prefill_faster", "ends_in_time"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Move is what to do with one request. Start counts from the decision.
type Move struct {
	ID       string
	Method   Method
	Reason   Reason
	Start    time.Duration
	Duration time.Duration
}

// Plan lists the moves by start. Requests run on until theirs.
type Plan struct {
	Moves            []Move
	RecomputedTokens int // tokens that will be prefilled again, if estimates hold
}

// Planner decides on evacuations.
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

// Decide plans the evacuation of one server. Call it again when the notice is
// shortened or a transfer takes longer than planned.
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

type candidate struct {
	Request
	transfer time.Duration
	prefill  time.Duration
	reason   Reason
}

func (p *Planner) candidate(r Request, in Input) candidate {
	return candidate{
		Request:  r,
		transfer: p.cfg.Setup + timeToProcess(float64(r.Bytes), in.Bandwidth),
		prefill:  timeToProcess(float64(r.Tokens), in.PrefillRate),
		reason:   ReasonNoTime,
	}
}

// timeToProcess divides an amount by a rate. Without a rate it takes for ever, here an
// hour, so that sums do not overflow.
func timeToProcess(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > time.Hour.Seconds() {
		return time.Hour
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// selectExports splits the candidates into those to export, in order, and the rest.
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

// savedPerSecond is the tokens saved per second of transfer.
func (c *candidate) savedPerSecond() float64 {
	return float64(c.Tokens) / max(c.transfer.Seconds(), 1e-9)
}

// addExports puts the transfers one after another: side by side, they would share
// the bandwidth and all end late.
func (p *Plan) addExports(exports []candidate) {
	start := time.Duration(0)
	for _, c := range exports {
		p.Moves = append(p.Moves, Move{c.ID, MethodExport, ReasonSavesMost, start, c.transfer})
		start += c.transfer
	}
}

// addRecomputes spreads the others evenly over the notice, shortest first. Moved all
// at its end they would meet as one burst of prefills on the remaining servers,
// with first tokens late for everybody there.
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
