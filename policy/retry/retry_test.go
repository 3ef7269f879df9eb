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

// spend decides on a failure and spends the budgets if it is retried.
func spend(p *Policy, now time.Time, f Failure) bool {
	return p.Failed(now, f, 0).Go && p.Repeat(now, f.Call).Go
}

// Guards against a configuration error that does not name the field at fault.
func TestConfigValidateNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Ratio":        func(c *Config) { c.Ratio = 0 },
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
// to its load, and against a budget that leaves much of that tenth unused.
func TestRetriesStayWithinRatio(t *testing.T) {
	p := newPolicy(t, 0)
	retries := 0
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		p.RecordFirstAttempt(now, chat)
		for attempts := 1; spend(p, now, Failure{Call: chat, Attempts: attempts, NotRun: true}); attempts++ {
			retries++
		}
	}
	assert.LessOrEqual(t, retries, 1_000)
	assert.Greater(t, retries, 900)
}

// Guards against an entry with few requests of a workspace that may retry none of them: its
// caller would see one server's error although another server is available.
func TestSlackAllowsRetryOfFirstRequest(t *testing.T) {
	p := newPolicy(t, 0)
	p.SetSlack(epoch, 1)
	now := epoch.Add(p.cfg.Window + time.Second)
	p.RecordFirstAttempt(now, chat)
	require.True(t, spend(p, now, Failure{Call: chat, Attempts: 1}))
	require.False(t, spend(p, now, Failure{Call: chat, Attempts: 1}), "only once")
	now = now.Add(p.cfg.Window + time.Second)
	require.True(t, spend(p, now, Failure{Call: chat, Attempts: 1}), "once in a window")
}

// Guards against a quiet workspace that saves up a budget over a week, which would pay for a
// storm of retries when its service fails.
func TestBudgetIsBounded(t *testing.T) {
	p := newPolicy(t, 0)
	p.SetSlack(epoch, 10)
	for i := range 10_000 {
		p.RecordFirstAttempt(epoch.Add(time.Duration(i)*time.Minute), chat)
	}
	now := epoch.Add(10_000 * time.Minute)
	retries := 0
	for spend(p, now, Failure{Call: chat, Attempts: 1, NotRun: true}) {
		retries++
	}
	assert.Equal(t, 10, retries)
}

// All requests of one workspace fail. Guards against retries that use up the budget of another
// workspace, or of another service.
func TestBudgetsAreSeparateByWorkspaceAndService(t *testing.T) {
	p := newPolicy(t, 100)
	other := chat
	other.Workspace = "v"
	for range 100 {
		p.RecordFirstAttempt(epoch, other)
	}
	fail := func(c Call) Verdict {
		v := p.Failed(epoch, Failure{Call: c, Attempts: 1, NotRun: true}, 0)
		if v.Go {
			require.True(t, p.Repeat(epoch, c).Go)
		}
		return v
	}
	for range 5 + minWorkspaceSlack {
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
	p := newPolicy(t, 200)
	batch := Failure{Call: chat, Attempts: 1, NotRun: true}
	batch.Call.Class = contract.ClassBatch
	retries := 0
	for spend(p, epoch, batch) {
		retries++
	}
	assert.Equal(t, 5, retries)
	for range 5 {
		assert.True(t, spend(p, epoch, Failure{Call: chat, Attempts: 1, NotRun: true}))
	}
	assert.Equal(t, ServiceBudget, p.Failed(epoch, Failure{Call: chat, Attempts: 1, NotRun: true}, 0).Reason)
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

// Guards against retries and hedges of a service that exceed a tenth of its first attempts, of a
// workspace that exceed that and one in each window, and against a verdict that depends on more than the arguments.
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
			if v.Go && a.Repeat(now, c).Go && b.Repeat(now, c).Go {
				repeated[c.Workspace]++
				repeated[c.Service]++
			}
			windows := 1 + int(now.Sub(epoch)/a.cfg.Window)
			allowance := map[string]int{"v": windows * minWorkspaceSlack, "w": windows * minWorkspaceSlack}
			for name, n := range repeated {
				if float64(n) > 0.1*float64(firsts[name])+float64(allowance[name])+1e-6 {
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
		p.Repeat(epoch, chat)
	}))
}

// Guards against an entry that uses a share of the slack that another one may have used within the
// same window: after a start, after another entry has left, and after it had none for a while.
func TestSmallestShareOfTheWindowCounts(t *testing.T) {
	p := newPolicy(t, 0)
	now := epoch
	repeats := func() (n int) {
		for spend(p, now, Failure{Call: chat, Attempts: 1}) {
			n++
		}
		return n
	}
	wait := func(d time.Duration) { now = now.Add(d) }
	p.SetSlack(now, 4)
	wait(p.cfg.Window - time.Second)
	require.Zero(t, repeats(), "a window has not passed since the start")
	wait(2 * time.Second)
	require.Equal(t, 4, repeats())
	p.SetSlack(now, 10)
	wait(p.cfg.Window + time.Second)
	require.Equal(t, 10, repeats(), "the larger share has held for a window")
	wait(2 * p.cfg.Window)
	p.SetSlack(now, 0)
	p.SetSlack(now.Add(time.Second), 10)
	wait(2 * time.Second)
	require.Zero(t, repeats())
	wait(p.cfg.Window)
	require.Equal(t, 10, repeats())
}

// Guards against a record of each workspace that was ever known, and against one that is dropped
// while its repeats count.
func TestForgetDropsUnusedBudgets(t *testing.T) {
	p := newPolicy(t, 100)
	for spend(p, epoch, Failure{Call: chat, Attempts: 1}) {
	}
	p.Forget(epoch.Add(p.cfg.Window))
	require.Len(t, p.workspaces, 1)
	require.False(t, p.Repeat(epoch.Add(p.cfg.Window/2), chat).Go)
	p.Forget(epoch.Add(3 * p.cfg.Window))
	require.Empty(t, p.workspaces)
	require.Empty(t, p.services)
}
