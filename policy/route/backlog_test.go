package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// newIdleRouter returns a Router with idle servers past their slow start, and the time.
func newIdleRouter(t *testing.T, servers int) (*Router, time.Time) {
	r, err := New(DefaultConfig())
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	for i := range servers {
		r.Announce(&instance.Announcement{ID: fmt.Sprint("s", i), Incarnation: 1, Sequence: 1, Slots: 64, State: instance.StateServing}, now, now)
	}
	return r, now.Add(time.Minute) // past SlowStart
}

// Prompt tokens that other entries report on a server must count until they are read, and no
// longer. Otherwise short requests queue behind a long prompt, or avoid an idle server.
func TestReportedPromptTokensDrain(t *testing.T) {
	r, now := newIdleRouter(t, 4)
	r.Announce(&instance.Announcement{
		ID: "s2", Incarnation: 1, Sequence: 2, Slots: 64, State: instance.StateServing, Load: instance.Load{Prefill: 50_000},
	}, now, now)
	chosen := func(at time.Time) (n int) {
		for i := range 400 {
			if v := r.Choose(&Request{Now: at, Seed: uint64(i), PromptTokens: 300}); v.Server == "s2" {
				n++
			}
		}
		return n
	}
	require.Zero(t, chosen(now.Add(100*time.Millisecond)))
	readTime := time.Duration(50_000 / r.PrefillRate() * float64(time.Second))
	require.Greater(t, chosen(now.Add(readTime)), 50, "the reported prompt has been read")
}

// A server is removed while it runs a request and announced again in the same incarnation.
// The end of the old request must not make its new counts negative, which would attract the
// requests of all callers. Fails without server.registration.
func TestReaddedServerIgnoresOldAttempt(t *testing.T) {
	r, now := newIdleRouter(t, 1)
	v := r.Choose(&Request{Now: now, PromptTokens: 20_000})
	require.True(t, v.OK())
	a := r.Started(&v, now)
	r.Remove("s0")
	r.Announce(&instance.Announcement{ID: "s0", Incarnation: 1, Sequence: 2, Slots: 64, State: instance.StateServing}, now, now)
	r.Finished(&a, now.Add(time.Second))
	s := &r.servers[0]
	require.Zero(t, r.queuedTokens(s, now))
	require.Zero(t, s.ownRequests)
	require.Zero(t, s.health.pendingRequests)
}
