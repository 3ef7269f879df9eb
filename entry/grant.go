package entry

import (
	"time"

	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/route"
)

// grant is the right to send one attempt to one backend server. Its holder
// calls exactly one of Finished, Failed and Cancelled.
type grant struct {
	lane          *lane
	verdict       route.Verdict
	attempt       route.Attempt
	quarantineRun quarantine.Run

	workspace     string
	chargedTokens int64 // tokens of work that the queue has charged
	closed        bool  // has been closed
}

// firstToken notes that the attempt's server has begun to answer, took after
// the request was sent.
func (g *grant) firstToken(took time.Duration) {
	g.lane.mu.Lock()
	defer g.lane.mu.Unlock()
	g.lane.router.FirstToken(&g.attempt, g.lane.now())
	g.lane.drainEstimator.ObserveFirstToken(took)
}

// observeTokenInterval notes the mean time between the tokens of an answer.
func (g *grant) observeTokenInterval(gap time.Duration) {
	g.lane.mu.Lock()
	defer g.lane.mu.Unlock()
	g.lane.drainEstimator.ObserveTokenInterval(gap)
}

// finished ends an attempt that was answered. work is its tokens, prompt and
// answer, as they turned out.
func (g *grant) finished(work int) { g.end((*route.Router).Finished, int64(work)) }

// failed ends an attempt that the server did not answer.
func (g *grant) failed() { g.end((*route.Router).Failed, 0) }

// cancelled ends an attempt that was given up here; the server is not to blame.
func (g *grant) cancelled() { g.end((*route.Router).Cancelled, 0) }

// end closes the grant. Calls after the first have no effect.
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

// server is the life of the backend server that the grant is for.
func (g *grant) server() quarantine.Server {
	return quarantine.Server{ID: g.verdict.Server, Incarnation: g.verdict.Incarnation}
}

// exchangeGrant exchanges a grant for one on a given server. ok is false, and the grant
// given back, when that server cannot take work.
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
