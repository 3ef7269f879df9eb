package retry

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// batchReserveFraction is the fraction of a budget that retries of class batch may not
// use, so that interactive requests can still be retried.
const batchReserveFraction = 0.5

// minWorkspaceSlack is the least slack of a workspace's budget at an entry: among hundreds of
// entries a workspace has few requests at each. It keeps one workspace from using up the budget
// of a service; the bound on what servers get is that of the service's budget.
const minWorkspaceSlack = 1

// Policy decides on retries and hedges at one entry. It is not safe for concurrent use.
type Policy struct {
	cfg        Config
	workspaces map[string]*budget
	services   map[string]*budget
	wave       wave
	servers    int
	clock      clock
	slack      trailingMin
	pauses     pauses
}

// New returns a Policy, or the *policy.ConfigError of an invalid cfg.
func New(cfg Config) (*Policy, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Policy{
		cfg:        cfg,
		workspaces: make(map[string]*budget),
		services:   make(map[string]*budget),
		wave:       wave{lastFailure: make(map[string]time.Time)},
	}, nil
}

// SetServers sets the number of backend servers, of which Config.WaveShare is a fraction.
func (p *Policy) SetServers(n int) { p.servers = n }

// SetSlack sets this entry's share of the repeats that all entries may make in a window beyond
// Config.Ratio; it is 0 at the start. The shares of all entries must sum to at most the whole
// at any moment. The smallest share of the last window counts, since a larger one was another
// entry's before, which may have used it.
func (p *Policy) SetSlack(now time.Time, attempts float64) { p.slack.set(now, attempts, p.cfg.Window) }

// Forget drops the budgets that no request has used for two windows.
func (p *Policy) Forget(now time.Time) {
	slot := p.clock.slotAt(now, p.cfg.Window)
	for _, budgets := range []map[string]*budget{p.workspaces, p.services} {
		for name, b := range budgets {
			if b.unused(slot) {
				delete(budgets, name)
			}
		}
	}
}

// Observe records that the process runs. Its owner calls it every ObserveInterval, or a little
// later, so that the policy knows when the process stood still.
func (p *Policy) Observe(now time.Time) { p.pauses.observe(now) }

// RecordFirstAttempt adds the first attempt of a request to the budgets of its workspace
// and service.
func (p *Policy) RecordFirstAttempt(now time.Time, c Call) {
	slot := p.clock.slotAt(p.pauses.earliestArrival(now), p.cfg.Window)
	p.budgetOf(p.workspaces, c.Workspace).recordFirst(slot)
	p.budgetOf(p.services, c.Service).recordFirst(slot)
}

func (p *Policy) budgetOf(budgets map[string]*budget, name string) *budget {
	b, ok := budgets[name]
	if !ok {
		b = &budget{}
		budgets[name] = b
	}
	return b
}

// ServerFailed records that a backend server failed an attempt, became unreachable or was
// reclaimed. Call it before Failed, so that Failed counts it towards a wave.
func (p *Policy) ServerFailed(now time.Time, server string) {
	p.wave.recordFailure(now, server, p.cfg.WaveWindow)
}

// InWave reports whether many backend servers have failed within Config.WaveWindow.
func (p *Policy) InWave(now time.Time) bool { return p.wave.active(now, &p.cfg, p.servers) }

// Failed decides whether a failed attempt is retried. random is uniform in [0, 1) and spreads
// the delay. It spends nothing; see Repeat.
func (p *Policy) Failed(now time.Time, f Failure, random float64) Verdict {
	if !f.Call.Idempotent && !f.NotRun {
		return Verdict{Reason: MayHaveRun}
	}
	if f.Reclaimed {
		return p.room(now, &f.Call, GoOn)
	}
	if f.Attempts >= p.cfg.MaxAttempts {
		return Verdict{Reason: TooManyAttempts}
	}
	delay := p.retryDelay(now, f.Attempts, random)
	if !f.Call.meetsDeadline(now, delay) {
		return Verdict{Reason: NoTimeLeft}
	}
	if v := p.room(now, &f.Call, Retry); !v.Go {
		return v
	}
	if delay > 0 {
		return Verdict{Go: true, Reason: RetryLater, After: delay}
	}
	return Verdict{Go: true, Reason: Retry}
}

