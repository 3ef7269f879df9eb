package entry

import (
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/request"
)

// restrict applies a notice of a server, which need not be in the lane.
func (l *lane) restrict(server string, x notice, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x.pausedUntil.After(now) {
		l.router.Pause(server, x.incarnation, x.pausedUntil, now)
		l.lastPauseEnd = later(l.lastPauseEnd, x.pausedUntil)
	}
	if x.leaving {
		l.router.RecordLeaving(server, x.incarnation, now)
		if l.serving[server] == x.incarnation {
			delete(l.serving, server)
		}
	}
	l.refusePaused(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pauseFor returns how long no server may take the request because all that could have asked
// for a pause, or 0. The lock is held.
func (l *lane) pauseFor(t *ticket, now time.Time) time.Duration {
	if !now.Before(l.lastPauseEnd) {
		return 0
	}
	t.route.Now, t.route.Exclude = now, l.avoidedServers
	return l.router.PausedFor(&t.route)
}

// refusePaused refuses the waiting requests whose servers all pause until after their latest
// start. The lock is held.
func (l *lane) refusePaused(now time.Time) {
	if !now.Before(l.lastPauseEnd) {
		return
	}
	type kind struct{ version, adapter string } // of requests that the same servers can run
	pauses := map[kind]time.Duration{}
	for id, t := range l.tickets {
		k := kind{t.route.Version, t.route.Adapter}
		pause, known := pauses[k]
		if !known {
			pause = l.pauseFor(t, now)
			pauses[k] = pause
		}
		if pause > 0 && now.Add(pause).After(t.latestStart) {
			l.queue.Remove(id)
			l.refuse(id, l.pausedProblem(pause))
		}
	}
}

// endlessPause returns the problem of a request that has lost its server and whose other
// servers all pause beyond its deadline, or nil.
func (l *lane) endlessPause(t *ticket) *request.Problem {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if pause := l.pauseFor(t, now); pause > 0 && now.Add(pause).After(t.request.Deadline) {
		return l.pausedProblem(pause)
	}
	return nil
}

// pauseSpread is the maximum relative jitter of the Retry-After while all servers pause, so that
// callers don't all return at once.
const pauseSpread = 0.25

// pausedProblem returns the problem of a request while all its servers pause. The pause is this
// entry's, and may be long; the wait stays within the bounds of admit.Config.
func (l *lane) pausedProblem(pause time.Duration) *request.Problem {
	cfg := admit.DefaultConfig()
	wait := time.Duration(float64(pause) * (1 + pauseSpread*rand.Float64()))
	wait = min(max(wait, cfg.MinRetryAfter), cfg.MaxRetryAfter)
	return request.NewProblem(request.CodeNoServer, request.NotRun, "all backend servers of %s have asked for a pause", l.key.name).After(wait)
}
