package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy"
)

var epoch = time.Unix(1_700_000_000, 0)

var chat = Call{Workspace: "w", Service: "s", Class: contract.ClassInteractive, Idempotent: true}

// newPolicy returns a policy that has recorded a number of first attempts of chat.
func newPolicy(t require.TestingT, firstAttempts int) *Policy {
	p, err := New(DefaultConfig())
	require.NoError(t, err)
	p.SetServers(20)
	for range firstAttempts {
		p.RecordFirstAttempt(epoch, chat)
	}
	return p
}

// Guards against a configuration error that does not name the field at fault.
func TestConfigValidateNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Ratio":        func(c *Config) { c.Ratio = 0 },
		"MinBudget":    func(c *Config) { c.MinBudget = 0 },
		"Start":        func(c *Config) { c.Start = -1 },
		"Window":       func(c *Config) { c.Window = 0 },
		"MaxAttempts":  func(c *Config) { c.MaxAttempts = 0 },
		"Backoff":      func(c *Config) { c.Backoff = -1 },
		"WaveServers":  func(c *Config) { c.WaveServers = 0 },
		"WaveShare":    func(c *Config) { c.WaveShare = 2 },
		"WaveWindow":   func(c *Config) { c.WaveWindow = 0 },
		"WaveSpread":   func(c *Config) { c.WaveSpread = -1 },
		"HedgeAfter":   func(c *Config) { c.HedgeAfter = 0 },
		"MaxHedgeLoad": func(c *Config) { c.MaxHedgeLoad = 2 },
	} {
		cfg := DefaultConfig()
		invalidate(&cfg)
		_, err := New(cfg)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
}

// Guards against a retry of a request that is not idempotent and may have run, for example a
// payment that is then made twice.
func TestNonIdempotentAttemptIsNotRetried(t *testing.T) {
	p := newPolicy(t, 100)
	payment := chat
	payment.Idempotent = false
	assert.Equal(t, Verdict{Reason: MayHaveRun}, p.Failed(epoch, Failure{Call: payment, Attempts: 1, Reclaimed: true}, 0))
	assert.True(t, p.Failed(epoch, Failure{Call: payment, Attempts: 1, NotRun: true}, 0).Go)
	assert.Equal(t, NotIdempotent, p.Slow(epoch, SlowAttempt{Call: payment, Waited: time.Hour}).Reason)
}

// A service is down and every attempt fails. Guards against retries that add more than a tenth
// to its load.
func TestRetriesStayWithinRatio(t *testing.T) {
	p := newPolicy(t, 0)
	retries := 0
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		p.RecordFirstAttempt(now, chat)
		for attempts := 1; p.Failed(now, Failure{Call: chat, Attempts: attempts, NotRun: true}, 0).Go; attempts++ {
			retries++
		}
	}
	assert.InDelta(t, 1_000, retries, 1)
}

// Guards against an empty budget for a workspace's first request at an entry: its caller would
// see one server's error although another server is available.
func TestStartAllowsRetryOfFirstRequest(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Start = 1
	p, err := New(cfg)
	require.NoError(t, err)
	p.RecordFirstAttempt(epoch, chat)
	require.True(t, p.Failed(epoch, Failure{Call: chat, Attempts: 1}, 0).Go)
	require.False(t, p.Failed(epoch, Failure{Call: chat, Attempts: 1}, 0).Go, "only once")
	p.SetMinBudget(0.5)
	other := chat
	other.Workspace, other.Service = "w2", "s2"
	p.RecordFirstAttempt(epoch, other)
	require.False(t, p.Failed(epoch, Failure{Call: other, Attempts: 1}, 0).Go, "MinBudget bounds Start")
}

// Guards against a quiet workspace that saves up a budget over a week, which would pay for a
// storm of retries when its service fails.
func TestBudgetIsBounded(t *testing.T) {
	p := newPolicy(t, 0)
	for i := range 10_000 {
		p.RecordFirstAttempt(epoch.Add(time.Duration(i)*time.Minute), chat)
	}
	now := epoch.Add(10_000 * time.Minute)
	retries := 0
	for p.Failed(now, Failure{Call: chat, Attempts: 1, NotRun: true}, 0).Go {
		retries++
	}
	assert.Equal(t, 10, retries)
}

