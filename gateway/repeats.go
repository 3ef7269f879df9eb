package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/site"
)

const (
	// retryBudgetFraction is the fraction of the site's retry budget that entries spend. The
	// rest covers requests that are read some time after they were sent.
	retryBudgetFraction = 0.95
	// minRetryRatio keeps the retry policy's settings valid on a site that allows no retries
	// beside its slack.
	minRetryRatio = 1e-6
	// maxRetryBackoff is short because callers' objectives are a few hundred milliseconds.
	maxRetryBackoff = 50 * time.Millisecond
)

// repeats holds this entry's retry budgets. Each send of a request to a server beyond its first
// one takes from them, whatever its reason. It is safe for concurrent use.
type repeats struct {
	slack float64 // repeats that all entries may make in a window beside the ratio
	now   func() time.Time
	use   *repeatUse

	mu     sync.Mutex
	policy *retry.Policy
}

func newRepeats(b site.Bounds, use *repeatUse, now func() time.Time) (*repeats, error) {
	policy, err := retry.New(retryConfig(b))
	if err != nil {
		return nil, err
	}
	return &repeats{slack: retryBudgetFraction * b.RetrySlack, now: now, use: use, policy: policy}, nil
}

// retryConfig returns the retry policy for a site's budget. Its backoff is shorter than the
// default because callers' objectives are short.
func retryConfig(b site.Bounds) retry.Config {
	cfg := retry.DefaultConfig()
	cfg.Ratio = max(b.RetryRatio*retryBudgetFraction, minRetryRatio)
	cfg.Window = b.RetryWindow
	cfg.Backoff = maxRetryBackoff
	cfg.WaveSpread = maxRetryBackoff
	return cfg
}

// setShare sets this entry's share of what the entries divide. The shares of all entries sum to
// at most 1 whichever of them can reach each other. It also records that the process
// runs, and is called at least every retry.ObserveInterval.
func (r *repeats) setShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.policy.Observe(now)
	r.policy.SetSlack(now, share*r.slack)
}

// recordFirst records a request.
func (r *repeats) recordFirst(c retry.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.RecordFirstAttempt(r.now(), c)
	r.use.recordFirst(c.Service)
}

// decide decides whether a failed attempt is retried.
func (r *repeats) decide(f retry.Failure) retry.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.policy.Failed(r.now(), f, rand.Float64())
	if !v.Go {
		r.use.recordVerdict(f.Call.Service, v)
	}
	return v
}

// take takes one repeat from the budgets right before it is sent.
func (r *repeats) take(c retry.Call) retry.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.policy.Repeat(r.now(), c)
	r.use.recordVerdict(c.Service, v)
	return v
}

// forget drops the budgets that are not in use.
func (r *repeats) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Forget(r.now())
}
