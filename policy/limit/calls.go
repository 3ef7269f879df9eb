package limit

import "time"

// ShareTTL is how long a share is withheld after the last call of its entry to a majority of the voters.
// Without replies of a majority an entry stops using its share sooner, see replyTTL.
const ShareTTL = time.Minute

// Report is what an entry reports of its share with each call to a control replica.
type Report struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Index uint64 `msgpack:"index"` // of its latest grant, which it holds; 0: it does not know that
	Held  uint64 `msgpack:"held"`  // index of the grant that it has received
	// Divisor is that of the largest share that it, or an earlier incarnation, may use until it receives a
	// later grant.
	Divisor int `msgpack:"d"`
	// Ends, if positive, says that the entry stops, and is the time after which nobody uses its share.
	Ends time.Duration `msgpack:"ends"`
}

// call is the last call of an entry.
type call struct {
	incarnation uint64
	heardAt     time.Time
	report      Report
	endsAt      time.Time // zero: the entry goes on
}

// Calls holds the last calls of the entries to one control replica.
type Calls struct {
	entries    map[string]*call
	voterSince time.Time         // zero: the replica is no voter
	revoked    map[string]uint64 // by entry: index up to which its grants are not confirmed any more
}

// NewCalls returns Calls without content.
func NewCalls() *Calls {
	return &Calls{entries: make(map[string]*call), revoked: make(map[string]uint64)}
}

// endsFactor allows for clocks that run at different rates.
const endsFactor = 1.05

// Record records a call.
func (c *Calls) Record(name string, incarnation uint64, r Report, now time.Time) {
	e := &call{incarnation: incarnation, heardAt: now, report: r}
	if r.Ends > 0 {
		e.endsAt = now.Add(time.Duration(endsFactor * float64(r.Ends)))
	}
	c.entries[name] = e
}

// SetVoter records whether the replica is a voter.
func (c *Calls) SetVoter(voter bool, now time.Time) {
	switch {
	case !voter:
		c.voterSince = time.Time{}
	case c.voterSince.IsZero():
		c.voterSince = now
	}
}

// sinceCall returns for how long the replica, as a voter, is known to have received no call of an entry.
func (c *Calls) sinceCall(name string, now time.Time) time.Duration {
	if c.voterSince.IsZero() {
		return 0
	}
	since := c.voterSince
	if e := c.entries[name]; e != nil && e.heardAt.After(since) {
		since = e.heardAt
	}
	return now.Sub(since)
}

// returnDelay is how long after an entry has stopped its share is kept for it: most are started again.
const returnDelay = 4 * time.Second

// isGone reports whether an entry has stopped, or the replica has received no call of it for ShareTTL.
func (c *Calls) isGone(name string, now time.Time) bool {
	e := c.entries[name]
	stopped := e != nil && !e.endsAt.IsZero() && now.Sub(e.endsAt) > returnDelay
	return stopped || c.sinceCall(name, now) > ShareTTL
}

// Gone returns the grants of entries that are gone, as far as the replica knows, in no order.
func (c *Calls) Gone(t *Table, now time.Time) (list []Grant) {
	for _, g := range t.grants {
		if c.isGone(g.Name, now) {
			list = append(list, g)
		}
	}
	return list
}

// Revoke returns those of the grants whose entries are gone, as far as the replica knows, and promises
// not to confirm these grants any more: once a majority has promised, they may be removed.
func (c *Calls) Revoke(grants []Grant, now time.Time) (revoked []Grant) {
	for _, g := range grants {
		if c.isGone(g.Name, now) {
			c.revoked[g.Name] = max(c.revoked[g.Name], g.Index)
			revoked = append(revoked, g)
		}
	}
	return revoked
}

// Confirmed returns a grant, or the zero Grant if the replica has promised not to confirm it.
func (c *Calls) Confirmed(g Grant) Grant {
	if g.Index <= c.revoked[g.Name] {
		return Grant{}
	}
	return g
}

// Expire drops the calls of entries that are gone, and promises that later grants have made void.
func (c *Calls) Expire(t *Table, now time.Time) {
	for name, e := range c.entries {
		if now.Sub(e.heardAt) > ShareTTL {
			delete(c.entries, name)
		}
	}
	for name, index := range c.revoked {
		if t.grants[name].Index > index {
			delete(c.revoked, name)
		}
	}
}

// Divided returns the shares, as fractions of each limit, that are reserved for entries which call, and those
// that are withheld for entries which are quiet or have stopped.
func (c *Calls) Divided(t *Table, now time.Time) (live, withheld float64) {
	calling := make(map[string]bool)
	for _, name := range c.live(now) {
		calling[name] = true
	}
	for name, g := range t.grants {
		if calling[name] {
			live += g.reservedShare()
		} else {
			withheld += g.reservedShare()
		}
	}
	return live, withheld
}

// Entries returns the number of entries that have a grant or have called lately.
func (c *Calls) Entries(t *Table) int {
	n := len(t.grants)
	for name := range c.entries {
		if _, granted := t.grants[name]; !granted {
			n++
		}
	}
	return n
}
