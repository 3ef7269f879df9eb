package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against loading the model on all new servers at once: six concurrent loads
// would share the weight store's throughput, and callers would wait for the first
// server as long as for the last. A new leader counts the loads in progress.
//
// Fails without LoadsInProgress in the input of Place, without unfinishedLoads, and
// without the commit in placeModels.
func TestModelLoadsArePaced(t *testing.T) {
	s, closeSite := newSite(t)
	defer closeSite()
	for i := range 6 {
		s.announce(fmt.Sprint("new-", i), "", 8, 0)
	}
	for round := 1; round <= 3; round++ {
		s.failStep = func() bool { return true }
		require.Error(t, s.leader().Step(t.Context())) // fails before the load is committed
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
