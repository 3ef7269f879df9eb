package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// retries holds this entry's retry budgets. It is safe for concurrent use.
type retries struct {
	now func() time.Time

	mu     sync.Mutex
	policy *retry.Policy
}

func newRetries(now func() time.Time) (*retries, error) {
	p, err := retry.New(retry.DefaultConfig())
	if err != nil {
		return nil, err
	}
	return &retries{now: now, policy: p}, nil
}

// firstAttempt records the first attempt of a request, which adds to the budgets.
func (t *retries) firstAttempt(r *request.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.RecordFirstAttempt(t.now(), retryCall(r))
}

// attemptFailed records a failed attempt on a server and decides whether the request may be
// retried.
func (t *retries) attemptFailed(server string, f retry.Failure) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.policy.ServerFailed(now, server)
	return t.policy.Failed(now, f, rand.Float64())
}

// take takes one repeat of a request from the budgets.
func (t *retries) take(r *request.Request) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.Repeat(t.now(), retryCall(r))
}

// hasRoom reports whether the budgets have room for a repeat of a request.
func (t *retries) hasRoom(r *request.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.HasRoom(t.now(), retryCall(r))
}

// observe records for the policy that the process runs, and drops budgets that are not in use. It is
// called every retry.ObserveInterval.
func (t *retries) observe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.Observe(t.now())
	t.policy.Forget(t.now())
}

// setEntries sets the number of entries, which divide the slack.
func (t *retries) setEntries(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.SetSlack(t.now(), float64(retry.DefaultSlack)/float64(max(1, count)))
}

// setServers sets the number of backend servers. The policy detects a wave of failures by
// the fraction of servers that fail.
func (t *retries) setServers(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.SetServers(count)
}
