package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/request"
)

// pause pauses the first incarnation of a server.
func (l *testLane) pause(server string, d time.Duration) {
	now := l.clock.now()
	l.restrict(server, notice{incarnation: 1, pausedUntil: now.Add(d)}, now)
}

// takeRefusal returns the problem with which the ticket was refused, or nil.
func takeRefusal(k *ticket) *request.Problem {
	select {
	case d := <-k.decision:
		return d.problem
	default:
		return nil
	}
}

// Guards against waiting requests that are sent to a server in its pause, or not sent after it,
// or wait for a pause that ends after their latest start.
func TestWaitingRequestsWhileTheServerPauses(t *testing.T) {
	l := newTestLane(t)
	l.announce(l.server("a", 1, 0), l.clock.now())
	first, _ := l.submitRequest("x", time.Minute)
	running := takeGrant(t, first)
	require.NotNil(t, running)
	patient, _ := l.submitRequest("x", time.Minute)
	urgent, _ := l.submitRequest("x", 2*time.Second)
	l.pause("a", 3*time.Second)
	p := takeRefusal(urgent)
	require.NotNil(t, p)
	require.Equal(t, request.CodeNoServer, p.Code)
	require.InDelta(t, 3.4, p.RetryAfter.Seconds(), 0.4)
	running.finished(100)
	l.clock.advance(2900 * time.Millisecond)
	l.tick()
	require.Empty(t, patient.decision)
	l.clock.advance(200 * time.Millisecond)
	l.tick()
	require.NotNil(t, takeGrant(t, patient))
	require.Empty(t, l.lane.tickets)
	require.Zero(t, l.queue.Len())
}

// Guards against requests that wait for their deadlines because the last server that didn't
// pause has gone.
func TestWaitingRequestsWhenOnlyPausedServersRemain(t *testing.T) {
	l := newTestLane(t)
	for _, id := range []string{"a", "b"} {
		l.announce(l.server(id, 1, 1), l.clock.now())
	}
	k, p := l.submitRequest("x", 10*time.Second)
	require.Nil(t, p)
	l.pause("a", time.Minute)
	require.Empty(t, k.decision, "b may become free")
	l.remove("b")
	l.tick()
	require.NotNil(t, takeRefusal(k))
}

// Guards against counting the slots of a paused server as free: the others would get its share
// of the queue at once, and more requests than they have slots.
func TestPausedServersSlotsAreNotFree(t *testing.T) {
	l := newTestLane(t)
	for _, id := range []string{"a", "b"} {
		l.announce(l.server(id, 2, 0), l.clock.now())
	}
	l.clock.advance(time.Minute) // after their slow start
	for _, id := range []string{"a", "b"} {
		l.announce(l.server(id, 2, 0), l.clock.now())
	}
	l.pause("a", time.Minute)
	granted := 0
	for range 4 {
		k, p := l.submitRequest("x", 30*time.Second)
		require.Nil(t, p)
		if g := takeGrant(t, k); g != nil {
			require.Equal(t, "b", g.verdict.Server)
			granted++
		}
	}
	require.Equal(t, 2, granted)
}
