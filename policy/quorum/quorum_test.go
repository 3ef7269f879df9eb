package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func view(self, index uint64, voters ...uint64) View {
	return View{Self: self, Index: index, Voters: voters}
}

// Guards against a majority that is counted against replicas which are gone, or that replicas which
// were replaced complete.
func TestMajorityIsOfTheNewestVoters(t *testing.T) {
	before, after := []uint64{1, 2, 3}, []uint64{2, 3, 4}
	old := []View{view(1, 5, before...), view(2, 5, before...)}
	require.True(t, Majority(old, nil))
	require.False(t, Majority(old, []View{view(4, 9, after...)}), "replica 1 was replaced")
	require.False(t, Majority(append(old, view(4, 9, after...))[:2], []View{view(4, 9, after...)}))
	require.True(t, Majority(append(old, view(4, 9, after...)), nil), "2 and 4 of three")
	require.False(t, Majority([]View{view(2, 5, before...), view(2, 5, before...)}, nil), "the same replica twice")
	require.False(t, Majority([]View{view(0, 0)}, nil), "no voters are known")
}

// Guards against a confirmation that counts for longer than the calls of a majority are old.
func TestConfirmedAtIsThatOfAMajority(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	voters := []uint64{1, 2, 3, 4, 5}
	replies := []Reply{{view(1, 5, voters...), at(9)}, {view(2, 5, voters...), at(3)}}
	require.Zero(t, ConfirmedAt(replies, nil))
	replies = append(replies, Reply{view(3, 5, voters...), at(7)}, Reply{view(4, 5, voters...), at(1)})
	require.Equal(t, at(3), ConfirmedAt(replies, nil))
	require.Zero(t, ConfirmedAt(replies, []View{view(6, 8, 3, 4, 5, 6, 7)}), "3 and 4 of five")
	replies = append(replies, Reply{view(6, 8, 2, 3, 4, 5, 6), at(9)})
	require.Equal(t, at(3), ConfirmedAt(replies, nil), "6, 3, 2; replica 1 was replaced")
}
