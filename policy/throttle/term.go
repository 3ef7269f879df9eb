package throttle

import "time"

// Request asks for tokens to send requests to a server that names a limit.
type Request struct {
	Server Server  `msgpack:"s"`
	Limit  float64 `msgpack:"limit"` // requests a second, as the server named it last
	Entry  string  `msgpack:"entry"`
	Want   int     `msgpack:"want"`
}

// Reply returns the tokens, or when to ask again.
type Reply struct {
	Granted int           `msgpack:"n"`
	After   time.Duration `msgpack:"after"`
}

// TermGrants holds the Grants of a replica that leads in some terms. Those of a term are dropped when
// it grants in another one: another replica may have granted in between.
type TermGrants struct {
	term   uint64
	grants *Grants
}

// NewTermGrants returns TermGrants with empty buckets.
func NewTermGrants() *TermGrants { return &TermGrants{grants: NewGrants()} }

// Take decides on a request in a term.
func (t *TermGrants) Take(term uint64, r *Request, now time.Time) Reply {
	if term != t.term {
		t.term, t.grants = term, NewGrants()
	}
	granted, after := t.grants.Take(r.Server, r.Limit, r.Entry, r.Want, now)
	return Reply{Granted: granted, After: after}
}

// GiveBack gives back tokens that Take has granted in a term and that are certain not to be spent. Those of
// another term than the last are dropped.
func (t *TermGrants) GiveBack(term uint64, s Server, n int) {
	if term == t.term {
		t.grants.giveBack(s, n)
	}
}
