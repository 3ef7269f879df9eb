package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
)

// Some hundred entries each ask once a second which entries there are. The list is made
// a few times a second for all of them, and its digest changes with it.
func TestLiveListIsShared(t *testing.T) {
	made := 0
	entries := []directory.Entry{{Name: "a"}, {Name: "b"}}
	l := &liveEntries{entries: func(time.Time) []directory.Entry { made++; return entries }}
	now := time.Unix(1000, 0)
	first := l.at(now)
	for range 370 {
		require.Equal(t, first, l.at(now.Add(liveFor/2)))
	}
	require.Equal(t, 1, made)
	entries = entries[:1]
	second := l.at(now.Add(liveFor))
	require.Equal(t, []string{"a"}, second.names)
	require.NotEqual(t, first.digest, second.digest)
}
