package throttle

import "time"

// TermGrants holds the Grants of a replica that leads in some terms. Those of a term are dropped when
// it grants in another one: another replica may have granted in between.
type TermGrants struct {
	term   uint64
	grants *Grants
}

// NewTermGrants returns TermGrants with empty buckets.
func NewTermGrants() *TermGrants { return &TermGrants{grants: NewGrants()} }

// Take is Grants.Take in a term.
func (t *TermGrants) Take(term uint64, s Server, limit float64, entry string, want int, now time.Time) (granted int, after time.Duration) {
	if term != t.term {
		t.term, t.grants = term, NewGrants()
	}
	return t.grants.Take(s, limit, entry, want, now)
}
