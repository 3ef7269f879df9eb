package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/throttle"
)

// Guards against a replica that grants tokens of a server without leading, or once more in another
// term what it granted before.
func TestServerTokensNeedTheLease(t *testing.T) {
	lease, now := &fakeLease{terms: []int64{3}}, time.Unix(1_700_000_000, 0)
	tokens := newServerTokens(lease, func() time.Time { return now })
	grant := func() (int, error) {
		r, err := tokens.grant(t.Context(), link.PeerInfo{}, throttle.Request{Server: throttle.Server{ID: "s"}, Limit: 4, Entry: "a", Want: 10})
		return r.Granted, err
	}
	n, err := grant()
	require.NoError(t, err)
	require.Zero(t, n)
	now = now.Add(time.Second)
	n, _ = grant()
	require.Equal(t, 2, n)
	now = now.Add(time.Second)
	lease.terms = []int64{-3}
	_, err = grant()
	require.ErrorIs(t, err, errNotLeader)
	lease.terms = []int64{3, 5}
	_, err = grant()
	require.ErrorIs(t, err, errNotLeader, "another term began meanwhile")
	n, _ = grant()
	require.Zero(t, n)
}
