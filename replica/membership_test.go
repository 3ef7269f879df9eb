package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
)

// An uncommitted membership change is truncated by the next leader. A replica that
// still applied it would count majorities of a membership that never existed, and
// a second leader could be elected.
//
// Fails without truncateMemberships in handleAppend.
func TestMembershipIsRevertedWithItsTruncatedEntry(t *testing.T) {
	c := follower1(t)
	changed := replica.Members{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}
	change := replica.Entry{Index: 3, Term: 3, Kind: replica.KindMembership, Data: encode(changed)}
	step(t, c, replica.Message{Type: replica.MsgAppend, From: 2, Term: 3, Index: 2, LogTerm: 2, Entries: []replica.Entry{change}})
	require.Equal(t, changed, c.Members())

	other := replica.Entry{Index: 3, Term: 4, Kind: simKind}
	step(t, c, replica.Message{Type: replica.MsgAppend, From: 3, Term: 4, Index: 2, LogTerm: 2, Entries: []replica.Entry{other}})
	require.Equal(t, []uint64{1, 2, 3}, c.Members().Voters)
	require.Empty(t, c.Members().Learners)
}

// Repeated changes, removal of the leader, promotion of a learner that has not
// caught up and overlapping changes must be rejected: they could block or split
// the group.
//
// Fails without the checks in ProposeChange, membersAfter and checkCaughtUp.
func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	c := leader1(t)
	propose := func(kind replica.ChangeKind, id uint64) error {
		_, err := c.ProposeChange(replica.Change{Kind: kind, ID: id})
		return err
	}
	require.ErrorIs(t, propose(replica.AddLearner, 4), replica.ErrChangePending, "the first entry of the term is not committed")
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 3})
	require.ErrorIs(t, propose(replica.AddLearner, 3), replica.ErrBadChange)
	require.ErrorIs(t, propose(replica.Remove, 1), replica.ErrRemoveLeader)
	require.ErrorIs(t, propose(replica.Promote, 4), replica.ErrBadChange)
	require.NoError(t, propose(replica.AddLearner, 4))
	require.ErrorIs(t, propose(replica.AddLearner, 5), replica.ErrChangePending)
	drain(c)
	step(t, c, replica.Message{Type: replica.MsgAppendReply, From: 2, Term: 4, Index: 4})
	require.ErrorIs(t, propose(replica.Promote, 4), replica.ErrNotCaughtUp)
	require.Equal(t, []uint64{4}, c.Members().Learners)
}
