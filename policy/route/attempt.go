package route

import "time"

// Attempt is one request on one server, from Started to Finished, Failed or Cancelled. The
// caller owns it; the Router holds no reference to it.
type Attempt struct {
	slot               int
	registration       uint64 // of the server, see server.registration
	incarnation        uint64
	started            time.Time
	uncachedTokens     int           // expected prefill of the request
	expectedFirstToken time.Duration // time from started
	// expectedAtServiceRate is the same on a server that reads at the service's rate.
	expectedAtServiceRate time.Duration
	awaitsFirstToken      bool
	firstTokenAt          time.Time // zero before
	measuresRate          bool      // see Router.measuresRate
	urgent, late          bool      // see Router.SetUrgency
	open                  bool
}

// Started counts a request that is about to be sent to the verdict's server. The verdict
// must have a server.
func (r *Router) Started(v *Verdict, now time.Time) Attempt {
	a := Attempt{slot: -1, incarnation: v.Incarnation, started: now, uncachedTokens: v.uncachedTokens}
	slot, ok := r.index.slotByID[v.Server]
	if !ok || slot >= len(r.servers) || r.servers[slot].incarnation != v.Incarnation {
		return a
	}
	s := &r.servers[slot]
	a.slot, a.registration, a.awaitsFirstToken, a.open = slot, s.registration, true, true
	a.measuresRate = r.measuresRate(s, v, now)
	a.expectedFirstToken = r.firstTokenEstimate(s, a.uncachedTokens, now)
	a.expectedAtServiceRate = r.atServiceRate(s, a.expectedFirstToken)
	r.sendRate.record(now)
	if r.meanTokens == 0 {
		r.meanTokens = float64(a.uncachedTokens)
	}
	r.meanTokens += meanTokensSmoothing * (float64(a.uncachedTokens) - r.meanTokens)
	s.started(now)
	s.health.addPending(now, a.uncachedTokens)
	return a
}

// firstTokenEstimate returns how long a healthy server may take to the first token: the
// prefill of the request and of those queued before it, and the wait for a slot.
func (r *Router) firstTokenEstimate(s *server, uncached int, now time.Time) time.Duration {
	prefill := float64(uncached+r.queuedTokens(s, now)) / r.rateOf(s)
	return firstTokenOverhead + seconds(prefill) + r.slotWait(s)
}

// slotWait estimates how long a request waits for a slot: 0 on a server with room; on a full
// one, the time until a slot is free plus SlotTime for each queued request per slot. Without
// it, queueing at saturation would count as slowness and reduce the weight of healthy servers.
func (r *Router) slotWait(s *server) time.Duration {
	use := (s.load() + 1) / s.slots
	if use < nearlyFullFraction {
		return 0
	}
	return seconds((1 + max(use-1, 0)) * r.cfg.SlotTime.Seconds())
}

// FirstToken records the first token of the response. Calls after the first have no effect.
func (r *Router) FirstToken(a *Attempt, now time.Time) {
	s := r.serverOf(a)
	if s == nil || !a.awaitsFirstToken {
		return
	}
	a.awaitsFirstToken, a.firstTokenAt = false, now
	s.endUrgent(a)
	s.health.removePending(now, a.uncachedTokens)
	s.health.failuresInRow = 0
	if a.late {
		return // its wait says nothing about the server: urgent requests went first
	}
	elapsed := now.Sub(a.started)
	r.learnPrefillRate(a, elapsed)
	s.health.addSample(float64(elapsed) / float64(a.expectedFirstToken))
	r.meanFirstToken += time.Duration(sampleSmoothing * float64(elapsed-r.meanFirstToken) / float64(len(r.servers)))
}

