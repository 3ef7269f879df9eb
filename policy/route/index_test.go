package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// Cache events arrive late, duplicated or not at all, and a listing may be older than the
// last events. An index that reports itself complete must match the server's cache;
// otherwise each turn of a conversation has a late first token. Fails without the replay of
// buffered events in Replace.
func TestCompleteIndexMatchesServerCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewPrefixIndex()
		cached := map[uint64]bool{}
		listings := []Listing{{Incarnation: 1}}
		var sent []instance.CacheEvent
		for sequence := uint64(1); sequence <= 80; sequence++ {
			e := instance.CacheEvent{Sequence: sequence, Prefix: rapid.Uint64Range(0, 9).Draw(t, "prefix"), Stored: rapid.Bool().Draw(t, "stored"), Tokens: 5}
			cached[e.Prefix] = e.Stored
			sent = append(sent, e)
			listings = append(listings, listingOf(cached, sequence))
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue
			}
			if x.Apply("s", 1, e) == Gap {
				age := rapid.IntRange(0, min(3, len(listings)-1)).Draw(t, "age")
				x.Replace("s", listings[len(listings)-1-age])
			}
			if rapid.IntRange(0, 5).Draw(t, "doubled") == 0 {
				x.Apply("s", 1, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
			}
			if x.Complete("s") && x.servers[0].sequence == sequence {
				for prefix, stored := range cached {
					_, ok := x.servers[0].prefixes[prefix]
					require.Equal(t, stored, ok, "prefix %d after event %d", prefix, sequence)
				}
			}
		}
		x.Remove("s")
		require.Zero(t, x.Len())
	})
}

func listingOf(cached map[uint64]bool, sequence uint64) Listing {
	l := Listing{Incarnation: 1, Sequence: sequence}
	for prefix, stored := range cached {
		if stored {
			l.Prefixes = append(l.Prefixes, CachedPrefix{prefix, 5})
		}
	}
	return l
}

// A server caches more prefixes than the index holds. The index must retain the newest, which
// are those of current conversations. Fails without dropOldest.
func TestIndexDropsOldestPrefixes(t *testing.T) {
	x := NewPrefixIndex()
	const stored = 5 * maxServerPrefixes
	for i := range uint64(stored) {
		x.Apply("s", 1, instance.CacheEvent{Sequence: 2*i + 1, Prefix: i, Stored: true, Tokens: 9})
		evicted := instance.CacheEvent{Sequence: 2*i + 2, Prefix: i, Stored: i%3 > 0, Tokens: 9}
		x.Apply("s", 1, evicted)
	}
	require.LessOrEqual(t, x.Len(), maxServerPrefixes)
	require.LessOrEqual(t, len(x.servers[0].storeOrder), 2*maxServerPrefixes)
	require.Contains(t, x.prefixes, uint64(stored-1))
}

// A server restarts under its old id with an empty cache. Late events of the old process must
// not add its prefixes again.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	x := NewPrefixIndex()
	require.Equal(t, Applied, x.Apply("s", 1, instance.CacheEvent{Sequence: 1, Prefix: 7, Stored: true, Tokens: 9}))
	require.Equal(t, Gap, x.Apply("s", 2, instance.CacheEvent{Sequence: 2, Prefix: 8, Stored: true, Tokens: 9}))
	require.Equal(t, Duplicate, x.Apply("s", 1, instance.CacheEvent{Sequence: 2, Prefix: 7, Stored: true, Tokens: 9}))
	tokens := make([]int32, 1)
	x.match([]uint64{7}, tokens)
	require.Zero(t, tokens[0])
	x.match([]uint64{7, 8}, tokens)
	require.EqualValues(t, 9, tokens[0])
}
