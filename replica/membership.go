package replica

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The membership changes. A replica joins as a learner and is promoted once it has
// caught up: if a voter with an empty log joined, commits could have to wait for
// it as soon as another replica fails.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change adds, promotes or removes one replica.
type Change struct {
	Kind ChangeKind
	ID   uint64
}

// maxPromotionLag is the number of entries that a learner may lack when it is
// promoted.
const maxPromotionLag = 64

// membership is the membership in effect from the entry at index on.
type membership struct {
	index   uint64
	members Members
}

// Members returns the membership in effect, which is that of the latest membership
// entry in the log, committed or not. The caller must not modify it.
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

// recordMemberships records the membership entries among newly appended entries.
func (c *Core) recordMemberships(entries []Entry) error {
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

// truncateMemberships removes the memberships from index on, whose entries were
// truncated.
func (c *Core) truncateMemberships(index uint64) {
	for n := len(c.memberships); n > 1 && c.memberships[n-1].index >= index; n-- {
		c.memberships = c.memberships[:n-1]
	}
}

// ProposeChange appends a membership change and returns its position. The change
// is in effect at this replica at once, and complete once it is committed. On
// error nothing was appended.
//
// Only one change may be uncommitted, and the leader must have committed an entry
// of its own term before. Majorities of two memberships that differ by one replica
// overlap; with larger differences two leaders could be elected in one term.
func (c *Core) ProposeChange(ch Change) (Position, error) {
	if err := c.checkCanAppend(); err != nil {
		return Position{}, err
	}
	pending := c.memberships[len(c.memberships)-1].index > c.log.commit
	if pending || c.log.commit < c.leaderState.firstIndex {
		return Position{}, ErrChangePending
	}
	next, err := c.membersAfter(ch)
	if err != nil {
		return Position{}, err
	}
	data, err := msgpack.Marshal(next)
	if err != nil {
		return Position{}, fmt.Errorf("%w: %w", ErrBadChange, err)
	}
	at := c.appendEntry(KindMembership, data)
	c.memberships = append(c.memberships, membership{index: at.Index, members: next})
	c.updatePeers()
	return at, nil
}

// membersAfter returns the membership that results from ch.
func (c *Core) membersAfter(ch Change) (Members, error) {
	next := c.Members().Clone()
	switch {
	case ch.ID == 0:
		return next, ErrBadChange
	case ch.Kind == AddLearner && !next.Has(ch.ID):
		next.Learners = append(next.Learners, ch.ID)
		return next, nil
	case ch.Kind == Promote && next.IsLearner(ch.ID):
		next.Learners = removeID(next.Learners, ch.ID)
		next.Voters = append(next.Voters, ch.ID)
		return next, c.checkCaughtUp(ch.ID)
	case ch.Kind == Remove && ch.ID == c.cfg.ID:
		return next, ErrRemoveLeader
	case ch.Kind == Remove && next.Has(ch.ID):
		next.Learners = removeID(next.Learners, ch.ID)
		next.Voters = removeID(next.Voters, ch.ID)
		return next, nil
	}
	return next, ErrBadChange
}

// checkCaughtUp returns ErrNotCaughtUp unless the learner has recently
// acknowledged a heartbeat and lacks at most maxPromotionLag entries.
func (c *Core) checkCaughtUp(id uint64) error {
	p := c.leaderState.peers[id]
	recent := p.heartbeatAcked && c.now-p.ackedHeartbeatSent < c.cfg.ElectionTimeout
	if p.lostLog || !recent || p.match+maxPromotionLag < c.log.lastIndex() {
		return ErrNotCaughtUp
	}
	return nil
}

func removeID(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(ids, func(x uint64) bool { return x == id })
}
