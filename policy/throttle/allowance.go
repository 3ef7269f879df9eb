package throttle

import (
	"maps"
	"time"
)

const (
	// allowanceTTL is how long a limit is remembered that no answer repeats. The server has ended,
	// or gets no requests.
	allowanceTTL = 10 * time.Minute
	// demandWindow is the time by whose requests an entry asks for tokens ahead.
	demandWindow = 100 * time.Millisecond
	// maxAhead bounds the tokens that an entry asks for at once.
	maxAhead = 16
)

// Allowance holds the limits that servers have named to this entry.
type Allowance struct {
	servers map[string]*allowed // by id
}

type allowed struct {
	incarnation uint64
	limit       float64
	named       time.Time   // when a server first named it to this entry, without a break
	heard       time.Time   // when it last did
	tokens      []time.Time // until when each may be spent, ascending
	spent       []time.Time // within demandWindow
	refusedTill time.Time
}

// NewAllowance returns an Allowance without limits.
func NewAllowance() *Allowance { return &Allowance{servers: make(map[string]*allowed)} }

// Named records that an answer of a server names a limit of requests a second. It reports whether
// the server had named none.
func (a *Allowance) Named(s Server, limit float64, now time.Time) (began bool) {
	x := a.servers[s.ID]
	if x != nil && x.incarnation > s.Incarnation {
		return false
	}
	if x == nil || x.incarnation < s.Incarnation {
		a.expire(now)
		x = &allowed{incarnation: s.Incarnation, named: now}
		a.servers[s.ID] = x
		began = true
	}
	x.limit, x.heard = limit, now
	return began
}

// NotNamed records that an answer to a request that was sent at a time names no limit. That ends a
// limit which was named before the request was sent.
func (a *Allowance) NotNamed(s Server, sentAt time.Time) {
	if x := a.servers[s.ID]; x != nil && x.incarnation <= s.Incarnation && sentAt.After(x.heard) {
		delete(a.servers, s.ID)
	}
}

// Limit returns the limit of a server; limited is false if it has named none.
func (a *Allowance) Limit(s Server) (limit float64, limited bool) {
	x := a.servers[s.ID]
	if x == nil || x.incarnation != s.Incarnation {
		return 0, false
	}
	return x.limit, true
}

// Empty reports whether no server has named a limit.
func (a *Allowance) Empty() bool { return len(a.servers) == 0 }

// HasToken reports whether a request may be sent to a server now.
func (a *Allowance) HasToken(s Server, now time.Time) bool {
	x := a.servers[s.ID]
	if x == nil || x.incarnation != s.Incarnation {
		return true
	}
	x.dropOld(now)
	return len(x.tokens) > 0
}

// Spend takes the token for a request right before it is sent, and reports whether there is one.
func (a *Allowance) Spend(s Server, now time.Time) bool {
	if !a.HasToken(s, now) {
		return false
	}
	if x := a.servers[s.ID]; x != nil && x.incarnation == s.Incarnation {
		x.tokens = x.tokens[1:]
		x.spent = append(x.spent, now)
	}
	return true
}

// Want returns how many tokens of a server to ask for.
func (a *Allowance) Want(s Server, now time.Time) int {
	x := a.servers[s.ID]
	if x == nil {
		return 1
	}
	x.dropOld(now)
	return min(1+len(x.spent), maxAhead)
}

// Granted adds tokens that were asked for at a time.
func (a *Allowance) Granted(s Server, n int, askedAt time.Time) {
	x := a.servers[s.ID]
	if x == nil || x.incarnation != s.Incarnation {
		return
	}
	for range n {
		x.tokens = append(x.tokens, askedAt.Add(TokenTTL))
	}
}

// Refused records until when no token of a server is asked for.
func (a *Allowance) Refused(s Server, until time.Time) {
	if x := a.servers[s.ID]; x != nil && x.incarnation == s.Incarnation {
		x.refusedTill = until
	}
}

// Waiting returns the servers that can't be sent a request now, and when the first of them can.
func (a *Allowance) Waiting(now time.Time) (servers []string, first time.Time) {
	for id, x := range a.servers {
		if x.dropOld(now); len(x.tokens) > 0 || !now.Before(x.refusedTill) {
			continue
		}
		servers = append(servers, id)
		if first.IsZero() || x.refusedTill.Before(first) {
			first = x.refusedTill
		}
	}
	return servers, first
}

// dropOld drops what has expired.
func (x *allowed) dropOld(now time.Time) {
	for len(x.tokens) > 0 && now.After(x.tokens[0]) {
		x.tokens = x.tokens[1:]
	}
	for len(x.spent) > 0 && now.Sub(x.spent[0]) > demandWindow {
		x.spent = x.spent[1:]
	}
}

func (a *Allowance) expire(now time.Time) {
	maps.DeleteFunc(a.servers, func(_ string, x *allowed) bool { return now.Sub(x.heard) > allowanceTTL })
}
