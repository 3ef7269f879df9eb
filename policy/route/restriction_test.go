package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// restrictedServer is what a property test knows of a server.
type restrictedServer struct {
	incarnation uint64
	sequence    uint64
	pausedUntil time.Time
	leaving     bool
}

// Guards against a choice of a server within the pause that it has asked for, or after it has
// said that it leaves, whatever is announced, removed, probed or excluded in between, and
// against one that stays out of the choice after its pause, or that leaves no longer after a restart.
func TestRestrictedServerIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.SlowStart = 0
		r, err := New(cfg)
		require.NoError(t, err)
		now := time.Unix(1_700_000_000, 0)
		servers := map[string]*restrictedServer{}
		announce := func(id string) {
			s := servers[id]
			s.sequence++
			r.Announce(&instance.Announcement{ID: id, Incarnation: s.incarnation, Sequence: s.sequence, State: instance.StateServing, Slots: 4}, now, now)
		}
		for i := range 3 {
			id := fmt.Sprint("s", i)
			servers[id] = &restrictedServer{incarnation: 1}
			announce(id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "server"))
			s := servers[id]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				announce(id)
			case 1:
				r.Remove(id)
				announce(id)
			case 2: // it starts again
				*s = restrictedServer{incarnation: s.incarnation + 1, pausedUntil: earlier(s.pausedUntil, now.Add(MaxCarriedPause))}
				announce(id)
			case 3:
				until := now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
				r.Pause(id, s.incarnation, until, now)
				if until.After(s.pausedUntil) {
					s.pausedUntil = until
				}
			case 4: // the answer of an earlier incarnation arrives late
				r.Pause(id, s.incarnation-1, now.Add(time.Hour), now)
				if until := now.Add(MaxCarriedPause); until.After(s.pausedUntil) {
					s.pausedUntil = until
				}
				r.RecordLeaving(id, s.incarnation-1, now)
			case 5:
				r.RecordLeaving(id, s.incarnation, now)
				s.leaving = true
			case 6:
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "time")) * time.Millisecond)
			default:
				requireChoiceHeedsRestrictions(t, r, servers, now)
			}
		}
		requireChoiceHeedsRestrictions(t, r, servers, now)
	})
}

// requireChoiceHeedsRestrictions makes a choice, fails on its server, so that later choices probe, and
// checks the verdict.
func requireChoiceHeedsRestrictions(t *rapid.T, r *Router, servers map[string]*restrictedServer, now time.Time) {
	req := &Request{Now: now, Seed: rapid.Uint64().Draw(t, "seed"), Key: rapid.Uint64().Draw(t, "key")}
	v := r.Choose(req)
	var free []string
	anyPaused := false
	for id, s := range servers {
		paused := now.Before(s.pausedUntil) && !s.leaving
		if !paused && !s.leaving {
			free = append(free, id)
		}
		anyPaused = anyPaused || paused
		require.Equal(t, !paused && !s.leaving, r.MaySend(id, s.incarnation, now), id)
		pinned := r.ChooseServer(req, id)
		require.Equal(t, !paused && !s.leaving, pinned.OK(), id)
	}
	if len(free) == 0 {
		require.False(t, v.OK())
		require.Equal(t, anyPaused, v.Reason == ReasonAllPaused)
		require.Equal(t, anyPaused, v.RetryAfter > 0)
		return
	}
	require.Contains(t, free, v.Server)
	a := r.Started(&v, now)
	r.Failed(&a, now)
}

// Guards against a request that was chosen for a server before it left and is sent after: a server that
// has left altogether, or has started again, is another one than the request was chosen for.
func TestChoiceEndsWithItsServer(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, happens := range map[string]func(r *Router){
		"it leaves":       func(r *Router) { r.MarkLeaving("s1", 1) },
		"it is removed":   func(r *Router) { r.Remove("s1") },
		"it starts again": func(r *Router) { r.Announce(announcement("s1", 2, 1), now, now) },
	} {
		r, err := New(DefaultConfig())
		require.NoError(t, err)
		r.Announce(announcement("s1", 1, 1), now, now)
		v := r.Choose(&Request{Now: now, Seed: 1})
		require.True(t, v.OK())
		require.True(t, r.MaySend(v.Server, v.Incarnation, now))
		happens(r)
		require.False(t, r.MaySend(v.Server, v.Incarnation, now), name)
	}
}
