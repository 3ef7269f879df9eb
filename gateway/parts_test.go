package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/wallclock"
)

// A stream arrives in arbitrary chunks. A lost, reordered or split event, or a wrong last
// id, would corrupt a resumed stream.
func TestStreamIsSplitIntoWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "events")
		text := eventsText(n) + rapid.SampledFrom([]string{"", "id: 99\nda"}).Draw(t, "rest")
		var splitter eventSplitter
		var out strings.Builder
		last := ""
		for rest := text; rest != ""; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			whole, id, err := splitter.add([]byte(rest[:size]))
			require.NoError(t, err)
			out.Write(whole)
			if id != "" {
				last = id
			}
			rest = rest[size:]
		}
		require.Equal(t, eventsText(n), out.String())
		require.Equal(t, string(rune('0'+n)), last)
		require.Equal(t, text == eventsText(n), splitter.atBoundary())
	})
}

func TestUsageIsCountedPerWindow(t *testing.T) {
	elapsed := time.Duration(0)
	wall := time.Unix(1_700_000_001, 0)
	u := newUsage(wallclock.New(func() time.Time { return wall.Add(elapsed) }, func() time.Duration { return elapsed }), 5*time.Second, 6)
	u.recordStart("w")
	u.recordStart("")
	elapsed = 5 * time.Second
	u.recordStart("w")
	u.recordStart("v")
	report, open := u.report()
	require.Len(t, report, 2)
	require.Equal(t, report[1].Window, open)
	require.Equal(t, int64(1_700_000_001/5), report[0].Window)
	require.Equal(t, map[string]int64{"w": 1}, report[0].Counts)
	require.Equal(t, map[string]int64{"w": 1, "v": 1}, report[1].Counts)
}
