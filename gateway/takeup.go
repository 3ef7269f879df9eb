package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/routes"
)

const (
	// originRetryAfter: replicas are reached again, or another entry reaches them, within a few hundred
	// milliseconds.
	originRetryAfter = 300 * time.Millisecond
	// maxViewAge is how old what an entry knows of the servers may be when a stream goes on at a server that
	// may start again under its id, with another version. Replicas reply every two seconds at the latest.
	maxViewAge = 3 * time.Second
	// maxUnconfirmed bounds the servers that are chosen in vain, since they have started again.
	maxUnconfirmed = 3
)

// takesUp reports whether the request takes up a stream that an earlier attempt of its caller began.
func (j *job) takesUp() bool { return j.route.Kind == routes.Stream && j.ResumeAfter != "" }

// chooseService returns the service that gets the request: the one that began the stream, if it has begun.
func (j *job) chooseService() string {
	if j.began != nil {
		return j.began.Service
	}
	return j.route.Choose(rand.Float64())
}

// findOrigin finds what began the stream that the request takes up, or returns its refusal.
func (j *job) findOrigin(ctx context.Context) *Refusal {
	found := finding{knowledge: origin.Unknown}
	if j.Resumes != "" {
		found = j.gateway.origins.find(ctx, j.originKey(j.Resumes), j.onlyService())
	}
	began := found.origin
	switch {
	case found.knowledge == origin.Undecided:
		return &Refusal{Reason: UnknownStream, RetryAfter: originRetryAfter, Detail: found.undecided()}
	case found.knowledge == origin.Unknown:
		return &Refusal{Reason: UnknownStream, Detail: "no record, and several versions may have begun it"}
	case j.gateway.contradicts(&began):
		return &Refusal{Reason: UnknownStream, Detail: "its server has started again with another version"}
	case !j.routeHas(began.Service):
		return &Refusal{Reason: VersionNotServed, Detail: "the route has another service now"}
	}
	j.gateway.sampler.Log(ctx, event.OriginFound, slog.String("request", j.ID), slog.String("resumes", j.Resumes),
		slog.String("service", began.Service), slog.String("version", began.Version), slog.String("server", began.Server))
	j.began = &began
	return nil
}

// originKey returns the key of an attempt of the request's caller.
func (j *job) originKey(id string) origin.Key { return origin.KeyOf(j.workspaceName(), id) }

// onlyService returns the service of the request's route; empty if it has several.
func (j *job) onlyService() string {
	if len(j.route.Split) != 1 {
		return ""
	}
	return j.route.Split[0].Service
}

func (j *job) routeHas(service string) bool {
	return slices.ContainsFunc(j.route.Split, func(s routes.WeightedService) bool { return s.Service == service })
}

// recordOrigin remembers what began the stream of which the first event goes to the caller now.
func (j *job) recordOrigin(c *choice) {
	j.began = &origin.Origin{Service: j.service.name, Version: c.verdict.Version, Server: c.verdict.Server, Incarnation: c.verdict.Incarnation}
	left := j.CallerTimeout - j.age(j.gateway.now())
	if j.CallerTimeout <= 0 {
		left = origin.Retention
	}
	j.gateway.origins.add(origin.Record{Key: j.originKey(j.ID), Origin: *j.began, Left: left + originMargin}, len(j.route.Split) > 1)
}

// originMargin is how much longer than its caller waits the origin of a stream is kept: attempts travel.
const originMargin = time.Second

// contradicts reports whether this entry's records show that the version of an origin may be wrong.
func (g *Gateway) contradicts(o *origin.Origin) bool {
	rec, known := g.directory.Lookup(o.Server, g.now())
	return known && o.Contradicted(rec.Incarnation, rec.Version)
}

// chooseOrigin is choose among the servers of the version that began the stream.
func (j *job) chooseOrigin(ctx context.Context) (choice, bool) {
	g := j.gateway
	s, phase, ok := g.rollouts.continues(j.service.name, j.began.Version)
	if !ok || g.contradicts(j.began) {
		return choice{verdict: route.Verdict{Reason: route.ReasonNoVersion}}, false
	}
	j.versions = versionRule{only: j.began.Version}
	c, ok := j.chooseConfirmed(ctx)
	if s == nil {
		return c, ok
	}
	send := j.newRolloutSend(s, j.began.Version == s.To, phase)
	if !ok {
		send.end(endedByCaller, g.now())
		return c, false
	}
	c.send, j.rolloutSend = send, send
	return c, true
}

// chooseConfirmed is choose among the servers of which the control replicas know no later start than this
// entry. One that names no starts has a new id at each.
func (j *job) chooseConfirmed(ctx context.Context) (choice, bool) {
	g := j.gateway
	for range maxUnconfirmed {
		c, ok := j.choose(ctx)
		if !ok || c.verdict.Incarnation == 0 {
			return c, ok
		}
		if g.freshness.viewAge() <= maxViewAge && g.origins.confirms(ctx, c.verdict.Server, c.verdict.Incarnation) {
			return c, true
		}
		j.service.withdraw(&c, g.now())
		j.triedServers = append(j.triedServers, c.verdict.Server)
	}
	return choice{verdict: route.Verdict{Reason: route.ReasonNoVersion}}, false
}
