package entry

import (
	"time"

	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/route"
)

// grant is the right to send one attempt to one backend server. Its holder calls exactly
// one of finished, failed and cancelled.
type grant struct {
	lane          *lane
	verdict       route.Verdict
	attempt       route.Attempt
	quarantineRun quarantine.Run
	sentAt        time.Time // when the request was about to be sent

	workspace     string
	chargedTokens int64 // tokens of work charged to the workspace at the start
	closed        bool  // set by the first call of end
}

// firstToken records that the server has started to answer. took is the time since the
// request was sent.
func (g *grant) firstToken(took time.Duration) {
	g.lane.mu.Lock()
	defer g.lane.mu.Unlock()
	g.lane.router.FirstToken(&g.attempt, g.lane.now())
	g.lane.drainEstimator.ObserveFirstToken(took)
}

// observeTokenInterval records the mean time between the tokens of an answer.
func (g *grant) observeTokenInterval(gap time.Duration) {
	g.lane.mu.Lock()
	defer g.lane.mu.Unlock()
	g.lane.drainEstimator.ObserveTokenInterval(gap)
}

// finished ends an attempt whose answer is complete. work is its actual cost in tokens.
func (g *grant) finished(work int) { g.end((*route.Router).Finished, int64(work)) }

// failed ends an attempt that the server has not answered.
func (g *grant) failed() { g.end((*route.Router).Failed, 0) }

// cancelled ends an attempt that this entry has cancelled. It does not count against the
// server.
func (g *grant) cancelled() { g.end((*route.Router).Cancelled, 0) }

// end closes the grant and dispatches waiting requests. Only the first call has an effect.
func (g *grant) end(how func(*route.Router, *route.Attempt, time.Time), work int64) {
	l := g.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	now := l.now()
	how(l.router, &g.attempt, now)
	l.starter.Ended(g.workspace)
	if l.ownSlots[g.workspace]--; l.ownSlots[g.workspace] <= 0 {
		delete(l.ownSlots, g.workspace)
	}
	l.queue.Charge(g.workspace, work-g.chargedTokens)
	if work > 0 {
		l.drainEstimator.ObserveEnd(now, work)
	}
	l.dispatch(now)
}

// server returns the incarnation of the backend server that was granted.
func (g *grant) server() quarantine.Server {
	return quarantine.Server{ID: g.verdict.Server, Incarnation: g.verdict.Incarnation}
}

// exchangeGrant replaces g by a grant on another server. If that server cannot take the
// request, g is cancelled and ok is false.
func (l *lane) exchangeGrant(t *ticket, g *grant, to quarantine.Server) (*grant, bool) {
	if g.server() == to {
		return g, true
	}
	g.cancelled()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	t.route.Exclude = nil
	v := l.router.ChooseServer(&t.route, to.ID)
	if !v.OK() || v.Incarnation != to.Incarnation {
		return nil, false
	}
	l.logRoute(t.request, &v, 0)
	item := itemOf(t.request, t.weight, now)
	item.Resumed = true
	return l.newGrant(&v, &item, now), true
}
