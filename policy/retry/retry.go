package retry

import (
	"time"

	"savoryreel.example/savoryreel/contract"
)

// batchReserveFraction is the fraction of a budget that retries of class batch may not
// use, so that interactive requests can still be retried.
const batchReserveFraction = 0.5

// Policy decides on retries and hedges at one entry. It is not safe for concurrent use.
type Policy struct {
	cfg        Config
	workspaces map[string]*budget
	services   map[string]*budget
	wave       wave
	servers    int
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

// ForgetWorkspace drops the budget of a workspace that was removed from the catalogue.
func (p *Policy) ForgetWorkspace(name string) { delete(p.workspaces, name) }

// ForgetService drops the budget of a service that was removed from the catalogue.
func (p *Policy) ForgetService(name string) { delete(p.services, name) }

// SetMinBudget changes Config.MinBudget, for example when the number of entries that share
// a budget changes. Attempts saved up beyond the new bound are lost.
func (p *Policy) SetMinBudget(attempts float64) { p.cfg.MinBudget = attempts }

// RecordFirstAttempt adds the first attempt of a request to the budgets of its workspace
// and service.
func (p *Policy) RecordFirstAttempt(now time.Time, c Call) {
	p.budgetOf(p.workspaces, c.Workspace).recordFirst(now, &p.cfg)
	p.budgetOf(p.services, c.Service).recordFirst(now, &p.cfg)
}

func (p *Policy) budgetOf(budgets map[string]*budget, name string) *budget {
	b, ok := budgets[name]
	if !ok {
		b = &budget{available: min(p.cfg.Start, p.cfg.MinBudget)}
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

// Failed decides whether a failed attempt is retried, and spends the budgets if so. random
// is uniform in [0, 1) and spreads the delay.
func (p *Policy) Failed(now time.Time, f Failure, random float64) Verdict {
	if !f.Call.Idempotent && !f.NotRun {
		return Verdict{Reason: MayHaveRun}
	}
	if f.Reclaimed {
		return Verdict{Go: true, Reason: GoOn}
	}
	if f.Attempts >= p.cfg.MaxAttempts {
		return Verdict{Reason: TooManyAttempts}
	}
	delay := p.retryDelay(now, f.Attempts, random)
	if !f.Call.meetsDeadline(now, delay) {
		return Verdict{Reason: NoTimeLeft}
	}
	reserveFraction := 0.0
	if f.Call.Class == contract.ClassBatch {
		reserveFraction = batchReserveFraction
	}
	if reason, ok := p.spend(now, f.Call, reserveFraction); !ok {
		return Verdict{Reason: reason}
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

// spend takes one attempt from both budgets, or returns the reason if one of them does not
// allow it.
func (p *Policy) spend(now time.Time, c Call, reserveFraction float64) (Reason, bool) {
	workspace := p.budgetOf(p.workspaces, c.Workspace)
	service := p.budgetOf(p.services, c.Service)
	if !workspace.allows(now, &p.cfg, reserveFraction) {
		return WorkspaceBudget, false
	}
	if !service.allows(now, &p.cfg, reserveFraction) {
		return ServiceBudget, false
	}
	workspace.available--
	service.available--
	return Retry, true
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
	if reason, ok := p.spend(now, s.Call, 0); !ok {
		return Verdict{Reason: reason}
	}
	return Verdict{Go: true, Reason: Hedge}
}
