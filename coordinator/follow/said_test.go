package follow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

func call(life uint64, open int64, counts map[int64]int64) *api.WatchRequest {
	req := &api.WatchRequest{Incarnation: life, OpenWindow: open}
	for w, n := range counts {
		req.Usage = append(req.Usage, api.WindowUsage{Window: w, Counts: map[string]int64{"w": n}})
	}
	return req
}

// A replica is told of a count once, and again when it has grown or when the call in
// which it was told got no answer.
func TestCountsAreToldOnce(t *testing.T) {
	var s said
	first := call(7, 2, map[int64]int64{1: 5, 2: 1})
	s.trim(first)
	require.Len(t, first.Usage, 2)

	again := call(7, 2, map[int64]int64{1: 5, 2: 1})
	s.trim(again)
	require.Len(t, again.Usage, 2, "the first call was not answered")
	s.note(again)

	next := call(7, 2, map[int64]int64{1: 5, 2: 6})
	s.trim(next)
	require.Equal(t, []api.WindowUsage{{Window: 2, Counts: map[string]int64{"w": 6}}}, next.Usage)
	s.note(next)
}

// A replica starts anew and knows nothing. It must be told everything again, or usage of
// the windows before would be missing in its reports when it leads.
func TestNewLifeIsToldEverything(t *testing.T) {
	var s said
	first := call(7, 2, map[int64]int64{1: 5})
	s.trim(first)
	s.note(first)
	anew := call(8, 2, map[int64]int64{1: 5})
	s.trim(anew)
	require.Len(t, anew.Usage, 1)
}

// Windows go by for days. What was told of old ones is not kept.
func TestOldWindowsAreForgotten(t *testing.T) {
	var s said
	for w := range int64(10_000) {
		req := call(7, w, map[int64]int64{w: 1})
		s.trim(req)
		s.note(req)
	}
	require.LessOrEqual(t, len(s.usage), mostWindows+1)
}