// All requests of one workspace fail. Guards against retries that use up the budget of another
// workspace, or of another service.
func TestBudgetsAreSeparateByWorkspaceAndService(t *testing.T) {
	p := newPolicy(t, 50)
	other := chat
	other.Workspace = "v"
	for range 50 {
		p.RecordFirstAttempt(epoch, other)
	}
	fail := func(c Call) Verdict { return p.Failed(epoch, Failure{Call: c, Attempts: 1, NotRun: true}, 0) }
	for range 5 {
		assert.True(t, fail(chat).Go)
	}
	assert.Equal(t, WorkspaceBudget, fail(chat).Reason)
	assert.True(t, fail(other).Go)
	third := chat
	third.Service, third.Workspace = "t", "v"
	assert.Equal(t, ServiceBudget, fail(third).Reason, "the service had no first attempt")
}

// Three of twenty servers fail at once, as when a zone is reclaimed. Guards against retrying
// all their requests at the same instant.
func TestRetriesInWaveAreSpread(t *testing.T) {
	p := newPolicy(t, 1_000)
	f := Failure{Call: chat, Attempts: 1, NotRun: true}
	assert.Equal(t, Verdict{Go: true, Reason: Retry}, p.Failed(epoch, f, 0.5))
	p.ServerFailed(epoch, "a")
	assert.False(t, p.InWave(epoch), "one server is not a wave")
	for _, server := range []string{"b", "c"} {
		p.ServerFailed(epoch, server)
	}
	assert.Equal(t, Verdict{Go: true, Reason: RetryLater, After: 500 * time.Millisecond}, p.Failed(epoch, f, 0.5))
	assert.Equal(t, Wave, p.Slow(epoch, SlowAttempt{Call: chat, Waited: time.Second}).Reason)
	f.Call.Deadline, f.Call.EstimatedDuration = epoch.Add(time.Second), 600*time.Millisecond
	assert.Equal(t, NoTimeLeft, p.Failed(epoch, f, 0.5).Reason)
	f.Reclaimed = true
	assert.Equal(t, Verdict{Go: true, Reason: GoOn}, p.Failed(epoch, f, 0.5), "a reclaimed request continues")
	assert.False(t, p.InWave(epoch.Add(5*time.Second)))
}

// Guards against a request that is retried without bound or without a delay.
func TestMaxAttemptsAndBackoff(t *testing.T) {
	p := newPolicy(t, 1_000)
	f := Failure{Call: chat, Attempts: 2, NotRun: true}
	assert.Equal(t, Verdict{Go: true, Reason: RetryLater, After: 50 * time.Millisecond}, p.Failed(epoch, f, 0.5))
	f.Attempts = 3
	assert.Equal(t, TooManyAttempts, p.Failed(epoch, f, 0.5).Reason)
}

// Guards against batch retries that leave no budget for those of interactive requests.
func TestBatchRetriesLeaveHalfTheBudget(t *testing.T) {
	p := newPolicy(t, 100)
	batch := Failure{Call: chat, Attempts: 1, NotRun: true}
	batch.Call.Class = contract.ClassBatch
	retries := 0
	for p.Failed(epoch, batch, 0).Go {
		retries++
	}
	assert.Equal(t, 5, retries)
	for range 5 {
		assert.True(t, p.Failed(epoch, Failure{Call: chat, Attempts: 1, NotRun: true}, 0).Go)
	}
	assert.Equal(t, WorkspaceBudget, p.Failed(epoch, Failure{Call: chat, Attempts: 1, NotRun: true}, 0).Reason)
}

