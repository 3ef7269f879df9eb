package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new entry that uses a share before the other entries have reported that
// theirs are small enough: the shares would sum to more than 1.
func TestNewEntryWaitsForSmallerShares(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 1, 0, start)
	require.Equal(t, ShareVote{Entries: 1, Allowed: true, First: true}, r.Vote("a", start))
	r.Observe("a", 1, 1, start)
	r.Observe("b", 1, 0, start)
	require.Equal(t, ShareVote{Entries: 2, First: true}, r.Vote("b", start))
	require.Equal(t, ShareVote{Entries: 2, Allowed: true, First: true}, r.Vote("a", start))
	r.Observe("a", 1, 2, start)
	require.Equal(t, ShareVote{Entries: 2, Allowed: true, First: true}, r.Vote("b", start))
}

// An entry is partitioned and continues to use its share. Guards against the others using it
// at the same time.
func TestPartitionedEntryIsCounted(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 1, 2, start)
	r.Observe("b", 1, 2, start)
	voteAfter := func(after time.Duration) ShareVote {
		r.Observe("a", 1, 2, start.Add(after))
		return r.Vote("a", start.Add(after))
	}
	require.Equal(t, 2, voteAfter(ShareTTL).Entries)
	require.Equal(t, 1, voteAfter(ShareTTL+time.Second).Entries)
}

// Guards against an entry that restarts at once and then waits for the reports of all others
// before it may use its share.
func TestRestartedEntryStaysAllowed(t *testing.T) {
	r := NewRegistry(start, true)
	for _, name := range []string{"a", "b"} {
		r.Observe(name, 1, 0, start)
		r.Vote(name, start)
		r.Observe(name, 1, 2, start)
	}
	require.True(t, r.Vote("b", start).Allowed)
	r.Observe("b", 2, 0, start.Add(time.Second))
	require.Equal(t, ShareVote{Entries: 2, Allowed: true}, r.Vote("b", start.Add(time.Second)))
}

// recoveredVotes returns the votes of an entry that started a minute before now.
func recoveredVotes(now time.Time) *ShareVotes { return NewShareVotes(now.Add(-time.Minute)) }

// Guards against an entry, partitioned with a minority of the replicas, that uses a share
// which the other replicas may have given to others.
func TestShareNeedsMajorityOfReplicas(t *testing.T) {
	votes := recoveredVotes(start)
	votes.Record("c1", ShareVote{Entries: 4, Allowed: true}, 5, start)
	votes.Record("c2", ShareVote{Entries: 4, Allowed: true}, 5, start)
	require.Zero(t, votes.Share(start))
	votes.Record("c3", ShareVote{Entries: 3, Allowed: false}, 5, start)
	require.Zero(t, votes.Share(start))
	votes.Record("c4", ShareVote{Entries: 3, Allowed: true}, 5, start)
	require.Equal(t, 0.25, votes.Share(start), "the highest number of entries")
}

// Guards against a restarted replica, which counts few entries, whose vote enlarges an entry's
// share.
func TestRestartedReplicaDoesNotEnlargeShare(t *testing.T) {
	votes := recoveredVotes(start)
	for _, replica := range []string{"c1", "c2", "c3"} {
		votes.Record(replica, ShareVote{Entries: 6, Allowed: true}, 3, start)
	}
	require.Equal(t, 1.0/6, votes.Share(start))
	votes.Record("c1", ShareVote{Entries: 1, Allowed: true}, 3, start)
	require.Equal(t, 1.0/6, votes.Share(start))
	votes.Record("c2", ShareVote{}, 3, start)
	require.Equal(t, 1.0/6, votes.Share(start))
}

// All control replicas are unreachable. Guards against an entry that gives up its share at
// once, or that still uses it when they may have given it to others.
func TestShareExpiresWithoutReplicas(t *testing.T) {
	votes := recoveredVotes(start)
	votes.Record("c1", ShareVote{Entries: 2, Allowed: true}, 1, start)
	require.Equal(t, 0.5, votes.Share(start.Add(voteTTL)))
	require.Zero(t, votes.Share(start.Add(voteTTL+time.Second)))
	require.Less(t, voteTTL+LeaseDuration(1000), ShareTTL)
}

