package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy"
	"savoryreel.example/savoryreel/policy/queue"
)

func newAdmitter(t *testing.T) *Admitter {
	t.Helper()
	a, err := New(DefaultConfig())
	require.NoError(t, err)
	return a
}

// Guards against an invalid configuration being accepted, or reported with the
// wrong field.
func TestConfigValidateReportsInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Window":              func(c *Config) { c.Window = 0 },
		"Memory":              func(c *Config) { c.Memory = 0 },
		"MaxWait.Interactive": func(c *Config) { c.MaxWait.Interactive = 0 },
		"MaxWait.Standard":    func(c *Config) { c.MaxWait.Standard = 0 },
		"MaxWait.Batch":       func(c *Config) { c.MaxWait.Batch = 0 },
		"Standing":            func(c *Config) { c.Standing = 0 },
		"Burst":               func(c *Config) { c.Burst = 0.5 },
		"MinRetryAfter":       func(c *Config) { c.MinRetryAfter = 0 },
		"MaxRetryAfter":       func(c *Config) { c.MaxRetryAfter = 0 },
		"Jitter":              func(c *Config) { c.Jitter = 2 },
	} {
		cfg := DefaultConfig()
		invalidate(&cfg)
		_, err := New(cfg)
		var fieldErr *policy.ConfigError
		require.ErrorAs(t, err, &fieldErr, field)
		assert.Equal(t, field, fieldErr.Field)
	}
}

// estimateWithWait returns an Estimate with the given mean wait.
func estimateWithWait(wait time.Duration) Estimate {
	return Estimate{
		Wait: wait, WaitP95: 2 * wait, FirstToken: 200 * time.Millisecond, TokenInterval: 20 * time.Millisecond, Rate: 1_000, Known: true,
	}
}

// Guards against admitting requests above capacity that end after their
// deadline: servers do the work and callers get no answer within it.
//
// Fails if the check of late in checkWait is removed.
func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	a := newAdmitter(t)
	r := Request{Workspace: "w", Class: contract.ClassStandard, Cost: 400, AnswerTokens: 100, Deadline: at(5 * time.Second)}
	r.Estimate = estimateWithWait(2 * time.Second)
	assert.True(t, a.Decide(at(0), r, 0).Admit, "2 + 0.2 + 100 x 0.02 s")
	r.Estimate = estimateWithWait(4 * time.Second)
	v := a.Decide(at(0), r, 0)
	assert.Equal(t, DeadlineTooNear, v.Reason)
	assert.Equal(t, 2*time.Second, v.RetryAfter, "1.2 s late")
	r.Estimate.Known = false
	assert.True(t, a.Decide(at(0), r, 0).Admit, "drain rate unknown")
	assert.Equal(t, DeadlinePassed, a.Decide(at(5*time.Second), r, 0).Reason)
	r = Request{Workspace: "w", Class: contract.ClassStandard, Estimate: estimateWithWait(31 * time.Second)}
	assert.Equal(t, WaitTooLong, a.Decide(at(0), r, 0).Reason)
	r.Class = contract.ClassBatch
	assert.True(t, a.Decide(at(0), r, 0).Admit)
}

// Guards against refusing a short burst, whose callers would wait as long
// after a retry, and against admitting requests that miss their first-token
// target during sustained load above capacity.
//
// Fails if the check of cfg.Standing in excessWait is removed.
func TestShortBurstIsAdmittedAndStandingQueueRefuses(t *testing.T) {
	a := newAdmitter(t)
	r := Request{Workspace: "w", Class: contract.ClassInteractive, FirstTokenTarget: 720 * time.Millisecond, Estimate: estimateWithWait(2 * time.Second)}
	assert.True(t, a.Decide(at(0), r, 0).Admit, "short burst")
	assert.True(t, a.Decide(at(1900*time.Millisecond), r, 0).Admit)
	assert.Equal(t, TargetMissed, a.Decide(at(2*time.Second), r, 0).Reason, "standing queue")
	r.Estimate = estimateWithWait(250 * time.Millisecond)
	assert.True(t, a.Decide(at(3*time.Second), r, 0).Admit, "meets its target")
	r.Estimate.Held = true
	assert.Equal(t, TargetMissed, a.Decide(at(3*time.Second), r, 0).Reason, "held: start time unknown")
	r.Estimate = estimateWithWait(0)
	assert.True(t, a.Decide(at(4*time.Second), r, 0).Admit)
	r.Estimate = estimateWithWait(2 * time.Second)
	assert.False(t, a.Decide(at(4500*time.Millisecond), r, 0).Admit, "one free slot does not end the standing queue")
	assert.True(t, a.Decide(at(7*time.Second), r, 0).Admit, "two seconds without a long wait end it")
}

