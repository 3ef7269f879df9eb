package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a percentage that changes back and forth: with twice the garbage a busy process
// has half the collections, which must not make it count as idle.
func TestBusyProcessStaysBusyWithFewerCollections(t *testing.T) {
	require.Equal(t, idleGCPercent, gcPercent(idleGCPercent, busyCycles-1))
	require.Equal(t, busyGCPercent, gcPercent(idleGCPercent, busyCycles))
	require.Equal(t, busyGCPercent, gcPercent(busyGCPercent, busyCycles/2))
	require.Equal(t, idleGCPercent, gcPercent(busyGCPercent, busyCycles/2-1))
}