// A share shrinks while the larger one is lent. Guards against an entry that reports the
// smaller one before the lease has expired: a new entry would get its share too early.
func TestLargerShareIsInUseUntilLeaseExpires(t *testing.T) {
	votes := recoveredVotes(start)
	divisorInUse := func(entries int, after time.Duration) int {
		votes.Record("c1", ShareVote{Entries: entries, Allowed: true}, 1, start.Add(after))
		votes.Share(start.Add(after))
		return votes.DivisorInUse()
	}
	require.Equal(t, 2, divisorInUse(2, 0))
	require.Equal(t, 2, divisorInUse(3, time.Second))
	require.Equal(t, 2, divisorInUse(3, time.Second+LeaseDuration(3)))
	require.Equal(t, 3, divisorInUse(3, time.Second+LeaseDuration(3)+time.Millisecond))
	require.Equal(t, 2, divisorInUse(2, time.Minute), "a larger share is in use at once")
}

// An entry crashes after it has lent its share, and restarts. Guards against using the share
// before the borrower has returned it or the lease has expired: both would use it.
func TestRestartedEntryWaitsForLentShare(t *testing.T) {
	votes := NewShareVotes(start)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	require.Zero(t, votes.Share(start))
	votes.RecordReturn("b", false, time.Hour, start)
	require.Zero(t, votes.Share(start))
	votes.RecordReturn("c", true, time.Hour, start.Add(50*time.Millisecond))
	require.Equal(t, 1.0/3, votes.Share(start.Add(60*time.Millisecond)))
	require.Equal(t, start.Add(50*time.Millisecond), votes.UnusedSince(), "in use until then")

	votes = NewShareVotes(start)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	votes.RecordReturn("b", false, time.Hour, start)
	end := LeaseDuration(3) + leaseMargin
	require.Zero(t, votes.Share(start.Add(end+returnTimeout-time.Millisecond)))
	require.Equal(t, 1.0/3, votes.Share(start.Add(end+returnTimeout)))
	require.Equal(t, start.Add(end), votes.UnusedSince())
}

// All entries restart together. Guards against a share that brings tokens from before the last
// restart: that entry's previous incarnation may have used the share until then.
func TestShareIsUnusedSinceLastStart(t *testing.T) {
	votes := NewShareVotes(start)
	now := start.Add(300 * time.Millisecond)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, now)
	votes.RecordReturn("b", false, 350*time.Millisecond, now)
	votes.RecordReturn("c", false, 200*time.Millisecond, now)
	require.Equal(t, 1.0/3, votes.Share(now))
	require.Equal(t, start.Add(100*time.Millisecond), votes.UnusedSince())
}

// Guards against an entry that uses its first share while one that its previous incarnation
// lent is in use: a replica that was restarted does not know whether there was one.
func TestFirstIncarnationIsKnownOnlyWithACompleteRecord(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 1, 0, start)
	require.True(t, r.Vote("a", start).First)
	r.Observe("a", 2, 0, start)
	require.False(t, r.Vote("a", start).First, "it has restarted")

	r = NewRegistry(start, false)
	r.Restore([]string{"a"}, start)
	r.Observe("a", 1, 0, start)
	r.Observe("b", 1, 0, start)
	require.False(t, r.Vote("a", start).First)
	require.False(t, r.Vote("b", start).First, "it may have started just before the restart")
	r.Observe("c", 1, 0, start.Add(ShareTTL))
	require.True(t, r.Vote("c", start.Add(ShareTTL)).First)
}

// Guards against an entry that starts for the first time and waits for all others to return
// a share that it never lent.
func TestFirstIncarnationUsesItsShareAtOnce(t *testing.T) {
	votes := NewShareVotes(start)
	require.False(t, votes.ReturnsNeeded(start), "no votes yet")
	first := ShareVote{Entries: 900, Allowed: true, First: true}
	votes.Record("c1", first, 3, start)
	require.Zero(t, votes.Share(start))
	require.False(t, votes.ReturnsNeeded(start))
	votes.Record("c2", ShareVote{Entries: 900, Allowed: true}, 3, start)
	require.Zero(t, votes.Share(start), "only a minority knows that it is the first")
	require.True(t, votes.ReturnsNeeded(start))
	votes.Record("c3", first, 3, start)
	require.Equal(t, 1.0/900, votes.Share(start))
	require.False(t, votes.ReturnsNeeded(start))
}