// Guards against a slow attempt that is not hedged, and against hedges that must not start: of
// batch requests, too early, twice, past the deadline, or under load, where they would slow
// other servers too.
func TestHedgeConditions(t *testing.T) {
	p := newPolicy(t, 100)
	s := SlowAttempt{Call: chat, Waited: time.Second, Usual: 400 * time.Millisecond, Load: 0.5}
	assert.Equal(t, Verdict{Go: true, Reason: Hedge}, p.Slow(epoch, s))
	for reason, change := range map[Reason]func(*SlowAttempt){
		ClassNotHedged: func(s *SlowAttempt) { s.Call.Class = contract.ClassBatch },
		AlreadyHedged:  func(s *SlowAttempt) { s.Hedged = true },
		TooEarly:       func(s *SlowAttempt) { s.Waited = 700 * time.Millisecond },
		LoadTooHigh:    func(s *SlowAttempt) { s.Load = 0.7 },
		NoTimeLeft:     func(s *SlowAttempt) { s.Call.Deadline = epoch.Add(-time.Second) },
	} {
		changed := s
		change(&changed)
		v := p.Slow(epoch, changed)
		assert.Equal(t, reason, v.Reason)
		assert.False(t, v.Go)
	}
	assert.Equal(t, "load_too_high", LoadTooHigh.String())
}

// Guards against retries and hedges of a workspace or service that exceed a tenth of its first
// attempts, and against a verdict that depends on more than the arguments.
func TestPropertyRetriesAndHedgesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newPolicy(t, 0), newPolicy(t, 0)
		firsts, repeated := map[string]int{}, map[string]int{}
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			c := Call{
				Workspace:  rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"),
				Service:    rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Class:      rapid.SampledFrom([]contract.Class{contract.ClassInteractive, contract.ClassBatch}).Draw(t, "class"),
				Idempotent: true,
			}
			var v, w Verdict
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				a.ServerFailed(now, server)
				b.ServerFailed(now, server)
				f := Failure{Call: c, Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), NotRun: true}
				random := rapid.Float64Range(0, 0.999).Draw(t, "random")
				v, w = a.Failed(now, f, random), b.Failed(now, f, random)
			case 1:
				v, w = a.Slow(now, SlowAttempt{Call: c}), b.Slow(now, SlowAttempt{Call: c})
			default:
				a.RecordFirstAttempt(now, c)
				b.RecordFirstAttempt(now, c)
				firsts[c.Workspace]++
				firsts[c.Service]++
			}
			if v != w {
				t.Fatalf("verdicts differ: %+v and %+v", v, w)
			}
			if v.Go {
				repeated[c.Workspace]++
				repeated[c.Service]++
			}
			for name, n := range repeated {
				if float64(n) > 0.1*float64(firsts[name])+1e-6 {
					t.Fatalf("%s: %d retries and hedges of %d first attempts", name, n, firsts[name])
				}
			}
		}
	})
}

func BenchmarkFailed(b *testing.B) {
	p := newPolicy(b, 100)
	f := Failure{Call: chat, Attempts: 1, NotRun: true}
	b.ReportAllocs()
	for b.Loop() {
		p.Failed(epoch, f, 0)
	}
}

// Guards against allocations on the path of every request.
func TestDecisionsDoNotAllocate(t *testing.T) {
	p := newPolicy(t, 100)
	f := Failure{Call: chat, Attempts: 1, NotRun: true}
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		p.RecordFirstAttempt(epoch, chat)
		p.Failed(epoch, f, 0)
	}))
}

// The entries that share a budget become ten times as many. Guards against each of them keeping
// what it has saved up: together they would retry too much when servers fail.
func TestLowerMinBudgetDropsSavings(t *testing.T) {
	repeats := func(budget float64) (n int) {
		cfg := DefaultConfig()
		p, err := New(cfg)
		require.NoError(t, err)
		now := time.Unix(0, 0)
		call := Call{Service: "web", Idempotent: true}
		for range 500 {
			p.RecordFirstAttempt(now, call)
		}
		p.SetMinBudget(budget)
		now = now.Add(time.Hour) // the count of first attempts has decayed
		for p.Failed(now, Failure{Call: call, Attempts: 1}, 0).Go {
			n++
		}
		return n
	}
	require.Equal(t, 10, repeats(10))
	require.Equal(t, 1, repeats(1))
}
