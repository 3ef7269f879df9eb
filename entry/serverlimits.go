package entry

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/throttle"
)

const (
	// serverTokensTimeout bounds a request for tokens, during which the server that was chosen
	// is held.
	serverTokensTimeout = 400 * time.Millisecond
	// serverTokensRetryDelay is the time after which tokens are asked for again if no control
	// replica granted or refused them.
	serverTokensRetryDelay = 500 * time.Millisecond
)

// tokenSource grants tokens of servers that name a limit. api.Client implements it.
type tokenSource interface {
	ServerTokens(ctx context.Context, r api.ServerTokensRequest) (api.ServerTokensReply, error)
}

// serverLimits holds the limits that backend servers have named in their answers to this entry. It
// is safe for concurrent use, also under the lock of a lane.
type serverLimits struct {
	entry  string
	source tokenSource
	now    func() time.Time

	mu        sync.Mutex
	allowance *throttle.Allowance
}

func newServerLimits(entry string, source tokenSource, now func() time.Time) *serverLimits {
	return &serverLimits{entry: entry, source: source, now: now, allowance: throttle.NewAllowance()}
}

// heed applies what an answer to a request that was sent at a time says on its server's limit. Only
// an answer with which the server has served the request ends a limit.
func (l *serverLimits) heed(s quarantine.Server, n native.AnswerNotice, served bool, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case n.Limited:
		l.allowance.Named(throttle.Server(s), n.Limit, l.now())
	case served:
		l.allowance.NotNamed(throttle.Server(s), sentAt)
	}
}

// acquire makes sure that a request may be sent to a server, and reports whether it may.
func (l *serverLimits) acquire(ctx context.Context, server quarantine.Server) bool {
	s := throttle.Server(server)
	l.mu.Lock()
	limit, limited := l.allowance.Limit(s)
	if !limited || l.allowance.HasToken(s, l.now()) {
		l.mu.Unlock()
		return true
	}
	askedAt, want := l.now(), l.allowance.Want(s, l.now())
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, serverTokensTimeout)
	defer cancel()
	reply, err := l.source.ServerTokens(ctx, api.ServerTokensRequest{Server: s.ID, Incarnation: s.Incarnation, Limit: limit, Entry: l.entry, Want: want})
	if err != nil {
		reply = api.ServerTokensReply{After: serverTokensRetryDelay}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.Granted == 0 {
		l.allowance.Refused(s, l.now().Add(reply.After))
		return false
	}
	l.allowance.Granted(s, reply.Granted, askedAt)
	return true
}

// spend takes the token for a request right before it is sent, and reports whether there is one.
func (l *serverLimits) spend(s quarantine.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowance.Spend(throttle.Server(s), l.now())
}

// waiting returns the servers that can't be sent a request now.
func (l *serverLimits) waiting() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowance.Empty() {
		return nil
	}
	servers, _ := l.allowance.Waiting(l.now())
	return servers
}

// heedAnswer applies what the answer to an attempt says about its server.
func (ls *lanes) heedAnswer(g *grant, n native.AnswerNotice, served bool) {
	ls.heed(g.server(), n)
	ls.limits.heed(g.server(), n, served, g.sentAt)
}