// Guards against giving all refused callers the same RetryAfter: they would
// retry together and be refused together.
//
// Fails if the call of retries.drainTime in refuseForLoad is removed.
func TestRetryAfterSpreadsRefusedCallersOverDrainTime(t *testing.T) {
	a := newAdmitter(t)
	r := Request{Workspace: "w", Class: contract.ClassStandard, Cost: 50, Estimate: estimateWithWait(35 * time.Second)}
	counts := map[time.Duration]int{}
	for i := range 400 {
		v := a.Decide(at(time.Duration(i)*time.Millisecond), r, 0)
		require.False(t, v.Admit)
		counts[v.RetryAfter]++
	}
	// 400 requests of 50 tokens are 20 s of work at 1,000 tokens per second,
	// in addition to the 5 s by which the wait is too long.
	assert.GreaterOrEqual(t, len(counts), 18)
	for after, n := range counts {
		assert.LessOrEqual(t, n, 22, "%v", after)
	}
}

// Guards against a RetryAfter out of its bounds or without jitter.
func TestRetryAfterIsBoundedAndJittered(t *testing.T) {
	a := newAdmitter(t)
	assert.Equal(t, time.Second, a.retryAfter(0, 0))
	assert.Equal(t, 2*time.Second, a.retryAfter(0, 0.999))
	assert.Equal(t, 10*time.Second, a.retryAfter(10*time.Second, 0))
	assert.Equal(t, 15*time.Second, a.retryAfter(10*time.Second, 0.999))
	assert.Equal(t, time.Minute, a.retryAfter(time.Hour, 0.999))
}

// newLeasedAdmitter returns an Admitter that holds a lease of the whole
// limits.
func newLeasedAdmitter(t *testing.T, limits contract.Limits) *Admitter {
	t.Helper()
	a := newAdmitter(t)
	a.SetLimits(at(0), "w", limits)
	a.Apply(at(0), at(0), Lease{Workspace: "w", Term: 1, Number: 1, Grant: amountOf(limits), TTL: time.Hour, FloorTTL: time.Hour})
	return a
}

// Guards against a limit that is not enforced, or whose refusal gives the
// wrong reason or RetryAfter.
func TestEachLimitIsEnforced(t *testing.T) {
	r := Request{Workspace: "w", Class: contract.ClassStandard, Cost: 100}
	now := at(time.Second)

	a := newLeasedAdmitter(t, contract.Limits{Concurrency: 2})
	assert.True(t, a.Decide(now, r, 0).Admit)
	assert.True(t, a.Decide(now, r, 0).Admit)
	v := a.Decide(now, r, 0)
	assert.Equal(t, ConcurrencyLimit, v.Reason)
	assert.True(t, v.Reason.IsLimit())
	a.Done(now, "w", 100, 100)
	assert.True(t, a.Decide(now, r, 0).Admit)

	a = newLeasedAdmitter(t, contract.Limits{RequestsPerSecond: 3})
	for range 3 {
		assert.True(t, a.Decide(now, r, 0).Admit)
	}
	assert.Equal(t, Verdict{Reason: RequestRateLimit, RetryAfter: time.Second}, a.Decide(now, r, 0))

	a = newLeasedAdmitter(t, contract.Limits{TokensPerSecond: 50})
	assert.True(t, a.Decide(now, r, 0).Admit, "a request may exceed the burst")
	a.Done(now, "w", 100, 250)
	v = a.Decide(now, r, 0)
	assert.Equal(t, TokenRateLimit, v.Reason)
	assert.Equal(t, 4*time.Second, v.RetryAfter, "200 tokens of debt")
	a.SetLimits(now, "w", contract.Limits{})
	assert.True(t, a.Decide(now, r, 0).Admit)

	a = newAdmitter(t)
	a.SetLimits(now, "w", contract.Limits{Concurrency: 1})
	assert.Equal(t, NoLease, a.Decide(now, r, 0).Reason)
	assert.Equal(t, "no_lease", NoLease.String())
}

