package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
)

const (
	// maxPlacesAsked bounds the servers that a request asks for a place before it waits.
	maxPlacesAsked = 3
	// minPlaceWait and maxPlaceWait bound the time until a request asks again.
	minPlaceWait = 10 * time.Millisecond
	maxPlaceWait = 60 * time.Millisecond
	// placeWaitFraction is how much of its objective a request may wait for a place. In an overload
	// all that are served wait for as long as they may, and must still be in time.
	placeWaitFraction = 0.5
	// brittleTTL is how long a service counts as brittle that no server says it of any more.
	brittleTTL = 10 * time.Second
	// placeGapSmoothing is the weight of the last time between two places in their mean.
	placeGapSmoothing = 0.2
)

// brittleness is what a service's servers say of it, and how this entry's requests get places there. It
// is guarded by service.mu.
type brittleness struct {
	limit   int       // requests that a server bears to turn away in a second
	saidAt  time.Time // zero: not said
	waiting int       // requests that wait for a place
	placeAt time.Time // when a request that had waited got one last
	gap     time.Duration
}

// recordBrittle records whether an answer to a request that was sent at a time says that its server is
// brittle, and reports whether the service has become so.
func (s *service) recordBrittle(n Notice, class AnswerClass, sentAt, now time.Time) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.brittle
	switch {
	case n.Brittle:
		began = !b.in(now)
		b.limit, b.saidAt = n.BrittleLimit, now
	case class == Answered && sentAt.After(b.saidAt):
		b.saidAt = time.Time{}
	}
	return began
}

func (b *brittleness) in(now time.Time) bool {
	return !b.saidAt.IsZero() && now.Sub(b.saidAt) < brittleTTL
}

// brittleLimit returns how many requests the service's servers bear to turn away in a second, if they
// are brittle.
func (s *service) brittleLimit(now time.Time) (limit int, brittle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brittle.limit, s.brittle.in(now)
}

// beginWait counts a request that waits for a place until endWait, and returns the time that it takes by
// the last places; 0 if it is not known.
func (s *service) beginWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle.waiting++
	return time.Duration(s.brittle.waiting) * s.brittle.gap
}

// endWait ends the wait of a request. placed: it got a place.
func (s *service) endWait(placed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.brittle
	b.waiting--
	if !placed {
		return
	}
	if gap := now.Sub(b.placeAt); gap < brittleTTL {
		if b.gap == 0 {
			b.gap = gap
		}
		b.gap += time.Duration(placeGapSmoothing * float64(gap-b.gap))
	}
	b.placeAt = now
}

// placeSearch is a request's search for a place at brittle servers.
type placeSearch struct {
	full    []string // servers without a place, since the last wait
	waiting bool     // it counts among those that wait
	until   time.Time
}

// takePlace makes sure that the chosen server has room for the request if it is brittle. Without a place
// another server is to be chosen.
func (j *job) takePlace(ctx context.Context, c *choice) bool {
	limit, brittle := j.service.brittleLimit(j.gateway.now())
	if !brittle {
		return true
	}
	if j.gateway.exchange.hasPlace(ctx, j.service.load(c.verdict.Server), limit) {
		j.endPlaceSearch(true)
		return true
	}
	j.places.full = append(j.places.full, c.verdict.Server)
	return false
}

// awaitPlace waits until the request may ask for a place again, and reports false if it is not worth
// waiting, or it did not look for one.
func (j *job) awaitPlace(ctx context.Context) bool {
	if len(j.places.full) == 0 {
		return false
	}
	now := j.gateway.now()
	if !j.places.waiting {
		j.places.waiting = true
		j.places.until = now.Add(time.Duration(placeWaitFraction * float64(j.route.Objective)))
		if expected := j.service.beginWait(); now.Add(expected).After(j.places.until) {
			return false
		}
	}
	wait := minPlaceWait + time.Duration(rand.Float64()*float64(maxPlaceWait-minPlaceWait))
	if at := now.Add(wait); at.After(j.places.until) || at.After(j.deadline) {
		return false
	}
	daemon.Pause(ctx, wait)
	j.places.full = nil
	return true
}

// endPlaceSearch ends the wait for a place, if there is one.
func (j *job) endPlaceSearch(placed bool) {
	if j.places.waiting {
		j.service.endWait(placed, j.gateway.now())
	}
	j.places = placeSearch{}
}

// fullRefusal returns the refusal of a request for which no brittle server has a place.
func (j *job) fullRefusal() *Refusal {
	r := j.failureRefusal("brittle servers are full")
	if r.Reason != NoServer {
		return r
	}
	wait := min(max(j.service.expectedPlaceWait(), minPauseRetry), maxPauseRetry)
	wait = time.Duration(float64(wait) * (1 + pauseRetrySpread*rand.Float64()))
	return &Refusal{Reason: Overloaded, RetryAfter: wait, Detail: r.Detail}
}

// expectedPlaceWait returns how long the requests that wait now will take to get their places.
func (s *service) expectedPlaceWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.brittle.waiting) * s.brittle.gap
}

// load returns this entry's load on a server.
func (s *service) load(server string) serverLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownLoad(server)
}

// heedBrittle applies what an answer says on its server's room.
func (j *job) heedBrittle(ctx context.Context, c *choice, n Notice, class AnswerClass, sentAt time.Time) {
	if j.service.recordBrittle(n, class, sentAt, j.gateway.now()) {
		j.gateway.serverSampler.Log(ctx, event.ServersBrittle, slog.String("request", j.ID), slog.String("server", c.verdict.Server),
			slog.String("service", j.service.name), slog.Int("turnedAway", n.BrittleLimit))
	}
	if n.Brittle && class == NotRun {
		j.gateway.exchange.reportTurnedAway(c.verdict.Server)
	}
}
