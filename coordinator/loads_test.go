package coordinator

import (
	"strconv"
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
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 2, Prefill: 500}}, b.loadOfOthers("e1", now))
	b.record("e1", []api.ServerLoad{{Server: "s1", Running: 4}}, now.Add(2*time.Second))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.loadOfOthers("e2", now))
	b.expire(now.Add(4 * time.Second))
	require.Empty(t, b.loadOfOthers("e1", now))
	require.Equal(t, []api.ServerLoad{{Server: "s1", Running: 4}}, b.loadOfOthers("e3", now))
}

// Guards against replies that list the load of thousands of servers to each of hundreds of
// entries once a second, and against leaving out the servers that a request should avoid.
func TestOnlyMostLoadedServersAreReported(t *testing.T) {
	b := newLoadTable()
	now := time.Unix(0, 0)
	var loads []api.ServerLoad
	for i := range 3000 {
		loads = append(loads, api.ServerLoad{Server: strconv.Itoa(i), Running: 1})
	}
	loads[1234].Running, loads[2345].Prefill = 9, 50_000
	b.record("e1", loads, now)
	reported := b.loadOfOthers("e2", now)
	require.Len(t, reported, maxReportedLoads)
	require.Equal(t, []api.ServerLoad{{Server: "1234", Running: 9}, {Server: "2345", Running: 1, Prefill: 50_000}}, reported[:2])
}
