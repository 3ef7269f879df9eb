package route

import "time"

// restriction is what a server has said about itself in its answers. It also holds while the
// server is removed, and after it has been announced again.
type restriction struct {
	incarnation uint64
	leaving     bool      // this incarnation is about to end
	pausedUntil time.Time // it wants no requests until then
	recordedAt  time.Time
}

const (
	// restrictionTTL is how long the restriction of a server is kept that is not known.
	// Servers that are only unreachable return sooner.
	restrictionTTL = 10 * time.Minute
	// expireEvery is the minimum interval between looks for expired restrictions, of which
	// there may be thousands.
	expireEvery = time.Minute
	// MaxCarriedPause bounds a pause that outlasts a restart of the server. An answer of the
	// new incarnation may arrive before its announcement, and the two can't be told apart.
	MaxCarriedPause = 10 * time.Second
)

// Pause keeps requests from a server until a time, because it has turned one away and asked for
// that, unless it has asked for a longer pause before.
func (r *Router) Pause(id string, incarnation uint64, until, now time.Time) {
	r.expireRestrictions(now)
	x := r.restrictionFor(id, incarnation, now)
	if x.incarnation > incarnation {
		until = earlier(until, now.Add(MaxCarriedPause))
	}
	if until.After(x.pausedUntil) {
		x.pausedUntil = until
	}
	r.restrict(id, x, now)
}

// RecordLeaving keeps requests from a server that has said in an answer that it leaves. Unlike
// MarkLeaving it holds for the rest of the incarnation, whatever is announced.
func (r *Router) RecordLeaving(id string, incarnation uint64, now time.Time) {
	r.expireRestrictions(now)
	x := r.restrictionFor(id, incarnation, now)
	if x.incarnation == incarnation {
		x.leaving = true
	}
	r.restrict(id, x, now)
}

// restrictionFor returns the restriction of a server for an incarnation, or for the one that is
// known by now if that is later.
func (r *Router) restrictionFor(id string, incarnation uint64, now time.Time) restriction {
	if s := r.server(id); s != nil {
		incarnation = max(incarnation, s.incarnation)
	}
	x := r.restrictions[id]
	if x.incarnation < incarnation {
		return restriction{incarnation: incarnation, pausedUntil: earlier(x.pausedUntil, now.Add(MaxCarriedPause))}
	}
	return x
}

func (r *Router) restrict(id string, x restriction, now time.Time) {
	x.recordedAt = now
	r.restrictions[id] = x
	if s := r.server(id); s != nil {
		s.apply(x)
	}
}

// applyRestriction applies the restriction of a server that has been announced.
func (r *Router) applyRestriction(s *server, now time.Time) {
	x, restricted := r.restrictions[s.id]
	if !restricted {
		return
	}
	if x.incarnation < s.incarnation {
		r.restrict(s.id, r.restrictionFor(s.id, s.incarnation, now), now)
		return
	}
	s.apply(x)
}

// expireRestrictions removes the restrictions of servers that have been gone for long.
func (r *Router) expireRestrictions(now time.Time) {
	if now.Sub(r.restrictionsExpired) < expireEvery {
		return
	}
	r.restrictionsExpired = now
	for id, x := range r.restrictions {
		if now.Sub(x.recordedAt) > restrictionTTL && !now.Before(x.pausedUntil) && r.server(id) == nil {
			delete(r.restrictions, id)
		}
	}
}

// server returns the state of a server, or nil if it is not known.
func (r *Router) server(id string) *server {
	slot, ok := r.index.slotByID[id]
	if !ok || slot >= len(r.servers) || r.servers[slot].id == "" {
		return nil
	}
	return &r.servers[slot]
}

// apply applies a restriction to the incarnation that it belongs to.
func (s *server) apply(x restriction) {
	if s.incarnation != x.incarnation {
		return
	}
	s.serving = s.serving && !x.leaving
	s.pausedUntil = x.pausedUntil
	s.paused = !x.pausedUntil.IsZero()
}

// isPaused reports whether the server wants no requests at now.
func (s *server) isPaused(now time.Time) bool {
	return s.paused && now.Before(s.pausedUntil)
}

// PausedFor returns how long no server may run the request because all that could have asked for
// a pause; 0 if some server may, or none could.
func (r *Router) PausedFor(req *Request) time.Duration {
	r.assessServers(req.Now)
	t := r.computeWeights(req)
	if t.weightedSlots > 0 {
		return 0
	}
	v := t.refusal(req.Now)
	return v.RetryAfter
}

// MaySend reports whether a server that was chosen may still be sent a request: since then it has
// not begun to leave, left, started again, become unreachable or asked for a pause.
func (r *Router) MaySend(id string, incarnation uint64, now time.Time) bool {
	x := r.restrictions[id]
	if now.Before(x.pausedUntil) || x.leaving && x.incarnation == incarnation {
		return false
	}
	s := r.server(id)
	return s != nil && s.incarnation == incarnation && s.serving
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
