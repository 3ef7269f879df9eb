package route

import "time"

// restriction is what a server has said about itself in its answers. It holds for one
// incarnation, and also after the server has been removed and announced again.
type restriction struct {
	incarnation uint64
	leaving     bool      // it is about to end
	pausedUntil time.Time // it wants no requests until then
	recordedAt  time.Time
}

// restrictionTTL is how long the restriction of a server is kept that is not in use. Servers
// that are only unreachable return sooner.
const restrictionTTL = 10 * time.Minute

// Pause keeps requests from a server until a time, because it has turned one away and asked for
// that. It has no effect on a later incarnation, and none if the server has asked for a longer
// pause before.
func (r *Router) Pause(id string, incarnation uint64, until, now time.Time) {
	r.restrict(id, incarnation, now, func(x *restriction) {
		if until.After(x.pausedUntil) {
			x.pausedUntil = until
		}
	})
}

// RecordLeaving keeps requests from a server that has said in an answer that it leaves. Unlike
// MarkLeaving it holds for the rest of the incarnation, whatever is announced.
func (r *Router) RecordLeaving(id string, incarnation uint64, now time.Time) {
	r.restrict(id, incarnation, now, func(x *restriction) { x.leaving = true })
}

// restrict changes the restriction of a server, and applies it unless the server has started
// again.
func (r *Router) restrict(id string, incarnation uint64, now time.Time, change func(*restriction)) {
	x, known := r.restrictions[id]
	switch {
	case known && x.incarnation > incarnation:
		return
	case !known || x.incarnation < incarnation:
		r.expireRestrictions(now)
		x = restriction{incarnation: incarnation}
	}
	x.recordedAt = now
	change(&x)
	r.restrictions[id] = x
	if s := r.server(id); s != nil {
		s.apply(x)
	}
}

// expireRestrictions removes the restrictions of servers that have been gone for long.
func (r *Router) expireRestrictions(now time.Time) {
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

// MaySend reports whether a server that was chosen may still be sent a request: it has not
// started again, been removed, begun to leave or asked for a pause since.
func (r *Router) MaySend(id string, incarnation uint64, now time.Time) bool {
	s := r.server(id)
	return s != nil && s.incarnation == incarnation && s.serving && !s.isPaused(now)
}
