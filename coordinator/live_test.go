package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
)

// Some hundred entries each ask once a second which entries there are. The list is made
// a few times a second for all of them, and its digest changes with it.
func TestLiveListIsCached(t *testing.T) {
	listed := 0
	entries := []directory.Entry{{Name: "a"}, {Name: "b"}}
	l := &liveEntries{entries: func(time.Time) []directory.Entry { listed++; return entries }}
	now := time.Unix(1000, 0)
	first := l.current(now)
	for range 370 {
		require.Equal(t, first, l.current(now.Add(liveListTTL/2)))
	}
	require.Equal(t, 1, listed)
	entries = entries[:1]
	second := l.current(now.Add(liveListTTL))
	require.Equal(t, []string{"a"}, second.names)
	require.NotEqual(t, first.digest, second.digest)
}
