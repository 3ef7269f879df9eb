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

// firstAttempt records the first attempt of a request, which adds to the budgets.
func (t *retries) firstAttempt(now time.Time, r *request.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.RecordFirstAttempt(now, retryCall(r))
}

// attemptFailed records a failed attempt on a server and decides whether the request may be
// retried.
func (t *retries) attemptFailed(now time.Time, server string, f retry.Failure) retry.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.ServerFailed(now, server)
	v := t.policy.Failed(now, f, rand.Float64())
	if v.Go && !f.Reclaimed {
		t.policy.Repeat(now, f.Call)
	}
	return v
}

// setEntries sets the number of entries, which divide the slack.
func (t *retries) setEntries(now time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.SetSlack(now, float64(retry.DefaultSlack)/float64(max(1, count)))
}

// setServers sets the number of backend servers. The policy detects a wave of failures by
// the fraction of servers that fail.
func (t *retries) setServers(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.SetServers(count)
}
