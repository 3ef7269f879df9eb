package replica

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// ChangeKind names a change of the membership.
type ChangeKind uint8

// The changes. A replica joins as a learner, which receives the log and counts
// for nothing, and is promoted once it has caught up: a voter with an empty log
// would make every commit wait for it as soon as another replica fails.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change alters the membership by one replica.
type Change struct {
	Kind ChangeKind
	ID   uint64
}

// maxPromotionLag is how many entries a learner may lack when it is promoted.
const maxPromotionLag = 64

// membership is the membership from one entry on.
type membership struct {
	index   uint64
	members Members
}

// Members returns the membership in force: that of the latest entry in the log,
// committed or not.
func (c *Core) Members() Members {
	return c.memberships[len(c.memberships)-1].members
}

func (c *Core) membersAt(index uint64) Members {
	for i := len(c.memberships) - 1; i > 0; i-- {
		if c.memberships[i].index <= index {
			return c.memberships[i].members
		}
	}
	return c.memberships[0].members
}

// noteMemberships takes over the membership entries among entries, which were
// just appended.
func (c *Core) noteMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Kind != KindMembership {
			continue
		}
		var m Members
		if err := msgpack.Unmarshal(e.Data, &m); err != nil {
			return fmt.Errorf("%w: index %d: %w", ErrBadMembership, e.Index, err)
		}
		c.memberships = append(c.memberships, membership{index: e.Index, members: m})
	}
	return nil
}

// forgetMemberships drops those from index on, whose entries were truncated.
func (c *Core) forgetMemberships(index uint64) {
	for n := len(c.memberships); n > 1 && c.memberships[n-1].index >= index; n-- {
		c.memberships = c.memberships[:n-1]
	}
}

// ProposeChange appends a membership change. It is in force at once at this
// replica and done when it is committed.
//
// One change at a time: majorities of two memberships that differ by one replica
// always overlap, majorities further apart need not, and two leaders could be
// elected side by side. For the same reason a new leader first commits an entry
// of its own term.
func (c *Core) ProposeChange(ch Change) (Position, error) {
	if err := c.canAppend(); err != nil {
		return Position{}, err
	}
	pending := c.memberships[len(c.memberships)-1].index > c.log.commit
	if pending || c.log.commit < c.lead.start {
		return Position{}, ErrChangePending
	}
	next, err := c.changed(ch)
	if err != nil {
		return Position{}, err
	}
	data, err := msgpack.Marshal(next)
	if err != nil {
		return Position{}, fmt.Errorf("%w: %w", ErrBadChange, err)
	}
	at := c.appendOwn(KindMembership, data)
	c.memberships = append(c.memberships, membership{index: at.Index, members: next})
	c.syncPeers()
	return at, nil
}

// changed returns the membership after ch.
func (c *Core) changed(ch Change) (Members, error) {
	next := c.Members().Clone()
	switch {
	case ch.ID == 0:
		return next, ErrBadChange
	case ch.Kind == AddLearner && !next.Has(ch.ID):
		next.Learners = append(next.Learners, ch.ID)
		return next, nil
	case ch.Kind == Promote && next.Learner(ch.ID):
		next.Learners = without(next.Learners, ch.ID)
		next.Voters = append(next.Voters, ch.ID)
		return next, c.caughtUp(ch.ID)
	case ch.Kind == Remove && ch.ID == c.cfg.ID:
		return next, ErrRemoveLeader
	case ch.Kind == Remove && next.Has(ch.ID):
		next.Learners = without(next.Learners, ch.ID)
		next.Voters = without(next.Voters, ch.ID)
		return next, nil
	}
	return next, ErrBadChange
}

func (c *Core) caughtUp(id uint64) error {
	p := c.lead.peers[id]
	recent := p.acked && c.now-p.ackSent < c.cfg.ElectionTimeout
	if p.lost || !recent || p.match+maxPromotionLag < c.log.last() {
		return ErrNotCaughtUp
	}
	return nil
}

func without(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(ids, func(x uint64) bool { return x == id })
}
