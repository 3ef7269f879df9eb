package entry

import (
	"sync"

	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// sends counts the sends of one request to backend servers. Each one beyond the first, at this
// entry or at the one that handed the request over, takes from the retry budgets, whatever its
// reason. It is safe for concurrent use.
type sends struct {
	retries *retries
	request *request.Request

	mu      sync.Mutex
	sent    bool
	refused string // why the budgets did not allow the last send; empty: they did
}

// take records a send right before it, and reports whether the budgets allow it.
func (s *sends) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = ""
	if !s.sent {
		s.sent = true
		s.retries.firstAttempt(s.request)
		return true
	}
	v := s.retries.take(s.request)
	if !v.Go {
		s.refused = v.Reason.String()
	}
	return v.Go
}

// allowed reports whether take would allow a send now.
func (s *sends) allowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.sent || s.retries.hasRoom(s.request)
}

// refusal returns why the budgets did not allow the last send, or an empty string.
func (s *sends) refusal() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// wasSent reports whether the request has been sent to a server.
func (s *sends) wasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// maySend returns the function that is asked once a connection to the granted server is open.
func (t *ticket) maySend(g *grant) func() bool {
	return func() bool {
		g.sentAt = t.lane.now()
		return g.maySend() && t.lane.limits.Spend(g.limitedServer()) && t.sends.take()
	}
}

// retryCall returns the request as the retry policy sees it.
func retryCall(r *request.Request) retry.Call {
	return retry.Call{Workspace: r.Workspace, Service: r.Service, Class: r.Class, Idempotent: r.Idempotent, Deadline: r.Deadline}
}
