package coordinator

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/throttle"
)

// serverTokens grants the tokens of servers that name a limit, while this replica leads. It is safe
// for concurrent use.
type serverTokens struct {
	mu     sync.Mutex
	grants *throttle.TermGrants
}

func newServerTokens() *serverTokens { return &serverTokens{grants: throttle.NewTermGrants()} }

// take takes tokens from the buckets of a term.
func (t *serverTokens) take(term uint64, r *throttle.Request, now time.Time) throttle.Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants.Take(term, r, now)
}

// giveBack gives back tokens of a term that no entry has received.
func (t *serverTokens) giveBack(term uint64, r *throttle.Request, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants.GiveBack(term, r.Server, n)
}

// serverTokensAnywhere passes an entry's request for tokens to the leader.
func (c *Coordinator) serverTokensAnywhere(ctx context.Context, _ link.PeerInfo, req throttle.Request) (throttle.Reply, error) {
	return runOnLeader(ctx, c, api.MethodLeaderServerTokens, req, c.serverTokensAsLeader)
}

// serverTokensAsLeader grants tokens. They are taken before this replica confirms that it leads: one
// that leads after it has none of them to grant again.
func (c *Coordinator) serverTokensAsLeader(ctx context.Context, m *member, req throttle.Request) (throttle.Reply, error) {
	term := m.host.Status().Term
	reply := c.tokens.take(term, &req, c.now())
	if reply.Granted == 0 {
		return reply, nil
	}
	if err := m.host.ReadBarrier(ctx); err != nil {
		c.tokens.giveBack(term, &req, reply.Granted)
		return throttle.Reply{}, notLeaderError(err)
	}
	return reply, nil
}
