package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a replica that is followed only after the next reading of the seeds, and against
// looking for new ones after each of an entry's many replies a second.
func TestOnlyNewNamesWakeTheFollower(t *testing.T) {
	f := New(Config{}, Deps{Now: func() time.Time { return startTime }, Seeds: func() []string { return nil }})
	woken := func() bool {
		select {
		case <-f.renamed:
			return true
		default:
			return false
		}
	}
	f.recordNames("a", []string{"b", "a"})
	require.True(t, woken())
	require.Equal(t, map[string]bool{"a": true, "b": true}, f.wantedReplicas())
	f.recordNames("a", []string{"a", "b"})
	require.False(t, woken(), "the same in another order")
	f.recordNames("a", []string{"a", "c"})
	require.True(t, woken())
}
