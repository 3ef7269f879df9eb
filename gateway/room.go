package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/room"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/policy/urgency"
	"savoryreel.example/savoryreel/routes"
)

// report reports the load with a chosen request to other entries, and whether it can meet its
// objective.
func (s *service) report(c *choice, now time.Time) {
	s.mu.Lock()
	if s.contended {
		s.router.SetUrgency(&c.attempt, c.urgency.Urgent(), now)
	}
	own := s.ownLoad(c.verdict.Server)
	s.mu.Unlock()
	s.onLoadChange(own)
}

// withdraw ends a choice that was not reported.
func (s *service) withdraw(c *choice, now time.Time) {
	s.mu.Lock()
	s.finish(c, endedByCaller, now)
	s.mu.Unlock()
	c.send.end(endedByCaller, now)
}

func (s *service) isContended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contended
}

// setContended sets whether the service's requests compete for slots, by the catalogue.
func (s *service) setContended(contended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contended = contended
	s.router.SetUrgentFirst(contended)
	s.router.SetFillLevel(contended)
}

// applyUrgentLoad applies what the owner of a server reports besides its load. s.mu is held.
func (s *service) applyUrgentLoad(l *serverLoad, now time.Time) {
	if !s.contended {
		return
	}
	var u urgentLoad
	if l.Urgent != nil {
		u = *l.Urgent
	}
	s.router.UpdateUrgentLoad(l.Server, route.UrgentWork{Pending: u.Pending, Tokens: u.Prefill}, now)
	s.router.SetServerRate(l.Server, u.Incarnation, float64(u.Rate))
}

// applyContention sets for each service whether its requests compete for slots, by the catalogue.
func (g *Gateway) applyContention(c *routes.Catalogue) {
	for i := range c.Services {
		s := &c.Services[i]
		g.service(s.Name).setContended(s.Engine != nil && room.Contended(s.Engine.Slots))
	}
}

// refuseForLackOfRoom refuses a request that the chosen server has no room for. A request that
// was sent before is not refused: the answer may have begun, or the request may have run. Nor is
// one that was chosen for a rollout's candidate, whose servers say nothing about the room of others.
func (j *job) refuseForLackOfRoom(ctx context.Context, c *choice) *Refusal {
	if j.sends > 0 || j.answerStarted || c.send.onCandidate() {
		return nil
	}
	if !j.service.isContended() {
		return nil
	}
	now := j.gateway.now()
	decision := room.Decide(j.roomRequest(c, now), room.Server{Load: c.verdict.Load, Slots: c.verdict.Slots})
	if !decision.Refused() {
		return nil
	}
	j.gateway.outcomes.noRoom(j.service.name, decision)
	pause, begins := j.service.refuseForLackOfRoom(j.route.Objective, j.gateway.bootTime(j.service.name), now)
	if begins {
		event.Log(ctx, j.gateway.log, slog.LevelWarn, event.ShortageBegan, slog.String("service", j.service.name), slog.String("request", j.ID),
			slog.String("server", c.verdict.Server), slog.Int("load", c.verdict.Load), slog.Int("slots", c.verdict.Slots), slog.String("reason", decision.String()))
	}
	return &Refusal{Reason: Overloaded, RetryAfter: pause, Detail: decision.String()}
}

func (j *job) roomRequest(c *choice, now time.Time) room.Request {
	r := room.Request{InTime: c.urgency == urgency.InTime, Oversized: c.urgency == urgency.LargePrompt, ExpectedWait: j.age(now) + c.verdict.Score, PrefillTime: c.prefillTime, Draw: rand.Float64()}
	if table := j.gateway.table.Load(); table != nil {
		peers := table.Peers(j.service.name, j.route.Rank)
		r.UrgentObjective, r.LessUrgentObjective = peers.UrgentObjective, peers.LessUrgentObjective
		r.LeastUrgent = peers.MoreUrgent && !peers.LessUrgent
	}
	return r
}

// bootTime returns the time from the order of a server of a service until it serves; 0 if the
// system orders none.
func (g *Gateway) bootTime(service string) time.Duration {
	if table := g.table.Load(); table != nil {
		if s := table.Service(service); s != nil && s.Scaling != nil {
			return s.Scaling.Boot
		}
	}
	return 0
}

// refuseForLackOfRoom records a refusal. It returns how long the caller is to pause, and whether a
// shortage begins.
func (s *service) refuseForLackOfRoom(objective, boot time.Duration, now time.Time) (pause time.Duration, begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begins = s.shortage.Refuse(now)
	return s.shortage.Pause(objective, boot, now, rand.Float64()), begins
}

// logShortages logs the shortages that have ended since the last call.
func (g *Gateway) logShortages() {
	now := g.now()
	for _, s := range g.allServices() {
		s.mu.Lock()
		began, lasted, refused, ended := s.shortage.Ended(now)
		s.mu.Unlock()
		if ended {
			event.Log(context.Background(), g.log, slog.LevelInfo, event.ShortageEnded, slog.String("service", s.name),
				slog.Time("began", began), slog.Duration("lasted", lasted), slog.Int("refused", refused))
		}
	}
}

// noRoom counts a request that was refused because its server had no room.
func (o outcomes) noRoom(service string, decision room.Decision) {
	o.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_refused_no_room_total{service=%q,reason=%q}`, service, decision)).Inc()
}