const (
	// minLearnTokens is the shortest prefill that the rate is learned from. The time of a
	// shorter one is mostly overhead.
	minLearnTokens = 1500
	// minLearnStep is the relative step by which a sample faster than expected raises the
	// learned rate. A slower one lowers it by slowStepFraction of the step, so that the
	// rate settles where a quarter of the samples are faster: most first tokens also wait
	// for other work, and under overload nearly all do.
	minLearnStep     = 0.03
	slowStepFraction = 1.0 / 3
	// firstLearnStep is the step of the first sample. It shrinks to minLearnStep, so that a
	// wrong initial rate is corrected within a few dozen samples.
	firstLearnStep = 0.3
	// learnStepHalvingSamples is the number of samples after which the step is half of the
	// first one.
	learnStepHalvingSamples = 6
	// MinRateSamples is the number of samples after which an entry's learned rate is accurate
	// enough to be suggested to others, and a suggested one is ignored.
	MinRateSamples = 40
	// minPrefillRate and maxPrefillRate bound the learned rate, in tokens per second.
	minPrefillRate = 1_000
	maxPrefillRate = 200_000
)

// learnPrefillRate moves the prefill rate up if the first token came sooner than expected,
// and down if it came later.
func (r *Router) learnPrefillRate(a *Attempt, elapsed time.Duration) {
	if !r.cfg.LearnPrefill || a.uncachedTokens < minLearnTokens || elapsed <= 0 {
		return
	}
	step := max(firstLearnStep*learnStepHalvingSamples/(learnStepHalvingSamples+float64(r.rateSamples)), minLearnStep)
	r.rateSamples++
	r.ownRateSamples++
	if a.expectedAtServiceRate > elapsed {
		r.cfg.PrefillRate = min(r.cfg.PrefillRate*(1+step), maxPrefillRate)
		return
	}
	r.cfg.PrefillRate = max(r.cfg.PrefillRate/(1+step*slowStepFraction), minPrefillRate)
}

// SuggestPrefillRate sets the rate that other entries have learned, in tokens per second,
// unless this entry has learned its own.
func (r *Router) SuggestPrefillRate(rate float64) {
	if !r.cfg.LearnPrefill || rate <= 0 || r.rateSamples >= MinRateSamples {
		return
	}
	r.cfg.PrefillRate = min(max(rate, minPrefillRate), maxPrefillRate)
	r.rateSamples = MinRateSamples
}

// PrefillRate returns the prefill rate in use, in tokens per second.
func (r *Router) PrefillRate() float64 { return r.cfg.PrefillRate }

// LearnedPrefillRate returns the prefill rate in use, in tokens per second, and the number of
// this entry's samples that it was learned from: at most MinRateSamples, from which on more
// samples add little.
func (r *Router) LearnedPrefillRate() (rate float64, samples int) {
	return r.cfg.PrefillRate, min(r.ownRateSamples, MinRateSamples)
}

// Finished counts a request that was answered completely. Calls after the first have no effect.
func (r *Router) Finished(a *Attempt, now time.Time) {
	r.FirstToken(a, now)
	if s := r.serverOf(a); s != nil {
		s.ended(now)
		r.learnSlotTime(a, now)
	}
	a.open = false
}

// Failed counts a request that the server did not answer: connection lost, timeout or
// server error. Calls after the first have no effect.
func (r *Router) Failed(a *Attempt, now time.Time) {
	if s := r.serverOf(a); s != nil {
		s.health.addFailure()
		r.closeUnanswered(s, a, now)
	}
	a.open = false
}

// Cancelled counts a request that the caller cancelled, which is no evidence about the
// server. Calls after the first have no effect.
func (r *Router) Cancelled(a *Attempt, now time.Time) {
	if s := r.serverOf(a); s != nil {
		r.closeUnanswered(s, a, now)
	}
	a.open = false
}

// closeUnanswered removes a request that has not finished from the server's counts.
func (r *Router) closeUnanswered(s *server, a *Attempt, now time.Time) {
	if a.awaitsFirstToken {
		s.endUrgent(a)
		since := s.health.waitingSince
		s.health.removePending(now, a.uncachedTokens)
		s.health.waitingSince = since // ending without an answer is no progress
		a.awaitsFirstToken = false
	}
	s.ended(now)
}

// serverOf returns the attempt's server, or nil if the server has since been removed,
// restarted, or removed and added again. Its counts then start at zero; subtracting an old
// attempt would make them negative, and the server would look idle and attract new requests.
func (r *Router) serverOf(a *Attempt) *server {
	if !a.open || a.slot >= len(r.servers) {
		return nil
	}
	s := &r.servers[a.slot]
	if s.id == "" || s.registration != a.registration || s.incarnation != a.incarnation {
		return nil
	}
	return s
}
