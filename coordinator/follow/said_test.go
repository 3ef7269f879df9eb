package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

func newRequest(incarnation uint64, openWindow int64, counts map[int64]int64) *api.WatchRequest {
	req := &api.WatchRequest{Incarnation: incarnation, OpenWindow: openWindow}
	for w, n := range counts {
		req.Usage = append(req.Usage, api.WindowUsage{Window: w, Counts: map[string]int64{"w": n}})
	}
	return req
}

// A replica is told of a count once, and again when it has grown or when the call in
// which it was told got no answer.
func TestUsageIsSentUntilAnswered(t *testing.T) {
	var s sentUsage
	first := newRequest(7, 2, map[int64]int64{1: 5, 2: 1})
	s.trimUsage(first)
	require.Len(t, first.Usage, 2)

	second := newRequest(7, 2, map[int64]int64{1: 5, 2: 1})
	s.trimUsage(second)
	require.Len(t, second.Usage, 2, "the first call was not answered")
	s.record(second)

	third := newRequest(7, 2, map[int64]int64{1: 5, 2: 6})
	s.trimUsage(third)
	require.Equal(t, []api.WindowUsage{{Window: 2, Counts: map[string]int64{"w": 6}}}, third.Usage)
	s.record(third)
}

// A replica starts anew and knows nothing. It must be told everything again, or usage of
// the windows before would be missing in its reports when it leads.
func TestAllUsageIsSentAfterRestart(t *testing.T) {
	var s sentUsage
	first := newRequest(7, 2, map[int64]int64{1: 5})
	s.trimUsage(first)
	s.record(first)
	afterRestart := newRequest(8, 2, map[int64]int64{1: 5})
	s.trimUsage(afterRestart)
	require.Len(t, afterRestart.Usage, 1)
}

// Windows go by for days. What was told of old ones is not kept.
func TestOldWindowsAreDropped(t *testing.T) {
	var s sentUsage
	for w := range int64(10_000) {
		req := newRequest(7, w, map[int64]int64{w: 1})
		s.trimUsage(req)
		s.record(req)
	}
	require.LessOrEqual(t, len(s.requestsByWindow), maxWindows+1)
}
