package gateway

import (
	"context"
	"errors"
	"time"

	"savoryreel.example/savoryreel/policy/rollout"
	"savoryreel.example/savoryreel/policy/route"
)

// rolloutSend is one send of a request to a service that has or had a rollout. Its methods do nothing on
// nil, which is the send to any other service.
type rolloutSend struct {
	rollouts  *rollouts
	rollout   *serviceRollout
	route     string
	candidate bool
	phase     rollout.Phase // when the server was chosen

	// The rest is guarded by rollouts.mu.
	reserved    bool // it counts as allowed by the exposure
	sentAt      time.Time
	firstByteAt time.Time
	ended       bool
	failed      bool // it ended with a bad answer
}

// chooseVersion is choose among the servers that the service's rollout leaves to the request.
func (j *job) chooseVersion(ctx context.Context) (choice, bool) {
	r := j.gateway.rollouts
	j.versions = versionRule{}
	if j.began != nil {
		return j.chooseOrigin(ctx)
	}
	if !r.known.Load() {
		return j.choose(ctx)
	}
	j.candidateFailed = j.candidateFailed || j.rolloutSend.failedOnCandidate()
	s, phase, rules := r.rules(j.service.name, j.candidateFailed)
	if s == nil {
		return j.choose(ctx)
	}
	for i, rule := range rules {
		j.versions = rule
		c, ok := j.choose(ctx)
		send := j.newRolloutSend(s, rule.candidate, phase)
		if ok {
			c.send, j.rolloutSend = send, send
			return c, true
		}
		send.end(endedByCaller, r.now())
		if i == len(rules)-1 || !rule.fallback.applies(c.verdict.Reason) {
			return c, false
		}
	}
	return choice{}, false // there is at least one rule
}

// newRolloutSend returns the state of a send of the request.
func (j *job) newRolloutSend(s *serviceRollout, candidate bool, phase rollout.Phase) *rolloutSend {
	return &rolloutSend{
		rollouts: j.gateway.rollouts, rollout: s, route: j.route.Name, candidate: candidate, phase: phase,
		reserved: candidate && phase == rollout.Canary,
	}
}

// applies reports whether a request goes to the versions of the next rule after no server was chosen for
// a reason.
func (f fallback) applies(reason route.Reason) bool {
	return f == fallbackAlways || f == fallbackUnserved && reason == route.ReasonNoVersion
}

// onCandidate reports whether the send goes to the candidate of a rollout.
func (s *rolloutSend) onCandidate() bool { return s != nil && s.candidate }

// failedOnCandidate reports whether the candidate has failed a request. One that was full has not.
func (s *rolloutSend) failedOnCandidate() bool {
	if s == nil || !s.candidate {
		return false
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	return s.failed
}

// maySend reports whether the request may still be sent to the server that was chosen: its version may
// have been excluded since.
func (s *rolloutSend) maySend() bool {
	if s == nil {
		return true
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	now := s.rollout.Phase
	switch {
	case s.candidate && s.rollout.superseded && now != rollout.Completed:
		return false
	case s.candidate && !now.Ended():
		return s.rollouts.leased()
	case now == s.phase:
		return true
	case s.candidate:
		return now == rollout.Completed
	default:
		return now != rollout.Completed
	}
}

// sent records that the request is sent now.
func (s *rolloutSend) sent() {
	if s == nil {
		return
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.sentAt = s.rollouts.now()
	s.rollout.exposure.Requested()
	if !s.phase.Ended() {
		s.counters().sends.Inc()
	}
}

// firstByte records that the server has begun to answer.
func (s *rolloutSend) firstByte(now time.Time) {
	if s == nil {
		return
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.firstByteAt = now
}

// end records how the send ended. Only the first call counts. A request whose caller has left, and one
// that the server did not run, say nothing of its version.
func (s *rolloutSend) end(how ending, now time.Time) {
	if s == nil {
		return
	}
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if s.sentAt.IsZero() {
		if s.reserved {
			s.rollout.exposure.Release()
		}
		return
	}
	if s.phase.Ended() || how != endedOK && how != endedFailed {
		return
	}
	if s.firstByteAt.IsZero() {
		s.firstByteAt = now
	}
	s.failed = how == endedFailed
	s.record(s.failed)
}

// record adds the send to the samples of its route. rollouts.mu is held.
func (s *rolloutSend) record(bad bool) {
	r := s.rollout
	sample := r.samples[s.route]
	if sample == nil {
		sample = &rollout.RouteSample{Route: s.route}
		r.samples[s.route] = sample
	}
	group := &sample.Stable
	if s.candidate {
		group = &sample.Candidate
	}
	group.Record(s.firstByteAt.Sub(s.sentAt), bad)
	if !bad {
		return
	}
	s.counters().bad.Inc()
	if !s.candidate {
		return
	}
	if r.bad++; r.bad-r.badReported >= reportBadAnswers {
		r.badReported = r.bad
		s.rollouts.report()
	}
}

func (s *rolloutSend) counters() *groupCounters {
	if s.candidate {
		return &s.rollout.counters[1]
	}
	return &s.rollout.counters[0]
}

// recordCutOff records an answer that was cut off. One that has not ended at the request's deadline is
// bad, as one that has not begun by then.
func (s *rolloutSend) recordCutOff(ctx context.Context, now time.Time) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.end(endedFailed, now)
	}
}
