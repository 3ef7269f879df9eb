package serverlimit

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/policy/throttle"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var server = throttle.Server{ID: "s", Incarnation: 1}

// newLimits returns Limits whose requests for tokens get the replies in turn, and fail after them.
func newLimits(now *time.Time, replies ...throttle.Reply) (l *Limits, asked *int) {
	asked = new(int)
	return New("e", func(context.Context, throttle.Request) (throttle.Reply, error) {
		if *asked++; *asked > len(replies) {
			return throttle.Reply{}, errors.New("no reply")
		}
		return replies[*asked-1], nil
	}, func() time.Time { return *now }), asked
}

// Guards against requests that pass by a limit, or that ask control for each one of many.
func TestEachSendTakesToken(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l, asked := newLimits(&now, throttle.Reply{Granted: 2}, throttle.Reply{After: time.Second})
	require.True(t, l.Acquire(t.Context(), server) && l.Spend(server), "without a limit")
	require.Zero(t, *asked)
	require.True(t, l.Named(server, 2))
	require.False(t, l.Spend(server))
	for range 2 {
		require.True(t, l.Acquire(t.Context(), server))
		require.True(t, l.Spend(server))
	}
	require.Equal(t, 1, *asked)
	require.False(t, l.Acquire(t.Context(), server))
	require.False(t, l.Spend(server))
	servers, first := l.Waiting()
	require.Equal(t, []string{"s"}, servers)
	require.Equal(t, time.Second, first)
	now = now.Add(time.Second)
	servers, _ = l.Waiting()
	require.Empty(t, servers)
	require.False(t, l.Acquire(t.Context(), server), "control does not reply")
	_, first = l.Waiting()
	require.Equal(t, retryDelay, first)
}

// Guards against a limit that outlasts the server's need, or ends with an answer from before.
func TestLimitEndsWithAnswerThatNamesNone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l, _ := newLimits(&now)
	l.Named(server, 1)
	l.NotNamed(server, now.Add(-time.Second))
	require.False(t, l.Spend(server))
	l.NotNamed(server, now.Add(time.Second))
	require.True(t, l.Spend(server))
}