// retryDelay returns a random fraction of the longest delay before the next attempt.
func (p *Policy) retryDelay(now time.Time, attempts int, random float64) time.Duration {
	maxDelay := time.Duration(0)
	if attempts > 1 {
		maxDelay = p.cfg.Backoff << (attempts - 2)
	}
	if p.InWave(now) {
		maxDelay = max(maxDelay, p.cfg.WaveSpread)
	}
	return time.Duration(random * float64(maxDelay))
}

// meetsDeadline reports whether an attempt that starts after delay can end by the deadline.
func (c *Call) meetsDeadline(now time.Time, delay time.Duration) bool {
	return c.Deadline.IsZero() || !now.Add(delay+c.EstimatedDuration).After(c.Deadline)
}

// Repeat spends one repeat of both budgets, or says which of them has no room for it. It is
// called right before a request is sent once more: since the decision to do so, the process may
// have stood still or waited for a connection.
func (p *Policy) Repeat(now time.Time, c Call) Verdict {
	v := p.room(now, &c, Retry)
	if v.Go {
		slot := p.clock.slotAt(now, p.cfg.Window)
		p.budgetOf(p.workspaces, c.Workspace).recordRepeat(slot)
		p.budgetOf(p.services, c.Service).recordRepeat(slot)
	}
	return v
}

// HasRoom reports whether Repeat would succeed.
func (p *Policy) HasRoom(now time.Time, c Call) bool { return p.room(now, &c, Retry).Go }

// room returns a verdict to go with the given reason if both budgets have room for a repeat,
// and else one that names the budget without.
func (p *Policy) room(now time.Time, c *Call, reason Reason) Verdict {
	reserveFraction := 0.0
	if c.Class == contract.ClassBatch {
		reserveFraction = batchReserveFraction
	}
	slot, slack := p.clock.slotAt(now, p.cfg.Window), p.slack.get(now, p.cfg.Window)
	workspaceSlack := max(slack, minWorkspaceSlack)
	if !p.budgetOf(p.workspaces, c.Workspace).allows(slot, workspaceSlack, p.cfg.Ratio, reserveFraction) {
		return Verdict{Reason: WorkspaceBudget}
	}
	if !p.budgetOf(p.services, c.Service).allows(slot, slack, p.cfg.Ratio, reserveFraction) {
		return Verdict{Reason: ServiceBudget}
	}
	return Verdict{Go: true, Reason: reason}
}

// Slow decides whether an attempt without a first token is hedged on another backend
// server; the caller uses whichever answers first. If it is too early, Verdict.After is the
// time until the next check.
func (p *Policy) Slow(now time.Time, s SlowAttempt) Verdict {
	hedgeDelay := time.Duration(p.cfg.HedgeAfter * float64(s.Usual))
	switch {
	case !s.Call.Idempotent:
		return Verdict{Reason: NotIdempotent}
	case s.Call.Class != contract.ClassInteractive:
		return Verdict{Reason: ClassNotHedged}
	case s.Hedged:
		return Verdict{Reason: AlreadyHedged}
	case s.Waited < hedgeDelay:
		return Verdict{Reason: TooEarly, After: hedgeDelay - s.Waited}
	case s.Load >= p.cfg.MaxHedgeLoad:
		return Verdict{Reason: LoadTooHigh}
	case p.InWave(now):
		return Verdict{Reason: Wave}
	case !s.Call.meetsDeadline(now, 0):
		return Verdict{Reason: NoTimeLeft}
	}
	return p.room(now, &s.Call, Hedge)
}
