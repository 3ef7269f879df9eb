package route

import "time"

// Attempt is one request on one server, from Started to Finished or Failed. It
// is the caller's to keep; the Router holds no reference to it.
type Attempt struct {
	slot               int
	registration       uint64 // of the server in the Router
	incarnation        uint64
	started            time.Time
	uncachedTokens     int
	expectedFirstToken time.Duration // until the first token
	awaitsFirstToken   bool          // for the first token
	open               bool
}

// Started counts a request that is being sent to the verdict's server. The
// verdict must have a server.
func (r *Router) Started(v *Verdict, now time.Time) Attempt {
	a := Attempt{slot: -1, incarnation: v.Incarnation, started: now, uncachedTokens: v.uncachedTokens}
	slot, ok := r.index.slotByID[v.Server]
	if !ok || slot >= len(r.servers) || r.servers[slot].incarnation != v.Incarnation {
		return a
	}
	s := &r.servers[slot]
	a.slot, a.registration, a.awaitsFirstToken, a.open = slot, s.registration, true, true
	a.expectedFirstToken = r.firstTokenEstimate(s, a.uncachedTokens, now)
	r.sendRate.record(now)
	s.started(now)
	s.health.addPending(now, a.uncachedTokens)
	return a
}

// firstTokenEstimate is how long a healthy server may take to the first token: the prefill
// of the request and of those that this entry has waiting there, and the wait
// for a slot.
func (r *Router) firstTokenEstimate(s *server, uncached int, now time.Time) time.Duration {
	prefill := float64(uncached+r.queuedTokens(s, now)) / r.cfg.PrefillRate
	return firstTokenOverhead + seconds(prefill) + r.slotWait(s)
}

// slotWait is how long a request may wait for a slot: not at all on a server
// that has room, and on a full one for one slot and for each turn that is queued
// before it. Without it, queueing at saturation passes for a fault (run, demand
// equal to capacity: a quarter of the servers, the most allowed, eased off).
func (r *Router) slotWait(s *server) time.Duration {
	use := (s.load() + 1) / s.slots
	if use < nearlyFullFraction {
		return 0
	}
	return seconds((1 + max(use-1, 0)) * r.cfg.SlotTime.Seconds())
}

// FirstToken notes the first byte of the answer.
func (r *Router) FirstToken(a *Attempt, now time.Time) {
	s := r.serverOf(a)
	if s == nil || !a.awaitsFirstToken {
		return
	}
	a.awaitsFirstToken = false
	s.health.removePending(now, a.uncachedTokens)
	s.health.failuresInRow = 0
	elapsed := now.Sub(a.started)
	r.learnPrefillRate(a, elapsed)
	s.health.addSample(float64(elapsed) / float64(a.expectedFirstToken))
	r.meanFirstToken += time.Duration(sampleSmoothing * float64(elapsed-r.meanFirstToken) / float64(len(r.servers)))
}

const (
	// minLearnTokens is the least prefill from which the rate is learnt: a shorter one
	// is mostly overhead.
	minLearnTokens = 1500
	// minLearnStep is by how much a sample that was faster than expected raises the learnt
	// rate. One that was slower lowers it by a third of that, so that a quarter of the
	// samples are faster: most first tokens have waited for other work, and under an
	// overload nearly all have. With the median the rate fell to a tenth of the truth
	// then, and the fleet was taken to need three times what it began with.
	minLearnStep     = 0.03
	slowStepFraction = 1.0 / 3
	// firstLearnStep is the first step. The steps shrink to learnStep over a few dozen
	// samples: with short ones alone a rate that is ten times too low took half a
	// minute to be found, and meanwhile a cached part counted for ten times its worth.
	firstLearnStep = 0.3
	// learnStepHalvingSamples is after how many samples the step is half of the first.
	learnStepHalvingSamples = 6
	// minRateSamples is how many samples make the rate fit for others to rely on.
	minRateSamples = 40
	// minPrefillRate and mostRate bound the learnt rate, in tokens per second.
	minPrefillRate = 1_000
	maxPrefillRate = 200_000
)

// learnPrefillRate moves the prefill rate towards what a first token has shown. Its time is
// that of its own prefill and of what was ahead of it.
func (r *Router) learnPrefillRate(a *Attempt, elapsed time.Duration) {
	if !r.cfg.LearnPrefill || a.uncachedTokens < minLearnTokens || elapsed <= 0 {
		return
	}
	step := max(firstLearnStep*learnStepHalvingSamples/(learnStepHalvingSamples+float64(r.rateSamples)), minLearnStep)
	r.rateSamples++
	if a.expectedFirstToken > elapsed {
		r.cfg.PrefillRate = min(r.cfg.PrefillRate*(1+step), maxPrefillRate)
		return
	}
	r.cfg.PrefillRate = max(r.cfg.PrefillRate/(1+step*slowStepFraction), minPrefillRate)
}

// SuggestPrefillRate takes the rate that other entries have learnt, where this one has not
// learnt it yet.
func (r *Router) SuggestPrefillRate(rate float64) {
	if !r.cfg.LearnPrefill || rate <= 0 || r.rateSamples >= minRateSamples {
		return
	}
	r.cfg.PrefillRate = min(max(rate, minPrefillRate), maxPrefillRate)
	r.rateSamples = minRateSamples
}

// PrefillRate returns the rate in use, in tokens per second.
func (r *Router) PrefillRate() float64 { return r.cfg.PrefillRate }

// LearnedPrefillRate returns the rate in use once enough first tokens have shown it, and 0
// before that.
func (r *Router) LearnedPrefillRate() float64 {
	if r.rateSamples < minRateSamples {
		return 0
	}
	return r.cfg.PrefillRate
}

// Finished counts a request that ended well. Calls after the first have no effect.
func (r *Router) Finished(a *Attempt, now time.Time) {
	r.FirstToken(a, now)
	if s := r.serverOf(a); s != nil {
		s.ended(now)
	}
	a.open = false
}

// Failed counts a request that the server did not answer: connection lost,
// timeout or server error. Calls after the first have no effect.
func (r *Router) Failed(a *Attempt, now time.Time) {
	if s := r.serverOf(a); s != nil {
		s.health.addFailure()
		r.closeUnanswered(s, a, now)
	}
	a.open = false
}

// Cancelled counts a request that the caller gave up; it says nothing about
// the server. Calls after the first have no effect.
func (r *Router) Cancelled(a *Attempt, now time.Time) {
	if s := r.serverOf(a); s != nil {
		r.closeUnanswered(s, a, now)
	}
	a.open = false
}

func (r *Router) closeUnanswered(s *server, a *Attempt, now time.Time) {
	if a.awaitsFirstToken {
		since := s.health.waitingSince
		s.health.removePending(now, a.uncachedTokens)
		s.health.waitingSince = since // an end without an answer is no sign of life
		a.awaitsFirstToken = false
	}
	s.ended(now)
}

// serverOf returns the attempt's server, or nil if it has gone, restarted or been
// removed for a while since: its counts begin at zero then, and taking an old attempt
// off them would make it look idle and draw all new work.
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