// Guards against a reordered reply restoring an older lease: the entry would
// use what the leader has since granted to another one.
//
// Fails if the call of newer in Apply is removed.
func TestOlderLeaseIsIgnored(t *testing.T) {
	a := newAdmitter(t)
	a.SetLimits(at(0), "w", contract.Limits{Concurrency: 10})
	lease := func(number uint64, n int) Lease {
		return Lease{Workspace: "w", Term: 2, Number: number, Grant: Amount{Concurrency: n}, TTL: time.Minute}
	}
	a.Apply(at(0), at(0), lease(2, 1))
	a.Apply(at(0), at(0), lease(1, 9))
	assert.Equal(t, 1, a.Demands(at(0), 2)[0].Held.Concurrency)
	assert.EqualValues(t, 2, a.Demands(at(0), 2)[0].Applied)
	assert.EqualValues(t, 0, a.Demands(at(0), 3)[0].Applied, "the newest lease is of another term")
}

// busyDrain returns a DrainEstimator of an entry without a free slot, where a
// request of 50 tokens ends every 10 ms.
func busyDrain(from, duration time.Duration) *DrainEstimator {
	d := NewDrainEstimator(2 * time.Second)
	d.SetFull(at(from), true)
	for now := from; now <= from+duration; now += 10 * time.Millisecond {
		d.ObserveEnd(at(now), 50)
		d.SetFull(at(now), true)
	}
	return d
}

// Guards against deriving the drain rate from idle time: requests at the start
// of a surge would be refused while servers are idle.
//
// Fails if the check of full in decayedSums is removed.
func TestDrainRateCountsOnlyTimeWithoutFreeSlots(t *testing.T) {
	d := NewDrainEstimator(2 * time.Second)
	for i := range 100 {
		d.ObserveEnd(at(time.Duration(i)*time.Minute), 100)
		d.SetFull(at(time.Duration(i)*time.Minute), false)
	}
	_, known := d.Rate(at(100 * time.Minute))
	assert.False(t, known)
	d = busyDrain(0, time.Second)
	rate, known := d.Rate(at(time.Second))
	assert.True(t, known)
	assert.InDelta(t, 5_000, rate, 150)
	d.SetFull(at(time.Second), false)
	rate, _ = d.Rate(at(time.Hour))
	assert.InDelta(t, 5_000, rate, 150, "idle time does not change the rate")
}

// Guards against an estimate that keeps the old drain rate after all backend
// servers have stopped.
//
// Fails if the decay in decayedSums is removed.
func TestDrainRateFallsWhenNoRequestEnds(t *testing.T) {
	d := busyDrain(0, 10*time.Second)
	backlog := queue.Backlog{Ahead: 10_000, Total: 10_000, Share: 1}
	assert.InDelta(t, 2, d.Estimate(at(10*time.Second), backlog).Wait.Seconds(), 0.1)
	assert.Greater(t, d.Estimate(at(16*time.Second), backlog).Wait, 30*time.Second)
}

// Guards against a wrong estimate of the wait, which causes late answers or
// needless refusals.
func TestEstimateComputesQueueWait(t *testing.T) {
	d := busyDrain(0, 10*time.Second)
	now := at(10 * time.Second)
	for range 100 {
		d.ObserveFirstToken(300 * time.Millisecond)
	}
	e := d.Estimate(now, queue.Backlog{Ahead: 450, Total: 100_000, Share: 0.5})
	assert.InDelta(t, 0.19, e.Wait.Seconds(), 0.01, "18 starts ahead of it, at 100 per second")
	assert.InDelta(t, 0.19+p95Deviations*0.0436, e.WaitP95.Seconds(), 0.01, "plus the variation of 19 intervals")
	assert.Equal(t, 300*time.Millisecond, e.FirstToken)
	e = d.Estimate(now, queue.Backlog{Ahead: 1_000, Total: 1_100, Share: 0.1})
	assert.InDelta(t, 0.23, e.Wait.Seconds(), 0.01, "all work is less than its own divided by its share")
	e = d.Estimate(now, queue.Backlog{Total: 5_000, Share: 0.5, Lasting: 0.1, Others: 4})
	assert.InDelta(t, 0.05+p95Deviations*0.0224, e.WaitP95.Seconds(), 0.01, "one request of each other workspace may start first")
	e = d.Estimate(now, queue.Backlog{Ahead: 1_000, Total: 1_000, Share: 0.5, Starts: true})
	assert.Zero(t, e.Wait)
	e = d.Estimate(now, queue.Backlog{Ahead: 1_000, Total: 1_000, Share: 0.5, Held: true})
	assert.True(t, e.Held)
	assert.Zero(t, e.Wait, "first held request of its workspace")
	e = d.Estimate(now, queue.Backlog{Ahead: 1_000, Total: 1_000, Share: 0.5, Held: true, Waiting: 1})
	assert.InDelta(t, 0.21, e.Wait.Seconds(), 0.01)
}

