package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

// newRequest returns a request with usage of one workspace; counts has requests by window.
func newRequest(incarnation uint64, openWindow int64, counts map[int64]int64) *api.WatchRequest {
	req := &api.WatchRequest{Incarnation: incarnation, OpenWindow: openWindow}
	for w, n := range counts {
		req.Usage = append(req.Usage, api.WindowUsage{Window: w, Counts: map[string]int64{"w": n}})
	}
	return req
}

// Guards against lost or repeated usage: a count is sent again if it has grown or if the
// call that carried it got no reply, and otherwise only once.
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

// Guards against usage that a restarted replica never receives: its usage reports would lack
// the earlier windows once it is the leader.
func TestAllUsageIsSentAfterRestart(t *testing.T) {
	var s sentUsage
	first := newRequest(7, 2, map[int64]int64{1: 5})
	s.trimUsage(first)
	s.record(first)
	afterRestart := newRequest(8, 2, map[int64]int64{1: 5})
	s.trimUsage(afterRestart)
	require.Len(t, afterRestart.Usage, 1)
}

// Guards against unbounded memory: records of old windows are dropped.
func TestOldWindowsAreDropped(t *testing.T) {
	var s sentUsage
	for w := range int64(10_000) {
		req := newRequest(7, w, map[int64]int64{w: 1})
		s.trimUsage(req)
		s.record(req)
	}
	require.LessOrEqual(t, len(s.requestsByWindow), maxWindows+1)
}
