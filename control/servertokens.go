package control

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/control/api"
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
func (t *serverTokens) grant(_ context.Context, _ link.PeerInfo, r api.ServerTokensRequest) (api.ServerTokensReply, error) {
	term, _, ok := t.leader.HoldsLease()
	if !ok {
		return api.ServerTokensReply{}, errNotLeader
	}
	t.mu.Lock()
	granted, after := t.grants.Take(term, throttle.Server{ID: r.Server, Incarnation: r.Incarnation}, r.Limit, r.Entry, r.Want, t.now())
	t.mu.Unlock()
	if termAfter, _, ok := t.leader.HoldsLease(); !ok || termAfter != term {
		return api.ServerTokensReply{}, errNotLeader
	}
	return api.ServerTokensReply{Granted: granted, After: after}, nil
}
