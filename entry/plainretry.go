package entry

import (
	"errors"
	"time"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// countedAttempts returns 1, or 0 if nothing was attempted because the server took no more
// requests.
func countedAttempts(err error) int {
	if errors.Is(err, native.ErrWithdrawn) {
		return 0
	}
	return 1
}

// nextGrant returns a grant on another server after a failed attempt, if the retry budgets
// allow a further attempt, and else the call's final problem.
func (c *plainCall) nextGrant(g *grant, attempts int, err error, outcome request.Outcome) (*grant, *request.Problem) {
	failed := request.NewProblem(request.CodeServerFailed, outcome, "%v", err).After(time.Second)
	if refusal := c.ticket.sends.refusal(); refusal != "" && !(c.reclaimed && c.awaitRoom()) {
		failed.Detail = "a backend server failed (" + refusal + ")"
		return nil, failed
	}
	if errors.Is(err, native.ErrWithdrawn) {
		return c.regrant(outcome)
	}
	v := c.decideRetry(g, attempts, err)
	if !v.Go {
		failed.Detail += " (" + v.Reason.String() + ")"
		return nil, failed
	}
	select {
	case <-time.After(v.After):
	case <-c.ctx.Done():
		return nil, failed
	}
	c.ticket.failedServers = append(c.ticket.failedServers, g.verdict.Server)
	next, ok := c.ticket.lane.regrant(c.ticket)
	if !ok {
		return nil, failed
	}
	next, p := c.checkGrant(next)
	if p != nil && outcome != request.NotRun {
		p = withUnknownOutcome(p)
	}
	return next, p
}

// decideRetry decides whether a call is sent again after a failed attempt. A call whose server
// leaves waits until the budgets have room.
func (c *plainCall) decideRetry(g *grant, attempts int, err error) retry.Verdict {
	f := retry.Failure{
		Call: retryCall(c.request), Attempts: attempts, NotRun: native.NotRun(err), Reclaimed: c.entry.onLeavingServer(g),
	}
	c.reclaimed = f.Reclaimed
	v := c.entry.retries.attemptFailed(g.verdict.Server, f)
	if f.Reclaimed && v.Reason.NoRoom() && c.awaitRoom() {
		return retry.Verdict{Go: true, Reason: retry.GoOn}
	}
	return v
}

// awaitRoom waits until the budgets have room for a repeat of the call, and reports false if its
// context ends before.
func (c *plainCall) awaitRoom() bool {
	tick := time.NewTicker(rerouteInterval)
	defer tick.Stop()
	for !c.ticket.sends.allowed() {
		select {
		case <-c.ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// regrant returns another grant for a call whose server takes no more requests. If no server can
// take the call at once, it queues again.
func (c *plainCall) regrant(outcome request.Outcome) (*grant, *request.Problem) {
	g, ok := c.ticket.lane.regrant(c.ticket)
	var p *request.Problem
	if !ok {
		c.ticket.failedServers = nil // the queue would wait for another server than these
		if p = c.ticket.lane.submit(c.ticket); p == nil {
			g, p = c.awaitGrant()
		}
	}
	if p == nil {
		g, p = c.checkGrant(g)
	}
	if p != nil && outcome != request.NotRun {
		p = withUnknownOutcome(p)
	}
	return g, p
}
