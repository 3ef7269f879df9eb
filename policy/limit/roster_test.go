package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Entries are added while others have a share of the limits. A new one has none until each
// of the others has said that its own share is small enough.
func TestNewEntryWaitsForTheOthers(t *testing.T) {
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
func TestEntryThatIsCutOffIsCounted(t *testing.T) {
	r := NewRegistry(start, true)
	r.Observe("a", 2, start)
	r.Observe("b", 2, start)
	word := func(after time.Duration) ShareVote {
		r.Observe("a", 2, start.Add(after))
		return r.Vote("a", start.Add(after))
	}
	require.Equal(t, 2, word(ShareTTL).Entries)
	require.Equal(t, 1, word(ShareTTL+time.Second).Entries)
}

// An entry starts again at once. It keeps its place, and needs not wait for the others.
func TestEntryThatStartsAgainKeepsItsShare(t *testing.T) {
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

// settled returns the words of an entry that started long ago.
func settled(now time.Time) *ShareVotes { return NewShareVotes(now.Add(-time.Minute)) }

// An entry is in touch with a few replicas only, which are cut off from the others. Its
// share may be given to the rest, so it uses none.
func TestShareNeedsMostReplicas(t *testing.T) {
	w := settled(start)
	w.Record("c1", ShareVote{Entries: 4, Allowed: true}, 5, start)
	w.Record("c2", ShareVote{Entries: 4, Allowed: true}, 5, start)
	require.Zero(t, w.Share(start))
	w.Record("c3", ShareVote{Entries: 3, Allowed: false}, 5, start)
	require.Zero(t, w.Share(start))
	w.Record("c4", ShareVote{Entries: 3, Allowed: true}, 5, start)
	require.Equal(t, 0.25, w.Share(start), "the highest count of entries")
}

// A replica starts anew and has heard of few entries. The entry does not take a larger share
// for it.
func TestReplicaThatKnowsFewEntries(t *testing.T) {
	w := settled(start)
	for _, replica := range []string{"c1", "c2", "c3"} {
		w.Record(replica, ShareVote{Entries: 6, Allowed: true}, 3, start)
	}
	require.Equal(t, 1.0/6, w.Share(start))
	w.Record("c1", ShareVote{Entries: 1, Allowed: true}, 3, start)
	require.Equal(t, 1.0/6, w.Share(start))
	w.Record("c2", ShareVote{}, 3, start)
	require.Equal(t, 1.0/6, w.Share(start))
}

// All control replicas are out of reach. The entry goes on with its share, and gives it up
// before it may be given to others.
func TestShareEndsWithoutTheReplicas(t *testing.T) {
	w := settled(start)
	w.Record("c1", ShareVote{Entries: 2, Allowed: true}, 1, start)
	require.Equal(t, 0.5, w.Share(start.Add(shareFor)))
	require.Zero(t, w.Share(start.Add(shareFor+time.Second)))
	require.Less(t, shareFor+LeaseDuration(1000), ShareTTL)
}

// A share becomes smaller while the larger one is lent. The replicas are told of the smaller
// one only when the lease has ended: a new entry would have its share too soon.
func TestLargerShareIsInUseUntilItsLeaseEnds(t *testing.T) {
	w := settled(start)
	take := func(entries int, after time.Duration) int {
		w.Record("c1", ShareVote{Entries: entries, Allowed: true}, 1, start.Add(after))
		w.Share(start.Add(after))
		return w.DivisorInUse()
	}
	require.Equal(t, 2, take(2, 0))
	require.Equal(t, 2, take(3, time.Second))
	require.Equal(t, 2, take(3, time.Second+LeaseDuration(3)))
	require.Equal(t, 3, take(3, time.Second+LeaseDuration(3)+time.Millisecond))
	require.Equal(t, 2, take(2, time.Minute), "a larger one is in use at once")
}

// An entry dies right after it has lent its share, and starts again. It uses the share once
// the keeper has given it back, or the lease has ended; both would use it otherwise.
func TestNewLifeWaitsForWhatWasLent(t *testing.T) {
	w := NewShareVotes(start)
	w.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	require.Zero(t, w.Share(start))
	w.RecordReturn("b", false, time.Hour, start)
	require.Zero(t, w.Share(start))
	w.RecordReturn("c", true, time.Hour, start.Add(50*time.Millisecond))
	require.Equal(t, 1.0/3, w.Share(start.Add(60*time.Millisecond)))
	require.Equal(t, start.Add(50*time.Millisecond), w.UnusedSince(), "it was in use until then")

	w = NewShareVotes(start)
	w.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, start)
	w.RecordReturn("b", false, time.Hour, start)
	end := LeaseDuration(3) + lendSlack
	require.Zero(t, w.Share(start.Add(end+answersFor-time.Millisecond)))
	require.Equal(t, 1.0/3, w.Share(start.Add(end+answersFor)))
	require.Equal(t, start.Add(end), w.UnusedSince())
}

// All entries start at once. What their shares have brought since the last one started is
// there, but no more: the life before of the last one may have held any share until then.
func TestSharesBringNothingBeforeTheLastStart(t *testing.T) {
	w := NewShareVotes(start)
	now := start.Add(300 * time.Millisecond)
	w.Record("c1", ShareVote{Entries: 3, Allowed: true}, 1, now)
	w.RecordReturn("b", false, 350*time.Millisecond, now)
	w.RecordReturn("c", false, 200*time.Millisecond, now)
	require.Equal(t, 1.0/3, w.Share(now))
	require.Equal(t, start.Add(100*time.Millisecond), w.UnusedSince())
}
