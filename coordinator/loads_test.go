package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

// Guards against including an entry's own load in its reply, and against counting the
// load of an entry that has stopped.
func TestLoadTable(t *testing.T) {
	b := newLoadTable()
	now := time.Unix(0, 0)
	b.record("e1", []api.ServerLoad{{Server: "s1", Running: 3}, {Server: "s2", Running: 1}}, now)
	b.record("e2", []api.ServerLoad{{Server: "s1", Running: 2, Prefill: 500}}, now)
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 2, Prefill: 500}}, b.loadOfOthers("e1"))
	b.record("e1", []api.ServerLoad{{Server: "s1", Running: 4}}, now.Add(2*time.Second))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.loadOfOthers("e2"))
	b.expire(now.Add(4 * time.Second))
	require.Empty(t, b.loadOfOthers("e1"))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.loadOfOthers("e3"))
}
