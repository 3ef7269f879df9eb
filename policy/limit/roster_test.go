package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Entries are added while others have a share of the limits. A new one has none until each
// of the others has said that its own share is small enough.
func TestNewEntryWaitsForSmallerShares(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 0, start)
	require.Equal(t, ShareVote{Entries: 1, Allowed: true}, r.Vote("a", start))
	r.Observe("a", 1, start)
	r.Observe("b", 0, start)
	require.Equal(t, ShareVote{Entries: 2}, r.Vote("b", start))
	require.Equal(t, ShareVote{Entries: 2, Allowed: true}, r.Vote("a", start))
	r.Observe("a", 2, start)
	require.Equal(t, ShareVote{Entries: 2, Allowed: true}, r.Vote("b", start))
}

// An entry is cut off and goes on with its share. The others must not have it meanwhile.
func TestPartitionedEntryIsCounted(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 2, start)
	r.Observe("b", 2, start)
	voteAfter := func(after time.Duration) ShareVote {
		r.Observe("a", 2, start.Add(after))
		return r.Vote("a", start.Add(after))
	}
	require.Equal(t, 2, voteAfter(ShareTTL).Entries)
	require.Equal(t, 1, voteAfter(ShareTTL+time.Second).Entries)
}

// An entry starts again at once. It keeps its place, and needs not wait for the others.
func TestRestartedEntryStaysAllowed(t *testing.T) {
	r := NewRegistry(start, true)
	for _, name := range []string{"a", "b"} {
		r.Observe(name, 0, start)
		r.Vote(name, start)
		r.Observe(name, 2, start)
	}
	require.True(t, r.Vote("b", start).Allowed)
	r.Observe("b", 0, start.Add(time.Second))
	require.Equal(t, ShareVote{Entries: 2, Allowed: true}, r.Vote("b", start.Add(time.Second)))
}

// recoveredVotes returns the words of an entry that started long ago.
func recoveredVotes(now time.Time) *ShareVotes { return NewShareVotes(now.Add(-time.Minute)) }

// An entry is in touch with a few replicas only, which are cut off from the others. Its
// share may be given to the rest, so it uses none.
func TestShareNeedsMajorityOfReplicas(t *testing.T) {
	votes := recoveredVotes(start)
	votes.Record("c1", ShareVote{Entries: 4, Allowed: true}, 5, start)
	votes.Record("c2", ShareVote{Entries: 4, Allowed: true}, 5, start)
	require.Zero(t, votes.Share(start))
	votes.Record("c3", ShareVote{Entries: 3, Allowed: false}, 5, start)
	require.Zero(t, votes.Share(start))
	votes.Record("c4", ShareVote{Entries: 3, Allowed: true}, 5, start)
	require.Equal(t, 0.25, votes.Share(start), "the highest count of entries")
}

// A replica starts anew and has heard of few entries. The entry does not take a larger share
// for it.
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

// All control replicas are out of reach. The entry goes on with its share, and gives it up
// before it may be given to others.
func TestShareExpiresWithoutReplicas(t *testing.T) {
	votes := recoveredVotes(start)
	votes.Record("c1", ShareVote{Entries: 2, Allowed: true}, 1, start)
	require.Equal(t, 0.5, votes.Share(start.Add(voteTTL)))
	require.Zero(t, votes.Share(start.Add(voteTTL+time.Second)))
	require.Less(t, voteTTL+LeaseDuration(1000), ShareTTL)
}

// A share becomes smaller while the larger one is lent. The replicas are told of the smaller
// one only when the lease has ended: a new entry would have its share too soon.
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
	require.Equal(t, 2, divisorInUse(2, time.Minute), "a larger one is in use at once")
}

// An entry dies right after it has lent its share, and starts again. It uses the share once
// the keeper has given it back, or the lease has ended; both would use it otherwise.
func TestRestartedEntryWaitsForLentShare(t *testing.T) {
	votes := NewShareVotes(start)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	require.Zero(t, votes.Share(start))
	votes.RecordReturn("b", false, time.Hour, start)
	require.Zero(t, votes.Share(start))
	votes.RecordReturn("c", true, time.Hour, start.Add(50*time.Millisecond))
	require.Equal(t, 1.0/3, votes.Share(start.Add(60*time.Millisecond)))
	require.Equal(t, start.Add(50*time.Millisecond), votes.UnusedSince(), "it was in use until then")

	votes = NewShareVotes(start)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	votes.RecordReturn("b", false, time.Hour, start)
	end := LeaseDuration(3) + leaseMargin
	require.Zero(t, votes.Share(start.Add(end+returnTimeout-time.Millisecond)))
	require.Equal(t, 1.0/3, votes.Share(start.Add(end+returnTimeout)))
	require.Equal(t, start.Add(end), votes.UnusedSince())
}

// All entries start at once. What their shares have brought since the last one started is
// there, but no more: the life before of the last one may have held any share until then.
func TestShareIsUnusedSinceLastStart(t *testing.T) {
	votes := NewShareVotes(start)
	now := start.Add(300 * time.Millisecond)
	votes.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, now)
	votes.RecordReturn("b", false, 350*time.Millisecond, now)
	votes.RecordReturn("c", false, 200*time.Millisecond, now)
	require.Equal(t, 1.0/3, votes.Share(now))
	require.Equal(t, start.Add(100*time.Millisecond), votes.UnusedSince())
}
