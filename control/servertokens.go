package control

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/throttle"
)

// serverTokens grants the tokens of backend servers that name a limit, while this replica leads. The
// buckets are in the leader's memory only; a new leader begins with empty ones.
type serverTokens struct {
	leader leaderLease
	now    func() time.Time

	mu     sync.Mutex
	grants *throttle.TermGrants
}

func newServerTokens(leader leaderLease, now func() time.Time) *serverTokens {
	return &serverTokens{leader: leader, now: now, grants: throttle.NewTermGrants()}
}

// grant handles an entry's request. It checks the leader's lease before and after the tokens are
// taken: a leader that has been replaced must not grant beside its successor.
func (t *serverTokens) grant(_ context.Context, _ link.PeerInfo, r throttle.Request) (throttle.Reply, error) {
	term, _, ok := t.leader.HoldsLease()
	if !ok {
		return throttle.Reply{}, errNotLeader
	}
	t.mu.Lock()
	reply := t.grants.Take(term, &r, t.now())
	t.mu.Unlock()
	if termAfter, _, ok := t.leader.HoldsLease(); !ok || termAfter != term {
		return throttle.Reply{}, errNotLeader
	}
	return reply, nil
}
