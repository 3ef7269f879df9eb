package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
)

// Guards against building the list of live entries for each of hundreds of requests per
// second, and against a digest that does not change with the list.
func TestLiveListIsCached(t *testing.T) {
	listed := 0
	entries := []directory.Entry{{Name: "a"}, {Name: "b"}}
	change := uint64(1)
	l := &liveEntries{entries: func(time.Time) []directory.Entry { listed++; return entries }, lastChange: func() uint64 { return change }}
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

	entries, change = nil, 2
	require.Empty(t, l.current(now.Add(liveListTTL)).names, "a change is listed at once: callers are referred to an entry as soon as it is known")
}
