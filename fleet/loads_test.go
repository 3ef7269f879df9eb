package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// After a wave six new servers wait for the same weights. Loaded all at once,
// each gets a sixth of the weight store's rate, and callers wait for the first
// server as long as for the last. Two at a time are what the store serves well;
// a new leader counts those that the one before it had begun.
//
// It breaks without Loading in the input of Place, without unfinished, and
// without the commit in load.
func TestModelLoadsArePaced(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	for i := range 6 {
		s.announce(fmt.Sprint("new-", i), "", 8, 0)
	}
	for round := 1; round <= 3; round++ {
		s.failStep = func() bool { return true }
		require.Error(t, s.leader().Step(t.Context())) // lost before anything is in the log
		s.failStep = func() bool { return false }
		for range 2 {
			require.NoError(t, s.leader().Step(t.Context()))
		}
		require.Len(t, s.loadOrders, 2*round)
		for _, addr := range s.loadOrders {
			s.serve(addr[:len("new-0")], 8, 0)
		}
	}
	require.NoError(t, s.leader().Step(t.Context()))
	require.Len(t, s.loadOrders, 6)
	require.Empty(t, s.state.Loads)
}
