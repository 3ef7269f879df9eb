package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Entries are added while others have a share of the limits. A new one has none until each
// of the others has said that its own share is small enough.
func TestNewEntryWaitsForTheOthers(t *testing.T) {
	r := NewRoster(start, true)
	r.Note("a", 0, start)
	require.Equal(t, Word{Entries: 1, Allowed: true}, r.Word("a", start))
	r.Note("a", 1, start)
	r.Note("b", 0, start)
	require.Equal(t, Word{Entries: 2}, r.Word("b", start))
	require.Equal(t, Word{Entries: 2, Allowed: true}, r.Word("a", start))
	r.Note("a", 2, start)
	require.Equal(t, Word{Entries: 2, Allowed: true}, r.Word("b", start))
}

// An entry is cut off and goes on with its share. The others must not have it meanwhile.
func TestEntryThatIsCutOffIsCounted(t *testing.T) {
	r := NewRoster(start, true)
	r.Note("a", 2, start)
	r.Note("b", 2, start)
	word := func(after time.Duration) Word {
		r.Note("a", 2, start.Add(after))
		return r.Word("a", start.Add(after))
	}
	require.Equal(t, 2, word(SharesKept).Entries)
	require.Equal(t, 1, word(SharesKept+time.Second).Entries)
}

// An entry starts again at once. It keeps its place, and needs not wait for the others.
func TestEntryThatStartsAgainKeepsItsShare(t *testing.T) {
	r := NewRoster(start, true)
	for _, name := range []string{"a", "b"} {
		r.Note(name, 0, start)
		r.Word(name, start)
		r.Note(name, 2, start)
	}
	require.True(t, r.Word("b", start).Allowed)
	r.Note("b", 0, start.Add(time.Second))
	require.Equal(t, Word{Entries: 2, Allowed: true}, r.Word("b", start.Add(time.Second)))
}

// settled returns the words of an entry that started long ago.
func settled(now time.Time) *Words { return NewWords(now.Add(-time.Minute)) }

// An entry is in touch with a few replicas only, which are cut off from the others. Its
// share may be given to the rest, so it uses none.
func TestShareNeedsMostReplicas(t *testing.T) {
	w := settled(start)
	w.Take("c1", Word{Entries: 4, Allowed: true}, 5, start)
	w.Take("c2", Word{Entries: 4, Allowed: true}, 5, start)
	require.Zero(t, w.Part(start))
	w.Take("c3", Word{Entries: 3, Allowed: false}, 5, start)
	require.Zero(t, w.Part(start))
	w.Take("c4", Word{Entries: 3, Allowed: true}, 5, start)
	require.Equal(t, 0.25, w.Part(start), "the highest count of entries")
}

// A replica starts anew and has heard of few entries. The entry does not take a larger share
// for it.
func TestReplicaThatKnowsFewEntries(t *testing.T) {
	w := settled(start)
	for _, replica := range []string{"c1", "c2", "c3"} {
		w.Take(replica, Word{Entries: 6, Allowed: true}, 3, start)
	}
	require.Equal(t, 1.0/6, w.Part(start))
	w.Take("c1", Word{Entries: 1, Allowed: true}, 3, start)
	require.Equal(t, 1.0/6, w.Part(start))
	w.Take("c2", Word{}, 3, start)
	require.Equal(t, 1.0/6, w.Part(start))
}

// All control replicas are out of reach. The entry goes on with its share, and gives it up
// before it may be given to others.
func TestShareEndsWithoutTheReplicas(t *testing.T) {
	w := settled(start)
	w.Take("c1", Word{Entries: 2, Allowed: true}, 1, start)
	require.Equal(t, 0.5, w.Part(start.Add(shareFor)))
	require.Zero(t, w.Part(start.Add(shareFor+time.Second)))
	require.Less(t, shareFor+LendTime(1000), SharesKept)
}

// A share becomes smaller while the larger one is lent. The replicas are told of the smaller
// one only when the lease has ended: a new entry would have its share too soon.
func TestLargerShareIsInUseUntilItsLeaseEnds(t *testing.T) {
	w := settled(start)
	take := func(entries int, after time.Duration) int {
		w.Take("c1", Word{Entries: entries, Allowed: true}, 1, start.Add(after))
		w.Part(start.Add(after))
		return w.InUse()
	}
	require.Equal(t, 2, take(2, 0))
	require.Equal(t, 2, take(3, time.Second))
	require.Equal(t, 2, take(3, time.Second+LendTime(3)))
	require.Equal(t, 3, take(3, time.Second+LendTime(3)+time.Millisecond))
	require.Equal(t, 2, take(2, time.Minute), "a larger one is in use at once")
}

// An entry dies right after it has lent its share, and starts again. It uses the share once
// the keeper has given it back, or the lease has ended; both would use it otherwise.
func TestNewLifeWaitsForWhatWasLent(t *testing.T) {
	w := NewWords(start)
	w.Take("c1", Word{Entries: 3, Allowed: true}, 1, start)
	require.Zero(t, w.Part(start))
	w.Returned("b", false, time.Hour, start)
	require.Zero(t, w.Part(start))
	w.Returned("c", true, time.Hour, start.Add(50*time.Millisecond))
	require.Equal(t, 1.0/3, w.Part(start.Add(60*time.Millisecond)))
	require.Equal(t, start.Add(50*time.Millisecond), w.FreeSince(), "it was in use until then")

	w = NewWords(start)
	w.Take("c1", Word{Entries: 3, Allowed: true}, 1, start)
	w.Returned("b", false, time.Hour, start)
	end := LendTime(3) + lendSlack
	require.Zero(t, w.Part(start.Add(end+answersFor-time.Millisecond)))
	require.Equal(t, 1.0/3, w.Part(start.Add(end+answersFor)))
	require.Equal(t, start.Add(end), w.FreeSince())
}

// All entries start at once. What their shares have brought since the last one started is
// there, but no more: the life before of the last one may have held any share until then.
func TestSharesBringNothingBeforeTheLastStart(t *testing.T) {
	w := NewWords(start)
	now := start.Add(300 * time.Millisecond)
	w.Take("c1", Word{Entries: 3, Allowed: true}, 1, now)
	w.Returned("b", false, 350*time.Millisecond, now)
	w.Returned("c", false, 200*time.Millisecond, now)
	require.Equal(t, 1.0/3, w.Part(now))
	require.Equal(t, start.Add(100*time.Millisecond), w.FreeSince())
}
