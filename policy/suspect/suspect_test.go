package suspect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a request that is taken to crash servers because one server broke off several
// of its attempts, or because of what happened long ago.
func TestDistinctServersCount(t *testing.T) {
	s := NewSet()
	require.Equal(t, 1, s.RecordBreak(7, Server{"a", 1}, epoch))
	require.Equal(t, 1, s.RecordBreak(7, Server{"a", 1}, epoch))
	require.Equal(t, 2, s.RecordBreak(7, Server{"a", 2}, epoch))
	require.Equal(t, 1, s.RecordBreak(8, Server{"a", 2}, epoch))
	require.Equal(t, 3, s.RecordBreak(7, Server{"b", 1}, epoch.Add(TTL)))
	require.Equal(t, 3, s.RecordBreak(7, Server{"c", 1}, epoch.Add(TTL)))
	require.Equal(t, 1, s.RecordBreak(7, Server{"c", 1}, epoch.Add(2*TTL+1)))
	s.Expire(epoch.Add(2*TTL + 1))
	require.False(t, s.Empty())
	s.Expire(epoch.Add(3*TTL + 2))
	require.True(t, s.Empty())
}

// Guards against a request that many callers send and that is not repeated any more, although
// servers answer it.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	s := NewSet()
	for _, id := range []string{"a", "b", "c"} {
		s.RecordBreak(7, Server{id, 1}, epoch)
	}
	require.True(t, s.RecordAnswer(7))
	require.False(t, s.RecordAnswer(7))
	require.True(t, s.Empty())
	require.Equal(t, 1, s.RecordBreak(7, Server{"a", 1}, epoch))
}

// Guards against unbounded memory while servers are lost, and against suspects that are forgotten
// for requests that broke off once.
func TestSuspectsOutlastOthers(t *testing.T) {
	s := NewSet()
	for _, id := range []string{"a", "b", "c"} {
		s.RecordBreak(7, Server{id, 1}, epoch)
	}
	for i := range uint64(2 * maxRequests) {
		s.RecordBreak(100+i, Server{"a", 1}, epoch)
	}
	require.LessOrEqual(t, len(s.requests), maxRequests)
	require.Equal(t, 3, s.RecordBreak(7, Server{"a", 1}, epoch))
}
