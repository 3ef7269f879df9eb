package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// retries holds the retry budgets of this entry.
type retries struct {
	mu     sync.Mutex
	policy *retry.Policy
}

func newRetries() (*retries, error) {
	p, err := retry.New(retry.DefaultConfig())
	if err != nil {
		return nil, err
	}
	return &retries{policy: p}, nil
}

func retryCall(r *request.Request) retry.Call {
	return retry.Call{Workspace: r.Workspace, Service: r.Service, Class: r.Class, Idempotent: r.Idempotent, Deadline: r.Deadline}
}

// first notes the first attempt of a request, which fills the budgets.
func (t *retries) firstAttempt(now time.Time, r *request.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.RecordFirstAttempt(now, retryCall(r))
}

// failed notes a failed attempt on a server and decides whether another may
// follow.
func (t *retries) attemptFailed(now time.Time, server string, f retry.Failure) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.ServerFailed(now, server)
	return t.policy.Failed(now, f, rand.Float64())
}

// setServers tells how many backend servers there are, by which a wave of
// failures is told from single ones.
func (t *retries) setServers(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.SetServers(count)
}