// Guards against verdicts that differ for the same inputs, and against a
// RetryAfter out of its bounds.
func TestPropertyVerdictsAreDeterministicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		a, _ := New(cfg)
		b, _ := New(cfg)
		limits := contract.Limits{RequestsPerSecond: 5, Concurrency: 4, TokensPerSecond: 500}
		for _, x := range []*Admitter{a, b} {
			x.SetLimits(epoch, "w", limits)
			x.Apply(epoch, epoch, Lease{Workspace: "w", Term: 1, Number: 1, Grant: amountOf(limits), TTL: time.Hour})
		}
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := Request{
				Workspace:        rapid.SampledFrom([]string{"w", "v"}).Draw(t, "workspace"),
				Class:            rapid.SampledFrom([]contract.Class{contract.ClassInteractive, contract.ClassBatch}).Draw(t, "class"),
				Cost:             rapid.Int64Range(0, 1_000).Draw(t, "cost"),
				FirstTokenTarget: time.Second,
				Deadline:         now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "deadline")) * time.Second),
				Estimate:         estimateWithWait(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second),
			}
			random := rapid.Float64Range(0, 0.999).Draw(t, "random")
			v := a.Decide(now, r, random)
			if w := b.Decide(now, r, random); v != w {
				t.Fatalf("verdicts differ: %+v and %+v", v, w)
			}
			if v.Admit != (v.RetryAfter == 0) || v.Admit != (v.Reason == Admitted) {
				t.Fatalf("inconsistent verdict %+v", v)
			}
			if !v.Admit && (v.RetryAfter < cfg.MinRetryAfter || v.RetryAfter > cfg.MaxRetryAfter) {
				t.Fatalf("RetryAfter %v out of bounds", v.RetryAfter)
			}
			if v.Admit && rapid.Bool().Draw(t, "done") {
				a.Done(now, r.Workspace, r.Cost, r.Cost)
				b.Done(now, r.Workspace, r.Cost, r.Cost)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	a, _ := New(DefaultConfig())
	r := Request{Workspace: "w", Class: contract.ClassInteractive, Cost: 100, FirstTokenTarget: time.Second, Estimate: estimateWithWait(0)}
	b.ReportAllocs()
	for b.Loop() {
		a.Decide(epoch, r, 0.5)
	}
}

// Guards against allocations in Decide, which runs for each request.
func TestDecideDoesNotAllocate(t *testing.T) {
	a, _ := New(DefaultConfig())
	r := Request{Workspace: "w", Class: contract.ClassInteractive, Cost: 100, FirstTokenTarget: time.Second, Estimate: estimateWithWait(0)}
	a.Decide(epoch, r, 0.5)
	assert.Zero(t, testing.AllocsPerRun(1_000, func() { a.Decide(epoch, r, 0.5) }))
}

// Guards against refusing all requests at the start of a surge, when no answer
// can have ended yet. After two seconds without an end, the rate must be zero.
//
// Fails if the check of minStoppedFraction in Rate is removed.
func TestSurgeStartIsNotMistakenForStoppedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDrainEstimator(2 * time.Second)
	d.SetFull(now, true)
	_, known := d.Rate(now.Add(500 * time.Millisecond))
	require.False(t, known)
	rate, known := d.Rate(now.Add(2100 * time.Millisecond))
	require.True(t, known)
	require.Zero(t, rate)
	d.ObserveEnd(now.Add(600*time.Millisecond), 60)
	rate, known = d.Rate(now.Add(700 * time.Millisecond))
	require.True(t, known)
	require.Positive(t, rate)
}
